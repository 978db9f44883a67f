"""
Work out from logs where the time of late jobs went.

The critical path of a job is followed backwards: the task that ended last, what it did
since its step's turn came, then the task whose end let that step begin. Each span of
the path gets a stage; a job that missed its objective is shared out among the stages
that delayed it, by their length.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from .story import Line

AT_WORK = "at work"
PACED = "paced down"
HANDED_OVER = "step handed over"
ACCEPTED = "accepted, not known to the holder"
NO_HOLDER = "no holder"
# Stages that are the job's own work, which no decision could have spared it.
OWN_STAGES = {AT_WORK}
FINAL_LATE = ("completed", "failed")
# A moment of the table by time; loads of users swing over several of these.
SLOT_S = 2.0

# From the last end of a step to the turn of the next: one report and one decision take
# 0.1 s, with a busy holder a few tenths.
HAND_OVER_MAX_S = 0.5
# A holder writes its state every second; from its last line to the next holder's first.
GAP_MIN_S = 0.5

TaskName = tuple[int, int, int]


@dataclass(frozen=True, slots=True)
class Span:
    """A part of a job's critical path, between two times of the logs."""

    stage: str
    begin_s: float
    end_s: float

    @property
    def length_s(self) -> float:
        """Return its length."""
        return max(0.0, self.end_s - self.begin_s)


@dataclass(slots=True)
class Attempt:
    """One run of a task as the logs show it; ``end_s`` is nothing while it runs."""

    number: int
    begin_s: float
    waited_s: float
    end_s: float | None = None
    how: str = ""
    # Each change of pace: when, and to which percentage.
    paces: list[tuple[float, int]] = field(default_factory=list)


@dataclass(slots=True)
class JobLog:
    """What the logs say of one job."""

    job_id: str
    queue: str = ""
    accepted_s: float | None = None
    finished_s: float | None = None
    status: str = ""
    age_s: float = 0.0
    objective_s: float | None = None
    attempts: dict[TaskName, list[Attempt]] = field(
        default_factory=lambda: defaultdict(list)
    )
    # Why it waited, as the holder said it: when, and the reason.
    reasons: list[tuple[float, str]] = field(default_factory=list)
    # The seconds that its steps waited for each reason, as its last line sums them up.
    waited_s: dict[str, float] = field(default_factory=dict)

    @property
    def late(self) -> bool:
        """Tell whether it came to its end and missed its objective."""
        if self.status not in FINAL_LATE or self.objective_s is None:
            return False
        return self.status == "failed" or self.age_s > self.objective_s


@dataclass(frozen=True, slots=True)
class Loss:
    """What one stage cost one queue: seconds of late jobs, and jobs by their share."""

    queue: str
    stage: str
    seconds: float
    jobs: float


@dataclass(frozen=True, slots=True)
class Losses:
    """All jobs of some logs: by queue how many ended and were late, and the stages."""

    ended: dict[str, int]
    late: dict[str, int]
    rows: list[Loss]
    # Late jobs by the time at which they were accepted, in slots of ``SLOT_S``.
    by_slot: dict[int, int]


def losses(lines: list[Line]) -> Losses:
    """Return where the time of late jobs went; lines are in time order."""
    jobs = read_jobs(lines)
    gaps = _holder_gaps(lines)
    first_s = lines[0]["timestamp"] if lines else 0.0
    ended: Counter[str] = Counter()
    late: Counter[str] = Counter()
    by_slot: Counter[int] = Counter()
    seconds: dict[tuple[str, str], float] = defaultdict(float)
    shares: dict[tuple[str, str], float] = defaultdict(float)
    for job in jobs.values():
        if job.objective_s is None or job.status not in FINAL_LATE:
            continue
        ended[job.queue] += 1
        if not job.late or job.accepted_s is None:
            continue
        late[job.queue] += 1
        by_slot[int((job.accepted_s - first_s) / SLOT_S)] += 1
        spans = critical_path(job, gaps)
        delays_s = sum(s.length_s for s in spans if s.stage not in OWN_STAGES)
        for span in spans:
            seconds[job.queue, span.stage] += span.length_s
            if span.stage not in OWN_STAGES and delays_s:
                shares[job.queue, span.stage] += span.length_s / delays_s
    rows = [
        Loss(queue, stage, total_s, shares[queue, stage])
        for (queue, stage), total_s in seconds.items()
    ]
    rows.sort(key=lambda row: (row.queue, -row.jobs, -row.seconds))
    return Losses(dict(ended), dict(late), rows, dict(by_slot))


def read_jobs(lines: list[Line]) -> dict[str, JobLog]:
    """Return each job that the logs name."""
    jobs: dict[str, JobLog] = {}
    for line in lines:
        job_id = line.get("job")
        if not job_id:
            continue
        job = jobs.setdefault(job_id, JobLog(job_id))
        _take(job, line)
    return jobs


def _take(job: JobLog, line: Line) -> None:
    at_s = line["timestamp"]
    match line["event"]:
        case "submit: answered" if line["stored"] == "yes":
            job.queue = line["queue"]
            if job.accepted_s is None:
                job.accepted_s = at_s
        case "start":
            attempt = Attempt(line["run"], at_s, line["waited_s"])
            job.attempts[_name(line)].append(attempt)
        case "run_done":
            _end(job, line, "done")
        case "run_ended":
            _end(job, line, line["asked"] or line["how"])
        case "run_released":
            _end(job, line, line["why"])
        case "pace":
            attempts = job.attempts.get(_name(line))
            if attempts:
                attempts[-1].paces.append((at_s, line["percent"]))
        case "job_waits":
            job.reasons.append((at_s, line["reason"]))
        case "job_finished":
            job.finished_s = at_s
            job.status = line["status"]
            job.age_s = line["age_s"]
            job.objective_s = line.get("objective_s")
            job.waited_s = line.get("waited_s", {})


def _name(line: Line) -> TaskName:
    return tuple(line["task"][1:])


def _end(job: JobLog, line: Line, how: str) -> None:
    for attempt in reversed(job.attempts.get(_name(line), [])):
        if attempt.number == line["run"] and attempt.end_s is None:
            attempt.end_s = line["timestamp"]
            attempt.how = how
            return


def _holder_gaps(lines: list[Line]) -> list[tuple[float, float]]:
    """Return the spans in which nobody held the cell."""
    gaps = []
    last_s: float | None = None
    for line in lines:
        if line["event"] == "holder: began":
            if last_s is not None:
                gaps.append((last_s, line["timestamp"]))
            last_s = line["timestamp"]
        elif line["event"] == "cell: state":
            last_s = line["timestamp"]
    return gaps


def critical_path(job: JobLog, gaps: list[tuple[float, float]]) -> list[Span]:
    """Return the spans from a job's acceptance to its end, the last one first."""
    spans: list[Span] = []
    at_s = job.finished_s
    while at_s is not None:
        found = _last_ended(job, at_s)
        if found is None:
            break
        attempts, last = found
        assert last.end_s is not None
        spans += _handed_over(job, last.end_s, at_s, gaps)
        ready_s = attempts[0].begin_s - attempts[0].waited_s
        spans += _task_spans(job, attempts, last, ready_s, gaps)
        if ready_s >= at_s:
            break
        at_s = ready_s
        # What let the step begin has ended by then; clocks of instances differ little.
        if not any(_ended_by(job, at_s)):
            break
    if job.accepted_s is not None and at_s is not None:
        spans += _around_gaps(
            job.accepted_s, at_s, gaps, lambda *times_s: [Span(ACCEPTED, *times_s)]
        )
    return [span for span in spans if span.length_s > 0]


def _handed_over(
    job: JobLog, begin_s: float, end_s: float, gaps: list[tuple[float, float]]
) -> list[Span]:
    # A new holder counts a step's wait from its own beginning: what went before it
    # was waited as well.
    if end_s - begin_s > HAND_OVER_MAX_S:
        return _waiting(job, begin_s, end_s, "", gaps)
    return [Span(HANDED_OVER, begin_s, end_s)]


def _ended_by(job: JobLog, at_s: float) -> Iterator[tuple[list[Attempt], Attempt]]:
    for attempts in job.attempts.values():
        for attempt in attempts:
            if attempt.how not in ("done", "failed") or attempt.end_s is None:
                continue
            if attempt.end_s <= at_s:
                yield attempts, attempt


def _last_ended(job: JobLog, at_s: float) -> tuple[list[Attempt], Attempt] | None:
    return max(_ended_by(job, at_s), key=lambda pair: pair[1].end_s or 0, default=None)


def _task_spans(
    job: JobLog,
    attempts: list[Attempt],
    last: Attempt,
    ready_s: float,
    gaps: list[tuple[float, float]],
) -> list[Span]:
    """Return what one task did from its step's turn to its last end."""
    spans: list[Span] = []
    free_s = ready_s
    before = ""
    for attempt in attempts:
        spans += _waiting(job, free_s, attempt.begin_s, before, gaps)
        end_s = attempt.end_s if attempt.end_s is not None else attempt.begin_s
        if attempt is last:
            spans += _working(attempt, end_s)
            break
        spans.append(Span(f"run lost: {attempt.how}", attempt.begin_s, end_s))
        free_s = end_s
        before = attempt.how
    return spans


def _waiting(
    job: JobLog,
    begin_s: float,
    end_s: float,
    before: str,
    gaps: list[tuple[float, float]],
) -> list[Span]:
    def spans(from_s: float, to_s: float) -> list[Span]:
        if before:
            return [Span(f"waits again after: {before}", from_s, to_s)]
        reasons = [name for at_s, name in job.reasons if from_s <= at_s <= to_s + 0.1]
        if reasons:
            return [Span(f"waits: {reasons[-1]}", from_s, to_s)]
        return _by_reason(job, from_s, to_s)

    return _around_gaps(begin_s, end_s, gaps, spans)


def _by_reason(job: JobLog, begin_s: float, end_s: float) -> list[Span]:
    """Split a wait among the reasons for which the whole job has waited."""
    total_s = sum(job.waited_s.values())
    if not total_s:
        return [Span("waits, no reason kept", begin_s, end_s)]
    spans = []
    at_s = begin_s
    for reason, waited_s in job.waited_s.items():
        until_s = at_s + (end_s - begin_s) * waited_s / total_s
        spans.append(Span(f"waits: {reason}", at_s, until_s))
        at_s = until_s
    return spans


def _around_gaps(
    begin_s: float,
    end_s: float,
    gaps: list[tuple[float, float]],
    spans: Callable[[float, float], list[Span]],
) -> list[Span]:
    """Return the spans of a time, split where nobody held the cell for a part of it."""
    for lost_s, began_s in gaps:
        if lost_s < end_s and began_s > begin_s and began_s - lost_s > GAP_MIN_S:
            from_s, to_s = max(begin_s, lost_s), min(end_s, began_s)
            without = Span(NO_HOLDER, from_s, to_s)
            return [*spans(begin_s, from_s), without, *spans(to_s, end_s)]
    return spans(begin_s, end_s)


def _working(attempt: Attempt, end_s: float) -> list[Span]:
    spans = []
    at_s = attempt.begin_s
    percent = 100
    for pace_s, next_percent in [*attempt.paces, (end_s, 100)]:
        until_s = min(pace_s, end_s)
        # A paced span is split by its pace: the work done in it, and the delay.
        worked_s = (until_s - at_s) * percent / 100
        spans.append(Span(AT_WORK, at_s, at_s + worked_s))
        spans.append(Span(PACED, at_s + worked_s, until_s))
        at_s, percent = until_s, next_percent
    return spans
