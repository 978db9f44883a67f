"""Simulated worker: leases, epochs, slots, checkpoints, late reports."""

from dataclasses import dataclass, field, replace

from hornbeampaddle.contracts import (
    Attempt,
    Ending,
    Fenced,
    Refused,
    RunState,
    Started,
    Stopped,
    TaskOrder,
    WorkerReport,
)
from hornbeampaddle.identity import AttemptId
from hornbeampaddle.jobs import job_id_of
from hornbeampaddle.machines import Worker
from hornbeampaddle.resources import NOTHING, Resources

from .ledger import Ledger

ENDED_ATTEMPTS_MAX = 20_000


@dataclass(slots=True)
class _Run:
    order: TaskOrder
    lease_deadline_s: float
    begun_s: float
    progress_s: float
    speed: float = 1.0

    def progress_at(self, now_s: float) -> float:
        return self.progress_s + (now_s - self.begun_s) * self.speed


@dataclass(frozen=True, slots=True)
class RequestRun:
    """A request in flight and the resources that it uses."""

    key: str
    service: str
    needs: Resources
    deadline_s: float


@dataclass(slots=True)
class WorkerMachine:
    """
    The state machine of one worker; all times are on the worker's own clock.

    With ``enforces_capacity`` off the worker accepts orders beyond its capacity, as
    one with few checks would, and the ledger records the overruns.
    """

    worker: Worker
    ledger: Ledger
    enforces_capacity: bool = True
    fails_everything: bool = False
    # Jobs of which every attempt fails.
    failing_jobs: set[str] = field(default_factory=set)
    epoch: int = 0
    decider: str = ""
    # Tasks that crash the worker as they start; it restarts immediately.
    crashing_tasks: set[str] = field(default_factory=set)
    runs: dict[AttemptId, _Run] = field(default_factory=dict)
    ended: dict[AttemptId, Attempt] = field(default_factory=dict)
    requests: dict[str, RequestRun] = field(default_factory=dict)
    cancelled: dict[str, float] = field(default_factory=dict)
    # Checkpoints are stored on the platform, so all workers share them.
    checkpoints: dict[str, tuple[int, float]] = field(default_factory=dict)

    def claim(self, decider: str, now_s: float) -> WorkerReport:
        """Grant a new epoch to ``decider``; report all that the worker runs."""
        self.advance(now_s)
        self.epoch += 1
        self.decider = decider
        return self._report(now_s)

    def start(
        self, epoch: int, order: TaskOrder, lease_deadline_s: float, now_s: float
    ) -> Started | Refused | Fenced:
        """Start an attempt; idempotent for a repeated start."""
        self.advance(now_s)
        if epoch < self.epoch:
            return Fenced(self.epoch, self.decider)
        if order.attempt in self.runs or order.attempt in self.ended:
            return Started(now_s)
        if lease_deadline_s <= now_s:
            return Refused("lease deadline has passed")
        if not order.needs.fits_in(self._free_capacity()):
            if self.enforces_capacity:
                return Refused("no room")
            self.ledger.overrun(f"{self.worker.worker_id} task {order.attempt}")
        generation, progress_s = self.checkpoints.get(
            order.attempt.task_id, (order.generation, 0.0)
        )
        self.runs[order.attempt] = _Run(order, lease_deadline_s, now_s, progress_s)
        self.ledger.attempt_begun(order.attempt.task_id)
        job_id = job_id_of(order.attempt.task_id)
        if self.fails_everything or job_id in self.failing_jobs:
            self._end(order.attempt, Ending.FAILED, now_s)
        if order.attempt.task_id in self.crashing_tasks:
            self.crash()
        return Started(now_s)

    def renew(
        self,
        epoch: int,
        attempts: tuple[AttemptId, ...],
        lease_deadline_s: float,
        acknowledged: tuple[AttemptId, ...],
        now_s: float,
    ) -> WorkerReport | Fenced:
        """Extend leases, drop acknowledged ends and report the other attempts."""
        self.advance(now_s)
        if epoch < self.epoch:
            return Fenced(self.epoch, self.decider)
        for attempt in attempts:
            run = self.runs.get(attempt)
            if run is not None:
                run.lease_deadline_s = max(run.lease_deadline_s, lease_deadline_s)
        for attempt in acknowledged:
            self.ended.pop(attempt, None)
        absent = tuple(
            a for a in attempts if a not in self.runs and a not in self.ended
        )
        whole = self._report(now_s)
        renewed = set(attempts) & set(self.runs)
        other_attempts = tuple(
            a for a in whole.attempts if a.order.attempt not in renewed
        )
        return replace(whole, attempts=other_attempts, delta=True, absent=absent)

    def stop(
        self, epoch: int, attempt: AttemptId, checkpoint: bool, now_s: float
    ) -> Stopped | Refused | Fenced:
        """End an attempt, after saving a checkpoint if requested."""
        self.advance(now_s)
        if epoch < self.epoch:
            return Fenced(self.epoch, self.decider)
        over = self.ended.get(attempt)
        if over is not None:
            return Stopped(now_s, over.ending or Ending.FAILED, over.generation)
        run = self.runs.get(attempt)
        if run is None:
            return Refused("no such attempt")
        if checkpoint:
            self._checkpoint(run, now_s)
        ending = Ending.EVICTED if checkpoint else Ending.CANCELLED
        self.ledger.attempts_stopped += 1
        self._end(attempt, ending, now_s)
        return Stopped(now_s, ending, self.ended[attempt].generation)

    def _checkpoint(self, run: _Run, now_s: float) -> None:
        task_id = run.order.attempt.task_id
        generation, _ = self.checkpoints.get(task_id, (run.order.generation, 0.0))
        self.checkpoints[task_id] = (generation + 1, run.progress_at(now_s))

    def begin_request(
        self, epoch: int, run: RequestRun, now_s: float, may_repeat: bool
    ) -> Fenced | Refused | None:
        """Start a request in a slot; return None, or the reason for a refusal."""
        self.advance(now_s)
        if epoch < self.epoch:
            return Fenced(self.epoch, self.decider)
        if run.key in self.cancelled or now_s >= run.deadline_s:
            return Refused("cancelled or past its deadline")
        if run.key in self.requests:
            return Refused("already running")
        full = len(self.requests) >= self.worker.slots
        if full or not run.needs.fits_in(self._free_capacity()):
            if self.enforces_capacity:
                return Refused("full")
            self.ledger.overrun(f"{self.worker.worker_id} request {run.key}")
        self.requests[run.key] = run
        self.ledger.request_begun(run.key, may_repeat)
        return None

    def end_request(self, key: str) -> None:
        """Free a request's slot."""
        if self.requests.pop(key, None) is not None:
            self.ledger.request_ended(key)

    def cancel_request(self, key: str, now_s: float) -> bool:
        """
        Reject a request from now on.

        Return whether it is certain that the request never ran and is not running.
        """
        self.cancelled[key] = now_s
        return key not in self.requests and key not in self.ledger.requests_begun

    def advance(self, now_s: float) -> None:
        """End attempts that have finished or whose lease has expired."""
        for attempt, run in list(self.runs.items()):
            finish_s = run.begun_s + (run.order.run_s - run.progress_s) / run.speed
            if finish_s <= min(now_s, run.lease_deadline_s):
                self._end(attempt, Ending.DONE, now_s)
            elif now_s > run.lease_deadline_s:
                self.ledger.attempts_lapsed += 1
                self._end(attempt, Ending.LAPSED, now_s)

    def _end(self, attempt: AttemptId, ending: Ending, now_s: float) -> None:
        run = self.runs.pop(attempt)
        generation, _ = self.checkpoints.get(
            attempt.task_id, (run.order.generation, 0.0)
        )
        progress = 1.0
        if run.order.run_s:
            progress = min(1.0, run.progress_at(now_s) / run.order.run_s)
        self.ended[attempt] = Attempt(
            run.order, RunState.ENDED, 0.0, ending, generation, progress
        )
        if len(self.ended) > ENDED_ATTEMPTS_MAX:
            self.ended.pop(next(iter(self.ended)))
        self.ledger.attempt_ended(attempt.task_id, ending is Ending.DONE)

    def _free_capacity(self) -> Resources:
        return self.worker.capacity - self._used()

    def _used(self) -> Resources:
        used = NOTHING
        for run in self.runs.values():
            used = used + run.order.needs
        for request in self.requests.values():
            used = used + request.needs
        return used

    def _report(self, now_s: float) -> WorkerReport:
        running = [
            Attempt(
                run.order,
                RunState.RUNNING,
                run.lease_deadline_s,
                None,
                run.order.generation,
                min(1.0, run.progress_at(now_s) / (run.order.run_s or 1.0)),
            )
            for run in self.runs.values()
        ]
        slots_used: dict[str, int] = {}
        for request in self.requests.values():
            slots_used[request.service] = slots_used.get(request.service, 0) + 1
        used = self._used()
        return WorkerReport(
            self.worker.worker_id,
            self.epoch,
            now_s,
            (*running, *self.ended.values()),
            slots_used,
            used.cpu_millis,
            used.memory_bytes,
        )

    def crash(self) -> None:
        """Lose all attempts and requests, as in a machine crash."""
        for attempt in list(self.runs):
            self._end(attempt, Ending.FAILED, self.runs[attempt].begun_s)
        self.ended.clear()
        for key in list(self.requests):
            self.end_request(key)
