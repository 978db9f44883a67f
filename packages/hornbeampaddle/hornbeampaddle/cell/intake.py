"""
Process the workers' reports: running, ended and missing attempts.

An end counts once, by the number of its run. A run that the cell does not know is
stopped. A run that the worker does not know is released, once a report lists every end
that is not acknowledged: until then its end may be among those left out.
"""

from typing import TYPE_CHECKING

from ..resources import NOTHING
from . import crashes, left_out_ends, restarts
from .effects import LogEntry, StopOrder
from .incarnations import WorkerId
from .jobs import Step, TaskKey
from .progress import JobState, JobStatus, Run, RunPhase, Task
from .reports import EndedRow, EndKind, Report, RunningRow
from .stalls import stop_if_stalled
from .workers import WorkerState

if TYPE_CHECKING:
    from .scheduler import Scheduler

# A run that is still reported this long after its stop should have taken effect is
# sent another stop.
STOP_RESEND_AFTER_S = 0.4


class ReportIntake:
    """The part of a cell's scheduler that processes reports."""

    def __init__(self, cell: "Scheduler") -> None:
        """Create the processor of reports that updates the state of ``cell``."""
        self.cell = cell

    def report(self, worker_id: WorkerId, report: Report) -> bool:
        """
        Process one worker's report; ignored if the worker is unknown.

        Returns whether it is the worker's first one.
        """
        worker = self.cell.workers.get(worker_id)
        if worker is None:
            return False
        now_s = report.received_at_s
        worker.clock.observe(report.clock_s, now_s)
        worker.last_report_at_s = now_s
        self.cell.unconfirmed.reported(worker_id, report)
        left_out_ends.note_report(worker, report)
        stuck = left_out_ends.are_stuck(worker, now_s)
        first = not worker.reported and not stuck
        if stuck:
            left_out_ends.let_lease_run_out(self.cell, worker, now_s)
        else:
            worker.reported = True
            worker.silent = False
            worker.silent_since_s = None
        listed: set[TaskKey] = set()
        listed_runs: set[tuple[TaskKey, int]] = set()
        if not first:
            self._log_missed_ends(worker, report)
        for ended in report.ended:
            # Guards against a run that counts as stopping for good: its end may have a
            # position that was counted before, if the worker numbers its ends anew.
            if ended.position > worker.seen_end or worker.books_end(ended):
                listed.add(ended.key)
                listed_runs.add((ended.key, ended.number))
                self._handle_end(worker, ended, now_s)
        worker.seen_end = max(worker.seen_end, left_out_ends.last_end(report))
        for row in report.running:
            listed.add(row.key)
            listed_runs.add((row.key, row.number))
            self._handle_running(worker, row, now_s)
        missing = [
            *self._missing_runs(worker, report, listed),
            *self._missing_strays(worker, report, listed_runs),
        ]
        if report.ends_complete:
            for run in missing:
                self.cell.release(run, now_s, "not_on_worker")
        else:
            left_out_ends.await_ends(self.cell, worker, missing)
        if first:
            restarts.stop_unsettled(self.cell, worker)
            detail: dict[str, object] = {
                "worker": worker_id,
                "running": len(report.running),
                "ended": len(report.ended),
                "first_end": report.ended[0].position if report.ended else 0,
                "last_end": left_out_ends.last_end(report),
                "clock_s": round(report.clock_s, 3),
            }
            self.cell.log(LogEntry("worker_reported", "", detail))
        self.cell.pacer.observe(worker, now_s)
        return first

    def _log_missed_ends(self, worker: WorkerState, report: Report) -> None:
        """Log ends that the worker has dropped although no report listed them."""
        first = report.ended[0].position if report.ended else 0
        if first > worker.seen_end + 1:
            detail: dict[str, object] = {
                "worker": worker.worker_id,
                "missed": first - worker.seen_end - 1,
                "seen_end": worker.seen_end,
            }
            self.cell.log(LogEntry("ends_missed", "", detail))

    def _handle_end(self, worker: WorkerState, row: EndedRow, now_s: float) -> None:
        self._release_room(worker, row)
        state = self.cell.jobs.get(row.key.job_id)
        task = state.task(row.key) if state is not None else None
        if state is None or task is None:
            return
        self.cell.mark_active(row.key.job_id)
        crashes.forget_crash(self.cell, task, row.number)
        run = task.run
        ours = run is not None and _names(row, run, worker)
        self.cell.dirty.add(row.key.job_id)
        if row.how is EndKind.FAILED:
            self._count_failure(state, task, row.number, now_s)
        self.cell.late_starts.hold_back(worker, row, state, task)
        if row.how is EndKind.DONE:
            self._task_done(state, task, row, worker, now_s)
            return
        if not ours or run is None:
            return
        if row.how is EndKind.FAILED and not state.status.final:
            self.cell.run_times.observe_failed(state.job, run, now_s)
        detail: dict[str, object] = {
            "task": row.key,
            "run": row.number,
            "worker": worker.worker_id,
            "how": row.how.value,
            "asked": run.stop_reason,
        }
        self.cell.log(LogEntry("run_ended", row.key.job_id, detail))
        task.run = None
        task.ended_at_s = now_s
        task.last_worker_id = worker.worker_id
        if row.checkpoint:
            task.checkpoint = row.checkpoint
        if row.how is EndKind.FAILED:
            self.cell.health.failed(worker, run, now_s)

    def _release_room(self, worker: WorkerState, row: EndedRow) -> None:
        # Also for jobs that the cell has forgotten: their room would stay reserved.
        stray = worker.strays.get((row.key, row.number))
        if stray is not None:
            worker.remove(stray)
        booked = worker.runs.get(row.key)
        if booked is not None and booked.number <= row.number:
            worker.remove(booked)

    def _task_done(
        self,
        state: JobState,
        task: Task,
        row: EndedRow,
        worker: WorkerState,
        now_s: float,
    ) -> None:
        self.cell.health.succeeded(worker, task.key)
        if task.done:
            again: dict[str, object] = {
                "task": task.key,
                "run": row.number,
                "worker": worker.worker_id,
            }
            self.cell.log(LogEntry("run_done_again", task.key.job_id, again))
            return
        run = task.run
        detail: dict[str, object] = {
            "task": task.key,
            "run": row.number,
            "worker": worker.worker_id,
        }
        self.cell.log(LogEntry("run_done", task.key.job_id, detail))
        if run is None or not _names(row, run, worker):
            detail = {**detail, "newest_run": task.last_run}
            self.cell.log(LogEntry("released_run_done", task.key.job_id, detail))
        elif not state.status.final:
            self.cell.run_times.observe_done(state.job, run, now_s)
            task_s = self.cell.run_times.task_s(state.job.queue, run.step)
            self.cell.backlog.observe_done(state.job, run.step, task_s, now_s)
        step = state.occurrences[task.key.occurrence][task.key.step]
        if step.step.gang:
            self._gang_done(state, task, now_s)
        task.done = True
        task.checkpoint = ""
        task.run = None
        if step.done:
            self.cell.advice.forget_step(step.key)
        if run is not None and run.key in self._runs_on(run.worker_id):
            # An attempt that had been released has succeeded after all.
            self.cell.stop(run, "already_done")
        if state.all_done() and not state.status.final:
            self.cell.finish(state, JobStatus.COMPLETED, now_s, "all_done")

    def _runs_on(self, worker_id: WorkerId) -> dict[TaskKey, Run]:
        worker = self.cell.workers.get(worker_id)
        return worker.runs if worker is not None else {}

    def _gang_done(self, state: JobState, task: Task, now_s: float) -> None:
        # The tasks of a gang succeed together: the end of one stands for all.
        steps = state.occurrences[task.key.occurrence]
        for member in steps[task.key.step].tasks:
            member.done = True
            if member is not task and member.run is not None:
                other = self.cell.workers.get(member.run.worker_id)
                if other is not None:
                    other.remove(member.run)
                member.run = None

    def _count_failure(
        self, state: JobState, task: Task, number: int, now_s: float
    ) -> None:
        step = state.occurrences[task.key.occurrence][task.key.step]
        if step.step.lasting or number in task.failed_runs:
            return
        task.failed_runs.append(number)
        exhausted = step.failures(task) >= state.job.queue.attempts_max
        if exhausted and not state.status.final:
            self.cell.finish(state, JobStatus.FAILED, now_s, "attempts_used")

    def _handle_running(
        self, worker: WorkerState, row: RunningRow, now_s: float
    ) -> None:
        run = worker.runs.get(row.key)
        if run is None or run.number != row.number:
            self._stop_stray(worker, row, now_s)
            return
        run.end_unlisted = False
        if run.phase < RunPhase.RUNNING:
            run.phase = RunPhase.RUNNING
            run.confirmed_at_s = now_s
            run.progressed_at_s = now_s
            task = self.cell.task(run.key)
            if task is not None:
                # It counted as lost with an earlier incarnation, but goes on here.
                crashes.forget_crash(self.cell, task, run.number)
        self.cell.mark_active(row.key.job_id)
        self._record_survival(worker, run, now_s)
        if row.checkpoint:
            run.checkpoint = row.checkpoint
        if row.progress_percent != run.progress_percent:
            run.progress_percent = row.progress_percent
            run.progressed_at_s = now_s
        if run.step.tail_target_s:
            run.tail_s = row.measure / 1000
        else:
            run.used_cpu_millis = int(row.measure)
        state = self.cell.jobs.get(row.key.job_id)
        ended = state is None or state.status.final
        if state is not None and not ended and not run.step.lasting:
            self.cell.run_times.observe_progress(state.job, run, now_s)
        if ended:
            self.cell.stop(run, "job_ended")
        self._resend_stop(run, now_s)
        stop_if_stalled(self.cell, worker, run, now_s)

    def _record_survival(self, worker: WorkerState, run: Run, now_s: float) -> None:
        run.reported_at_s = min(run.reported_at_s, now_s)
        if worker.isolated_run is run:
            worker.end_isolation()
        task = self.cell.task(run.key)
        if task is not None and task.run is run:
            crashes.forget_crashes_if_proven(self.cell, task, run, now_s)

    def _resend_stop(self, run: Run, now_s: float) -> None:
        # Guards against a stop that was answered but had no effect: the run would
        # continue for as long as its lease is renewed. A stop without an answer is sent
        # again elsewhere.
        late = (
            now_s - run.stop_sent_at_s > self.cell.settings.stop_s + STOP_RESEND_AFTER_S
        )
        if run.phase is RunPhase.STOPPING and late:
            run.stop_sent_at_s = now_s
            self.cell.stops.append(StopOrder(run, run.worker_id, run.stop_reason))

    def _stop_stray(self, worker: WorkerState, row: RunningRow, now_s: float) -> None:
        # The run was started by an earlier holder, or its start was carried out late,
        # and the task has since been assigned a newer run.
        stray = worker.strays.get((row.key, row.number))
        if stray is None:
            stray = self._book_stray(worker, row, now_s)
        self.cell.stop(stray, "superseded")
        self._resend_stop(stray, now_s)

    def _book_stray(self, worker: WorkerState, row: RunningRow, now_s: float) -> Run:
        # Guards against a run that continues forever in room that is assigned to other
        # runs: its lease is renewed with the others', and only booked runs are stopped.
        # Every run in a report is booked, if necessary beside another run of its task.
        step = self._step_of(row.key)
        apart = step is None or row.key in worker.runs
        if step is None:
            # The resource usage of an unknown run is unknown, so it is charged all the
            # free capacity: nothing may start beside it.
            left = NOTHING.largest(worker.listing.capacity - worker.taken)
            step = Step(1, left)
        stray = Run(row.key, row.number, worker.worker_id, step, step.charge)
        stray.phase = RunPhase.RUNNING
        stray.sent_at_s = float("-inf")
        stray.reported_at_s = now_s
        stray.confirmed_at_s = now_s
        task = self.cell.task(row.key)
        if task is not None and task.run is None:
            task.late_worker_name = worker.worker_id.name
        if apart:
            worker.add_stray(stray)
        else:
            worker.add(stray)
        return stray

    def _step_of(self, key: TaskKey) -> Step | None:
        state = self.cell.jobs.get(key.job_id)
        if state is None or key.step >= len(state.job.steps):
            return None
        return state.job.steps[key.step]

    def _missing_runs(
        self, worker: WorkerState, report: Report, listed: set[TaskKey]
    ) -> list[Run]:
        """Return the attempts that certainly do not run and are not listed as ended."""
        return [
            run
            for run in worker.runs.values()
            # The report was requested with this holder's fencing token: a start of an
            # earlier holder that has not arrived by now is refused.
            if run.key not in listed
            and (
                run.phase is RunPhase.INHERITED or run.confirmed_at_s < report.sent_at_s
            )
        ]

    def _missing_strays(
        self,
        worker: WorkerState,
        report: Report,
        listed_runs: set[tuple[TaskKey, int]],
    ) -> list[Run]:
        """Return the strays that have ended or were settled by a stop."""
        return [
            stray
            for name, stray in worker.strays.items()
            if name not in listed_runs and stray.confirmed_at_s < report.sent_at_s
        ]


def _names(row: EndedRow, run: Run, worker: WorkerState) -> bool:
    """Return whether a worker's row is about a run, not another one of its task."""
    return run.number == row.number and run.worker_id == worker.worker_id
