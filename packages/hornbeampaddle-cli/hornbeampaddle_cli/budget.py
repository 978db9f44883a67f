"""
Compute latency statistics of each queue's jobs by stage, from log lines.

A job's time is divided into stages, each between two log lines: stored (from the
request until it is stored), placed (from there to the first start), run (start to end
of each run that was done), handed over (from the last end of a step to the first start
of the next), shown (from the last end to the final status). The stage whole is the
job's age at its final status.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from .story import Line

STAGES = ("stored", "placed", "run", "handed over", "shown", "whole")
MEDIAN_QUANTILE = 0.5
TAIL_QUANTILE = 0.95


@dataclass(frozen=True, slots=True)
class Stage:
    """Statistics of one stage of one queue's jobs; times are in seconds."""

    queue: str
    stage: str
    count: int
    median_s: float
    tail_s: float


@dataclass(slots=True)
class _Job:
    """The state of one job according to the logs; ``_at_s`` are Unix times, by step."""

    queue: str = ""
    stored_s: float = 0.0
    stored_at_s: float | None = None
    started_at_s: dict[tuple[str, int], float] = field(default_factory=dict)
    first_start_at_s: dict[int, float] = field(default_factory=dict)
    last_end_at_s: dict[int, float] = field(default_factory=dict)
    runs_s: list[float] = field(default_factory=list)
    finished_at_s: float | None = None
    age_s: float = 0.0


def budget(lines: Iterable[Line]) -> list[Stage]:
    """Return the stages by queue, of the jobs whose acceptance was logged."""
    durations_s: dict[tuple[str, str], list[float]] = defaultdict(list)
    for job in _jobs(lines).values():
        for stage, duration_s in _stage_durations(job):
            durations_s[job.queue, stage].append(duration_s)
    return [
        Stage(
            queue,
            stage,
            len(found),
            _quantile(found, MEDIAN_QUANTILE),
            _quantile(found, TAIL_QUANTILE),
        )
        for queue in sorted({queue for queue, _ in durations_s})
        for stage in STAGES
        if (found := sorted(durations_s.get((queue, stage), [])))
    ]


def _quantile(ordered: list[float], quantile: float) -> float:
    return round(ordered[int(quantile * (len(ordered) - 1))], 4)


def _jobs(lines: Iterable[Line]) -> dict[str, _Job]:
    jobs: dict[str, _Job] = defaultdict(_Job)
    for line in lines:
        job_id = line.get("job")
        if job_id:
            _apply_line(jobs[job_id], line)
    return {name: job for name, job in jobs.items() if job.stored_at_s is not None}


def _apply_line(job: _Job, line: Line) -> None:
    at_s = line["timestamp"]
    match line["event"]:
        case "submit: answered" if line["stored"] == "yes" and job.stored_at_s is None:
            job.queue = line["queue"]
            job.stored_s = line["took_s"]
            job.stored_at_s = at_s
        case "start":
            step = line["task"][2]
            job.started_at_s[_run_key(line)] = at_s
            job.first_start_at_s.setdefault(step, at_s)
        case "run_done":
            step = line["task"][2]
            job.last_end_at_s[step] = at_s
            begun_at_s = job.started_at_s.get(_run_key(line))
            if begun_at_s is not None:
                job.runs_s.append(at_s - begun_at_s)
        case "job_finished":
            job.finished_at_s = at_s
            job.age_s = line["age_s"]


def _run_key(line: Line) -> tuple[str, int]:
    return ("/".join(map(str, line["task"])), line["run"])


def _stage_durations(job: _Job) -> Iterator[tuple[str, float]]:
    yield "stored", job.stored_s
    assert job.stored_at_s is not None
    if job.first_start_at_s:
        yield "placed", max(0.0, min(job.first_start_at_s.values()) - job.stored_at_s)
    for duration_s in job.runs_s:
        yield "run", duration_s
    for step, begun_at_s in job.first_start_at_s.items():
        previous_end_at_s = job.last_end_at_s.get(step - 1)
        if previous_end_at_s is not None and begun_at_s >= previous_end_at_s:
            yield "handed over", begun_at_s - previous_end_at_s
    if job.finished_at_s is not None:
        if job.last_end_at_s:
            yield "shown", max(0.0, job.finished_at_s - max(job.last_end_at_s.values()))
        yield "whole", job.age_s
