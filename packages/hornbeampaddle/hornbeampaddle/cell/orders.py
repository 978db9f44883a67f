"""
Process the outcomes of orders sent to workers.

An order without an answer may have been carried out, or may still be carried out
later. Its room stays booked, and the same order is sent again until an answer resolves
the uncertainty.
"""

from typing import TYPE_CHECKING

from .effects import LogEntry, StopOrder
from .progress import Run, RunPhase
from .reports import Done, NoAnswer, OrderOutcome, OtherIncarnation, Reason, Refused
from .restarts import note_unanswered
from .workers import WorkerState

if TYPE_CHECKING:
    from .scheduler import Scheduler

# Exponential backoff for resending starts without an answer: the first pause and the
# longest one.
RESEND_BASE_S = 0.1
RESEND_MAX_S = 1.0
# How long a start counts as pending: one that cannot be sent holds back no others.
PENDING_MAX_S = 1.0


class OrderTracker:
    """The part of a cell's scheduler that processes the outcomes of orders."""

    def __init__(self, cell: "Scheduler") -> None:
        """Create the tracker that updates the state of ``cell``."""
        self.cell = cell
        # The starts of this holder whose first copy is not sent or not answered yet.
        self._pending_starts: list[Run] = []

    def add_start(self, run: Run) -> None:
        """Count a start as pending until its first copy is answered or timed out."""
        self._pending_starts.append(run)

    def update_pending_starts(self, now_s: float) -> None:
        """Stop counting the starts that are settled, or are pending for too long."""
        self._pending_starts = [
            run for run in self._pending_starts if self._is_pending(run, now_s)
        ]

    def may_add_starts(self) -> bool:
        """Return whether the number of pending starts is below its limit."""
        return len(self._pending_starts) < self.cell.settings.pending_starts_max

    def _is_pending(self, run: Run, now_s: float) -> bool:
        if run.phase > RunPhase.SENDING or run.unanswered:
            return False
        return now_s - run.placed_at_s < PENDING_MAX_S and self.cell.booked(run)

    def start_answered(
        self, run: Run, outcome: OrderOutcome, now_s: float
    ) -> float | None:
        """
        Process the outcome of a start.

        Returns the pause in seconds after which to send the same start again, or None
        if it need not be sent again.
        """
        if isinstance(outcome, NoAnswer):
            self.cell.late_starts.note(run, now_s)
        worker = self.cell.workers.get(run.worker_id)
        if worker is None or worker.runs.get(run.key) is not run:
            return None
        match outcome:
            case Done(clock_s):
                worker.clock.observe(clock_s, now_s)
                self.cell.mark_active(run.key.job_id)
                if run.phase < RunPhase.RUNNING:
                    run.phase = RunPhase.RUNNING
                    run.progressed_at_s = now_s
                if run.confirmed_at_s == float("inf"):
                    run.confirmed_at_s = now_s
                    self.cell.pacer.set_initial_pace(worker, run, now_s)
                return None
            case NoAnswer():
                note_unanswered(worker, run, now_s)
                return self._resend_after_s(run)
            case OtherIncarnation():
                self.cell.worker_ended(run.worker_id, now_s, "replaced")
                return None
            case Refused(reason, clock_s):
                return self._start_refused(worker, run, reason, clock_s, now_s)

    def _resend_after_s(self, run: Run) -> float | None:
        # The order may have been carried out, or may still be carried out later.
        # Resending it with the same run number is idempotent, and the answer resolves
        # both copies.
        run.unanswered += 1
        if run.phase >= RunPhase.RUNNING:
            return None
        return min(RESEND_MAX_S, RESEND_BASE_S * 2 ** (run.unanswered - 1))

    def _start_refused(
        self,
        worker: WorkerState,
        run: Run,
        reason: Reason,
        clock_s: float,
        now_s: float,
    ) -> float | None:
        if clock_s:
            worker.clock.observe(clock_s, now_s)
        detail: dict[str, object] = {
            "task": run.key,
            "run": run.number,
            "worker": worker.worker_id,
            "reason": reason.value,
            "unanswered": run.unanswered,
        }
        self.cell.log(LogEntry("start_refused", run.key.job_id, detail))
        if reason is Reason.EXPIRED:
            return RESEND_BASE_S
        if reason is Reason.OUTDATED:
            # The run has started and ended: its end is in a report, or was in one.
            self.cell.mark_active(run.key.job_id)
            run.phase = RunPhase.RUNNING
            run.confirmed_at_s = now_s + self.cell.settings.answer_timeout_s
            return None
        if reason is Reason.FENCED:
            return None
        if reason is Reason.TICKET:
            self.cell.advice.drop_ticket(run.key, worker.worker_id)
        if reason in (Reason.UNWELL, Reason.NO_ROOM):
            worker.unwell_until_s = now_s + self.cell.settings.unwell_s
        if run.unanswered:
            # An earlier copy of the order may still be carried out; once a stop of this
            # run is answered, that is harmless for as long as this incarnation lives.
            self.cell.stop(run, "unsettled_start")
            return None
        self.cell.release(run, now_s, f"refused_{reason.value}")
        return None

    def stop_answered(
        self, order: StopOrder, outcome: OrderOutcome, now_s: float
    ) -> bool:
        """Process the outcome of a stop; return whether to send it again."""
        if not self.cell.booked(order.run):
            return False
        match outcome:
            case Done():
                if order.run.confirmed_at_s > now_s:
                    # The worker refuses the start from now on, or is ending the run:
                    # its reports show which.
                    order.run.confirmed_at_s = now_s + self.cell.settings.stop_s
                return False
            case NoAnswer() | Refused(Reason.UNWELL):
                # An unwell worker has not executed the order, and is expected to
                # recover.
                return True
            case OtherIncarnation():
                self.cell.worker_ended(order.worker_id, now_s, "replaced")
                return False
            case _:
                return False
