"""
Say from logs where the time of each queue's jobs goes.

A job's time is cut into stages, each between two log lines: stored (the request until
the store had it), placed (from there to the first start), run (start to end of each
run that was done), handed over (from the last end of a step to the first start of the
next), shown (from the last end to the final status).
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from .story import Line

STAGES = ("stored", "placed", "run", "handed over", "shown", "whole")
MEDIAN = 0.5
TAIL = 0.95


@dataclass(frozen=True, slots=True)
class Stage:
    """One stage of the jobs of one queue; times are seconds."""

    queue: str
    stage: str
    count: int
    median_s: float
    tail_s: float


@dataclass(slots=True)
class _Job:
    """What the log says of one job: times in Unix seconds, by step."""

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
    """Return the stages of each queue whose acceptance the lines show."""
    spans: dict[tuple[str, str], list[float]] = defaultdict(list)
    for job in _jobs(lines).values():
        for stage, span_s in _spans(job):
            spans[job.queue, stage].append(span_s)
    return [
        Stage(queue, stage, len(found), _at(found, MEDIAN), _at(found, TAIL))
        for queue in sorted({queue for queue, _ in spans})
        for stage in STAGES
        if (found := sorted(spans.get((queue, stage), [])))
    ]


def _at(ordered: list[float], share: float) -> float:
    return round(ordered[int(share * (len(ordered) - 1))], 4)


def _jobs(lines: Iterable[Line]) -> dict[str, _Job]:
    jobs: dict[str, _Job] = defaultdict(_Job)
    for line in lines:
        job_id = line.get("job")
        if job_id:
            _take(jobs[job_id], line)
    return {name: job for name, job in jobs.items() if job.stored_at_s is not None}


def _take(job: _Job, line: Line) -> None:
    at_s = line["timestamp"]
    match line["event"]:
        case "submit: answered" if line["stored"] == "yes" and job.stored_at_s is None:
            job.queue = line["queue"]
            job.stored_s = line["took_s"]
            job.stored_at_s = at_s
        case "start":
            step = line["task"][2]
            job.started_at_s[_run(line)] = at_s
            job.first_start_at_s.setdefault(step, at_s)
        case "run_done":
            step = line["task"][2]
            job.last_end_at_s[step] = at_s
            begun_at_s = job.started_at_s.get(_run(line))
            if begun_at_s is not None:
                job.runs_s.append(at_s - begun_at_s)
        case "job_finished":
            job.finished_at_s = at_s
            job.age_s = line["age_s"]


def _run(line: Line) -> tuple[str, int]:
    return ("/".join(map(str, line["task"])), line["run"])


def _spans(job: _Job) -> Iterator[tuple[str, float]]:
    yield "stored", job.stored_s
    assert job.stored_at_s is not None
    if job.first_start_at_s:
        yield "placed", max(0.0, min(job.first_start_at_s.values()) - job.stored_at_s)
    for span_s in job.runs_s:
        yield "run", span_s
    for step, begun_at_s in job.first_start_at_s.items():
        before_at_s = job.last_end_at_s.get(step - 1)
        if before_at_s is not None and begun_at_s >= before_at_s:
            yield "handed over", begun_at_s - before_at_s
    if job.finished_at_s is not None:
        if job.last_end_at_s:
            yield "shown", max(0.0, job.finished_at_s - max(job.last_end_at_s.values()))
        yield "whole", job.age_s
