"""
Decide when and how each worker is asked for its next report.

Reports cost the holder CPU time, whatever is in them. Their rate is therefore limited
for the cell as a whole, and each worker's interval grows with the number of workers:
without a limit, the reports of thousands of workers take all of the holder's time, and
neither its records nor its views of the store are up to date.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from .settings import CellSettings
from .workers import WorkerState

# Longest pause between two reports of an idle worker, as a fraction of the lease:
# nothing would start on a worker whose lease expires before its next report.
IDLE_PAUSE_LEASE_RATIO = 0.6
# Longest interval between two reports of a busy worker, as a fraction of the lease,
# which must not expire because one report is lost.
BUSY_INTERVAL_LEASE_RATIO = 0.5
# Longest wait where fillers run beside serving tasks: older readings would let a
# serving task miss its target for too long before the fillers are paced.
PACED_WAIT_MAX_S = 1.2
# Longest time for which a worker is asked to hold back its report; the rest of the
# interval is a pause in which no request is under way.
WAIT_MAX_S = 2.0
# Pause before a worker is asked again that left out ends and listed no new one.
ENDS_STUCK_PAUSE_S = 0.3
# Shortest interval between two reports of a worker of which an end is held back: it
# answers at once, so that the request cannot wait there for the next end.
HELD_INTERVAL_S = 0.1
# The share of the rate for busy workers that those of them may use that hold ends back.
HELD_RATE_RATIO = 1 / 3
# How often the busy workers are counted.
COUNT_INTERVAL_S = 0.5


@dataclass(frozen=True, slots=True)
class Poll:
    """
    How to ask for the next report.

    The holder pauses for ``pause_s``; the worker then holds its report back until a run
    ends, for at most ``wait_s``.
    """

    pause_s: float
    wait_s: float


class Polling:
    """The intervals at which the workers of one cell report."""

    def __init__(self, settings: CellSettings) -> None:
        """Start without workers."""
        self.settings = settings
        self._worker_count = 0
        self._busy_count = 0
        self._held_count = 0
        self._counted_at_s = float("-inf")

    def count(self, workers: Iterable[WorkerState], now_s: float) -> None:
        """Count the workers that share the rates of reports, if that is due."""
        if now_s - self._counted_at_s < COUNT_INTERVAL_S:
            return
        self._counted_at_s = now_s
        listed = list(workers)
        idle = [worker.idle() for worker in listed]
        self._worker_count = len(idle)
        self._busy_count = len(idle) - sum(idle)
        self._held_count = sum(bool(worker.held_ends) for worker in listed)

    def next_poll(self, worker: WorkerState) -> Poll:
        """Return how to ask a worker for its next report."""
        poll = self._next_poll(worker)
        return self._paced_poll(worker, poll) if worker.held_ends else poll

    def _paced_poll(self, worker: WorkerState, poll: Poll) -> Poll:
        """Return a poll in which the holder waits, as the worker would not."""
        interval_s = poll.pause_s + poll.wait_s
        if worker.idle():
            return Poll(interval_s, 0.0)
        per_s = HELD_RATE_RATIO * self.settings.busy_reports_per_s
        held_s = max(HELD_INTERVAL_S, self._held_count / per_s)
        if worker.ends_left_out:
            return Poll(held_s, 0.0)
        return Poll(min(interval_s, held_s), 0.0)

    def _next_poll(self, worker: WorkerState) -> Poll:
        settings = self.settings
        if worker.ends_left_out:
            stuck = worker.ends_stuck_since_s is not None
            return Poll(ENDS_STUCK_PAUSE_S if stuck else 0.0, 0.0)
        if worker.idle():
            return self._idle_poll()
        interval_s = self._busy_interval_s()
        # Without fillers there is nothing to pace: not at the cost of a limited rate.
        paceable = worker.filler_cpu_millis or interval_s <= settings.report_wait_s
        if worker.over_since_s is not None and paceable:
            return Poll(0.0, settings.report_wait_over_s)
        if worker.serving and worker.filler_cpu_millis:
            return Poll(0.0, min(PACED_WAIT_MAX_S, interval_s))
        wait_s = min(WAIT_MAX_S, interval_s)
        if worker.plain_cpu_millis or worker.awaits_report():
            # The next step of a job that callers wait for starts with this report.
            return Poll(0.0, wait_s)
        return Poll(interval_s - wait_s, wait_s)

    def _busy_interval_s(self) -> float:
        settings = self.settings
        shared_s = self._busy_count / settings.busy_reports_per_s
        longest_s = BUSY_INTERVAL_LEASE_RATIO * settings.lease_s
        return max(settings.report_wait_s, min(longest_s, shared_s))

    def _idle_poll(self) -> Poll:
        wait_s = self.settings.report_wait_s
        interval_s = self._worker_count / self.settings.idle_reports_per_s
        longest_s = IDLE_PAUSE_LEASE_RATIO * self.settings.lease_s
        return Poll(min(longest_s, max(0.0, interval_s - wait_s)), wait_s)
