"""
Decide whether a job is accepted, by what its queue can still do for its caller.

The load that this answers: a burst of jobs of which the last have no chance. Refused is
only a job that would end too late to be worth anything although its wait is the least
that the backlog allows, and its run time so long that the most time is allowed for it.
Everything else is accepted.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field, replace

from hornbeampaddle.cell.backlog import Backlog, QueueBacklog, counts, wait_limit_s
from hornbeampaddle.cell.jobs import Job
from hornbeampaddle.cell.urgency import relative_value

RETRY_AFTER_MIN_S = 1
# How many refused callers are remembered: those of a minute of a heavy burst.
REFUSED_CALLERS_MAX = 4096


@dataclass(frozen=True, slots=True)
class Admit:
    """The job is accepted."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """
    The job has no chance.

    ``wait_s`` is its least wait, ``limit_s`` the longest wait that leaves it a chance,
    by the backlog of its ``queue``.
    """

    reason: str
    wait_s: float
    limit_s: float
    queue: QueueBacklog


@dataclass(frozen=True, slots=True)
class Competitors:
    """Who competes for a queue: data centres, and instances of the own one."""

    data_centres: int = 1
    instances: int = 1


@dataclass(slots=True)
class Admission:
    """One instance's admission of jobs; remembers whom it has refused."""

    # When each refused caller first asked, on this instance's clock.
    _first_asked_s: OrderedDict[str, float] = field(default_factory=OrderedDict)
    # By queue: its priority, and the time for which the last return was arranged.
    _last_return_s: dict[str, tuple[int, float]] = field(default_factory=dict)

    def decide(self, job: Job, backlog: Backlog, now_s: float) -> Admit | Refuse:
        """Decide on a job that arrives now, given the present backlog of its cell."""
        queue = backlog.get(job.queue.name)
        if queue is None or not counts(job):
            return Admit()
        asked_s = now_s - self._first_asked_s.get(job.job_id, now_s)
        limit_s = wait_limit_s(job.queue, _expected_chain_s(job, queue)) - asked_s
        work = job.work_millis_s()
        value = relative_value(work, queue.mean_work_millis_s)
        wait_s = queue.wait_s(work * queue.run_time_ratio / value)
        if wait_s <= limit_s:
            return Admit()
        reason = "returned_too_late" if asked_s else "no_chance"
        return Refuse(reason, wait_s, limit_s, queue)

    def retry_after_s(
        self, job: Job, queue: QueueBacklog, competitors: Competitors, now_s: float
    ) -> int:
        """
        Return when the caller of a refused job may come back, in whole seconds.

        Each wait reaches the time at which there is room, so that one try of four is
        enough if it is right. Who comes back too early does not queue up again.
        """
        at_s = now_s + queue.drained_s
        if job.job_id not in self._first_asked_s:
            at_s = self._next_return_s(job, queue, competitors, at_s)
            self._remember(job.job_id, now_s)
        return max(RETRY_AFTER_MIN_S, math.ceil(at_s - now_s))

    def _next_return_s(
        self, job: Job, queue: QueueBacklog, competitors: Competitors, room_at_s: float
    ) -> float:
        """
        Arrange a return, in the order of refusal and after those of urgent queues.

        Every instance does so for itself, at its part of the rate of service: an equal
        one of its data centre's, which is an equal one of the queue's.
        """
        parts = competitors.data_centres * competitors.instances
        spacing_s = parts / queue.jobs_per_s
        times_s = [room_at_s]
        for name, (priority, last_s) in self._last_return_s.items():
            if name == job.queue.name:
                times_s.append(last_s + spacing_s)
            elif priority < job.queue.priority:
                times_s.append(last_s)
        at_s = max(times_s)
        self._last_return_s[job.queue.name] = (job.queue.priority, at_s)
        return at_s

    def _remember(self, job_id: str, now_s: float) -> None:
        self._first_asked_s[job_id] = now_s
        if len(self._first_asked_s) > REFUSED_CALLERS_MAX:
            self._first_asked_s.popitem(last=False)


def _expected_chain_s(job: Job, queue: QueueBacklog) -> float:
    """Return the expected time of the longest chain, by mean run times if longer."""
    steps = tuple(
        replace(
            step,
            estimate_s=max(
                step.estimate_s * queue.run_time_ratio, queue.mean_run_time_s
            ),
        )
        for step in job.steps
    )
    return replace(job, steps=steps).chain_s()
