"""
Attribute the delay of late jobs to stages, from log lines.

The critical path of a job is followed backwards: the task that ended last, what it did
since its step became ready, then the task whose end made that step ready. Each span of
the path is assigned a stage. A job that missed its objective is divided among the
stages that delayed it, in proportion to their duration.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from .story import Line

# Stages of the critical path, as printed.
AT_WORK = "at work"
PACED = "paced down"
HANDED_OVER = "step handed over"
ACCEPTED = "accepted, not known to the holder"
NO_HOLDER = "no holder"
# Stages that are the job's own work: no scheduling decision could have avoided them.
WORK_STAGES = {AT_WORK}
# Final statuses that count against the objective; cancelled jobs do not.
JUDGED_STATUSES = ("completed", "failed")
# Bin width of the late jobs by time. User load varies over several bins.
TIME_BIN_S = 2.0

# Longest time from the last end of a step until the next one is ready that counts as a
# step transition. One report and one decision take 0.1 s, with a busy holder a few
# tenths of a second.
STEP_TRANSITION_MAX_S = 0.5
# Shortest time from a holder's last line to its successor's first that counts as time
# without a holder. A holder logs its state every second.
HOLDER_GAP_MIN_S = 0.5

TaskKey = tuple[int, int, int]


@dataclass(frozen=True, slots=True)
class Span:
    """A part of a job's critical path, between two log timestamps."""

    stage: str
    begin_s: float
    end_s: float

    @property
    def duration_s(self) -> float:
        """Return the duration, at least 0."""
        return max(0.0, self.end_s - self.begin_s)


@dataclass(slots=True)
class Attempt:
    """One run of a task according to the logs; ``end_s`` is None while it runs."""

    number: int
    begin_s: float
    waited_s: float
    end_s: float | None = None
    how: str = ""
    # Pace changes: time and new pace in percent.
    pace_changes: list[tuple[float, int]] = field(default_factory=list)


@dataclass(slots=True)
class JobLog:
    """The state of one job according to the logs."""

    job_id: str
    queue: str = ""
    accepted_s: float | None = None
    finished_s: float | None = None
    status: str = ""
    age_s: float = 0.0
    objective_s: float | None = None
    attempts: dict[TaskKey, list[Attempt]] = field(
        default_factory=lambda: defaultdict(list)
    )
    # Wait reasons logged by the holder, with their time.
    reasons: list[tuple[float, str]] = field(default_factory=list)
    # Seconds that its steps waited, by reason, as summed up in its last line.
    waited_s: dict[str, float] = field(default_factory=dict)

    @property
    def late(self) -> bool:
        """Return whether the job ended and missed its objective."""
        if self.status not in JUDGED_STATUSES or self.objective_s is None:
            return False
        return self.status == "failed" or self.age_s > self.objective_s


@dataclass(frozen=True, slots=True)
class Loss:
    """The cost of one stage to one queue: seconds of late jobs, and their shares."""

    queue: str
    stage: str
    seconds: float
    jobs: float


@dataclass(frozen=True, slots=True)
class Losses:
    """All jobs of some logs: ended and late jobs by queue, and the cost by stage."""

    ended: dict[str, int]
    late: dict[str, int]
    rows: list[Loss]
    # Late jobs by the time at which they were accepted, in bins of ``TIME_BIN_S``.
    by_slot: dict[int, int]


def losses(lines: list[Line]) -> Losses:
    """Return the delays of late jobs by queue and stage; lines are in time order."""
    jobs = read_jobs(lines)
    gaps = _holder_gaps(lines)
    first_s = lines[0]["timestamp"] if lines else 0.0
    ended: Counter[str] = Counter()
    late: Counter[str] = Counter()
    by_slot: Counter[int] = Counter()
    seconds: dict[tuple[str, str], float] = defaultdict(float)
    shares: dict[tuple[str, str], float] = defaultdict(float)
    for job in jobs.values():
        if job.objective_s is None or job.status not in JUDGED_STATUSES:
            continue
        ended[job.queue] += 1
        if not job.late or job.accepted_s is None:
            continue
        late[job.queue] += 1
        by_slot[int((job.accepted_s - first_s) / TIME_BIN_S)] += 1
        spans = critical_path(job, gaps)
        delays_s = sum(s.duration_s for s in spans if s.stage not in WORK_STAGES)
        for span in spans:
            seconds[job.queue, span.stage] += span.duration_s
            if span.stage not in WORK_STAGES and delays_s:
                shares[job.queue, span.stage] += span.duration_s / delays_s
    rows = [
        Loss(queue, stage, total_s, shares[queue, stage])
        for (queue, stage), total_s in seconds.items()
    ]
    rows.sort(key=lambda row: (row.queue, -row.jobs, -row.seconds))
    return Losses(dict(ended), dict(late), rows, dict(by_slot))


def read_jobs(lines: list[Line]) -> dict[str, JobLog]:
    """Return the jobs of the log lines, by id."""
    jobs: dict[str, JobLog] = {}
    for line in lines:
        job_id = line.get("job")
        if not job_id:
            continue
        job = jobs.setdefault(job_id, JobLog(job_id))
        _apply_line(job, line)
    return jobs


def _apply_line(job: JobLog, line: Line) -> None:
    at_s = line["timestamp"]
    match line["event"]:
        case "submit: answered" if line["stored"] == "yes":
            job.queue = line["queue"]
            if job.accepted_s is None:
                job.accepted_s = at_s
        case "start":
            attempt = Attempt(line["run"], at_s, line["waited_s"])
            job.attempts[_task_key(line)].append(attempt)
        case "run_done":
            _end_attempt(job, line, "done")
        case "run_ended":
            _end_attempt(job, line, line["asked"] or line["how"])
        case "run_released":
            _end_attempt(job, line, line["why"])
        case "pace":
            attempts = job.attempts.get(_task_key(line))
            if attempts:
                attempts[-1].pace_changes.append((at_s, line["percent"]))
        case "job_waits":
            job.reasons.append((at_s, line["reason"]))
        case "job_finished":
            job.finished_s = at_s
            job.status = line["status"]
            job.age_s = line["age_s"]
            job.objective_s = line.get("objective_s")
            job.waited_s = line.get("waited_s", {})


def _task_key(line: Line) -> TaskKey:
    return tuple(line["task"][1:])


def _end_attempt(job: JobLog, line: Line, how: str) -> None:
    for attempt in reversed(job.attempts.get(_task_key(line), [])):
        if attempt.number == line["run"] and attempt.end_s is None:
            attempt.end_s = line["timestamp"]
            attempt.how = how
            return


def _holder_gaps(lines: list[Line]) -> list[tuple[float, float]]:
    """Return the spans in which no instance held the cell."""
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
        found = _last_ended_attempt(job, at_s)
        if found is None:
            break
        attempts, last = found
        assert last.end_s is not None
        spans += _transition_spans(job, last.end_s, at_s, gaps)
        ready_s = attempts[0].begin_s - attempts[0].waited_s
        spans += _task_spans(job, attempts, last, ready_s, gaps)
        if ready_s >= at_s:
            break
        at_s = ready_s
        # The attempt that made the step ready has ended by then, up to the small clock
        # differences between instances.
        if not any(_attempts_ended_by(job, at_s)):
            break
    if job.accepted_s is not None and at_s is not None:
        spans += _split_at_holder_gaps(
            job.accepted_s, at_s, gaps, lambda *times_s: [Span(ACCEPTED, *times_s)]
        )
    return [span for span in spans if span.duration_s > 0]


def _transition_spans(
    job: JobLog, begin_s: float, end_s: float, gaps: list[tuple[float, float]]
) -> list[Span]:
    # A new holder counts a step's wait from its own start, so the time before that
    # counts as waiting too.
    if end_s - begin_s > STEP_TRANSITION_MAX_S:
        return _wait_spans(job, begin_s, end_s, "", gaps)
    return [Span(HANDED_OVER, begin_s, end_s)]


def _attempts_ended_by(
    job: JobLog, at_s: float
) -> Iterator[tuple[list[Attempt], Attempt]]:
    for attempts in job.attempts.values():
        for attempt in attempts:
            if attempt.how not in ("done", "failed") or attempt.end_s is None:
                continue
            if attempt.end_s <= at_s:
                yield attempts, attempt


def _last_ended_attempt(
    job: JobLog, at_s: float
) -> tuple[list[Attempt], Attempt] | None:
    return max(
        _attempts_ended_by(job, at_s), key=lambda pair: pair[1].end_s or 0, default=None
    )


def _task_spans(
    job: JobLog,
    attempts: list[Attempt],
    last: Attempt,
    ready_s: float,
    gaps: list[tuple[float, float]],
) -> list[Span]:
    """Return the spans of one task from when its step was ready to its last end."""
    spans: list[Span] = []
    waiting_since_s = ready_s
    previous_outcome = ""
    for attempt in attempts:
        spans += _wait_spans(
            job, waiting_since_s, attempt.begin_s, previous_outcome, gaps
        )
        end_s = attempt.end_s if attempt.end_s is not None else attempt.begin_s
        if attempt is last:
            spans += _run_spans(attempt, end_s)
            break
        spans.append(Span(f"run lost: {attempt.how}", attempt.begin_s, end_s))
        waiting_since_s = end_s
        previous_outcome = attempt.how
    return spans


def _wait_spans(
    job: JobLog,
    begin_s: float,
    end_s: float,
    previous_outcome: str,
    gaps: list[tuple[float, float]],
) -> list[Span]:
    def spans(from_s: float, to_s: float) -> list[Span]:
        if previous_outcome:
            return [Span(f"waits again after: {previous_outcome}", from_s, to_s)]
        reasons = [name for at_s, name in job.reasons if from_s <= at_s <= to_s + 0.1]
        if reasons:
            return [Span(f"waits: {reasons[-1]}", from_s, to_s)]
        return _split_by_reason(job, from_s, to_s)

    return _split_at_holder_gaps(begin_s, end_s, gaps, spans)


def _split_by_reason(job: JobLog, begin_s: float, end_s: float) -> list[Span]:
    """Split a wait in proportion to the job's total waits by reason."""
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


def _split_at_holder_gaps(
    begin_s: float,
    end_s: float,
    gaps: list[tuple[float, float]],
    spans: Callable[[float, float], list[Span]],
) -> list[Span]:
    """Return the spans of an interval, with time without a holder split off."""
    for lost_s, began_s in gaps:
        if lost_s < end_s and began_s > begin_s and began_s - lost_s > HOLDER_GAP_MIN_S:
            from_s, to_s = max(begin_s, lost_s), min(end_s, began_s)
            without_holder = Span(NO_HOLDER, from_s, to_s)
            return [*spans(begin_s, from_s), without_holder, *spans(to_s, end_s)]
    return spans(begin_s, end_s)


def _run_spans(attempt: Attempt, end_s: float) -> list[Span]:
    spans = []
    at_s = attempt.begin_s
    percent = 100
    for pace_s, next_percent in [*attempt.pace_changes, (end_s, 100)]:
        until_s = min(pace_s, end_s)
        # A paced span is split by its pace into the work done and the delay.
        worked_s = (until_s - at_s) * percent / 100
        spans.append(Span(AT_WORK, at_s, at_s + worked_s))
        spans.append(Span(PACED, at_s + worked_s, until_s))
        at_s, percent = until_s, next_percent
    return spans
