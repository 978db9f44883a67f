"""
Run the tasks of the jobs that one incarnation owns.

An ``Owner`` is a state machine: it takes notices from deciders, committed
records and the current time, and returns commands for deciders and records
for the log.
"""

from collections import deque
from collections.abc import Container, Iterable
from dataclasses import dataclass, field

from .commands import Acknowledge, Adopt, Ask, Cancel, Command, Place
from .configuration import resources_of
from .contracts import Ending
from .defaults import Limits, Timing
from .identity import AttemptId
from .jobs import (
    Job,
    JobTable,
    Task,
    TaskEnd,
    TaskState,
    final_result,
    job_id_of,
    order_for,
)
from .notices import (
    AttemptEnded,
    AttemptInDoubt,
    AttemptRunning,
    Notice,
    OwnerInventory,
)
from .owners import lease_expiry_wait_s, succession_wait_s
from .placement import CapacityView, Fits, NoRoomNow
from .records import Setbacks
from .resources import NOTHING, Resources
from .takeover import Takeover

QUEUE_TASKS_TRIED_PER_TICK_MAX = 256
RETRY_BACKOFF_S = 0.5
PREEMPTION_RETRY_S = 0.1
# A worker that is lost after its attempt has run this long is not counted against
# the task: the start of the attempt did not crash the worker.
STABLE_RUN_S = 30.0
UNSETTLED_STATES = (TaskState.PLACED, TaskState.DOUBT, TaskState.INHERITED)


@dataclass(slots=True)
class OwnerActions:
    """The result of one input: commands for deciders, and records for the log."""

    commands: list[Command] = field(default_factory=list)
    ended: dict[str, TaskEnd] = field(default_factory=dict)
    advanced: dict[str, tuple[int, int]] = field(default_factory=dict)
    setbacks: dict[str, Setbacks] = field(default_factory=dict)

    def add(self, other: "OwnerActions") -> None:
        """Merge in the result of another input."""
        self.commands.extend(other.commands)
        self.ended.update(other.ended)
        self.advanced.update(other.advanced)
        self.setbacks.update(other.setbacks)

    def record_setbacks(self, task: Task) -> None:
        """
        Record a task's failures and losses in the log.

        Guards against a task that is retried for ever as its owner changes: without
        the record each successor would count from zero.
        """
        self.setbacks[task.task_id] = task.setbacks()


@dataclass(slots=True)
class Owner:
    """The scheduling of all jobs that are owned under one owner name."""

    name: str
    timing: Timing
    limits: Limits
    table: JobTable
    capacity_view: CapacityView
    evictions: int = 0
    takeovers: dict[str, Takeover] = field(default_factory=dict)
    _urgent: deque[str] = field(default_factory=deque)
    _batch: deque[str] = field(default_factory=deque)
    # Ids of the tasks whose last attempt isn't settled, by the attempt's worker.
    _tasks_by_worker: dict[str, set[str]] = field(default_factory=dict)
    _unsettled: set[str] = field(default_factory=set)
    _used_by_team: dict[str, Resources] = field(default_factory=dict)
    _log_read_s: float = float("-inf")
    # Acknowledgements to send once the end is durable: those of final ends by
    # task, those of evictions by attempt.
    _final_acknowledgements: dict[str, Acknowledge] = field(default_factory=dict)
    _eviction_acknowledgements: dict[AttemptId, Acknowledge] = field(
        default_factory=dict
    )

    def adopted(
        self, jobs: Iterable[Job], dead_owner: str, workers: Iterable[str], now_s: float
    ) -> None:
        """
        Start scheduling jobs that a record has assigned to this owner.

        ``dead_owner`` is empty for jobs that this owner has accepted itself.
        ``workers`` names all workers that may run attempts of inherited jobs.
        """
        takeover = self._takeover(dead_owner, workers, now_s) if dead_owner else None
        for job in jobs:
            for task in job.tasks.values():
                if task.state is TaskState.PENDING:
                    self._queue(job, task)
                elif task.state is TaskState.INHERITED:
                    task.takeover = takeover
                    self._unsettled.add(task.task_id)

    def _takeover(
        self, dead_owner: str, workers: Iterable[str], now_s: float
    ) -> Takeover:
        known = self.takeovers.get(dead_owner)
        if known is not None:
            return known
        stopped_s = now_s + succession_wait_s(self.timing)
        over_by_s = stopped_s + lease_expiry_wait_s(self.timing)
        takeover = Takeover(dead_owner, stopped_s, over_by_s, set(workers))
        self.takeovers[dead_owner] = takeover
        return takeover

    def on_inventory(self, inventory: OwnerInventory, now_s: float) -> OwnerActions:
        """Apply a worker's inventory for an owner that this one has succeeded."""
        actions = OwnerActions()
        for running in inventory.running:
            actions.add(self.on_notice(running, now_s))
        for ended in inventory.ended:
            actions.add(self.on_notice(ended, now_s))
        takeover = self.takeovers.get(inventory.dead_owner)
        if takeover is not None:
            takeover.unreported_workers.discard(inventory.worker_id)
        return actions

    def _queue(self, job: Job, task: Task) -> None:
        task.state = TaskState.PENDING
        queue = self._urgent if job.spec.urgent else self._batch
        queue.append(task.task_id)

    def has_queued(self) -> bool:
        """Tell whether any tasks are waiting to be placed."""
        return bool(self._urgent or self._batch)

    def disowned(self) -> tuple[AttemptId, ...]:
        """Return the attempts whose leases deciders must stop renewing."""
        attempts = []
        for task_id in self._unsettled:
            found = self.table.find(task_id)
            if found is not None and found[1].state is TaskState.DOUBT:
                attempts.append(found[1].attempt())
        return tuple(attempts)

    def on_notice(self, notice: Notice, now_s: float) -> OwnerActions:
        """Handle a decider's notice."""
        if isinstance(notice, OwnerInventory):
            return self.on_inventory(notice, now_s)
        actions = OwnerActions()
        attempt = notice.order.attempt
        found = self.table.find(attempt.task_id)
        if found is None:
            # Not ours, or not yet: only the owner may acknowledge or stop an
            # attempt. Any owner may clean up attempts of a finished job.
            if self.table.is_finished(attempt.task_id):
                self._on_obsolete_attempt(notice, actions)
            return actions
        job, task = found
        if task.state is TaskState.ENDED:
            self._on_obsolete_attempt(notice, actions)
            return actions
        if task.state is TaskState.INHERITED and attempt > task.attempt():
            self._track(task, attempt, notice.worker_id)
        if attempt != task.attempt():
            self._on_obsolete_attempt(notice, actions)
            return actions
        match notice:
            case AttemptRunning() if notice.epoch < self.capacity_view.epoch(
                notice.worker_id
            ):
                # Guards against a task that hangs: this is a delayed notice of a
                # replaced decider, and the attempt may have ended since.
                pass
            case AttemptRunning():
                self._on_running(job, task, notice, now_s, actions)
            case AttemptEnded():
                self._on_ended(job, task, notice, now_s, actions)
            case AttemptInDoubt():
                self._mark_in_doubt(task, now_s)
        return actions

    def _on_obsolete_attempt(self, notice: Notice, actions: OwnerActions) -> None:
        # The attempt is not the task's last one, or its task has ended: its end
        # needs no record, and if it still runs it must be stopped.
        match notice:
            case AttemptEnded():
                acknowledge = Acknowledge(notice.order.attempt, notice.worker_id)
                actions.commands.append(acknowledge)
            case AttemptRunning():
                actions.commands.append(Cancel(notice.order.attempt, notice.worker_id))
            case AttemptInDoubt():
                pass

    def _track(self, task: Task, attempt: AttemptId, worker_id: str) -> None:
        self._untrack(task)
        task.term = attempt.term
        task.number = attempt.number
        task.worker_id = worker_id
        self._tasks_by_worker.setdefault(worker_id, set()).add(task.task_id)

    def _untrack(self, task: Task) -> None:
        self._tasks_by_worker.get(task.worker_id, set()).discard(task.task_id)

    def _on_running(
        self,
        job: Job,
        task: Task,
        notice: AttemptRunning,
        now_s: float,
        actions: OwnerActions,
    ) -> None:
        if job.cancelled:
            actions.commands.append(Cancel(task.attempt(), notice.worker_id))
            return
        if task.state is TaskState.INHERITED:
            self._count_use(job, 1)
            # From now on the attempt is settled like one that this owner started;
            # the takeover's deadline doesn't cover leases renewed since then.
            task.takeover = None
        task.state = TaskState.RUNNING
        task.gone_s = None
        if task.running_s is None:
            task.running_s = now_s
        self._unsettled.discard(task.task_id)
        actions.commands.append(Adopt(task.attempt(), notice.worker_id))

    def _on_ended(
        self,
        job: Job,
        task: Task,
        notice: AttemptEnded,
        now_s: float,
        actions: OwnerActions,
    ) -> None:
        if task.state is TaskState.ENDING:
            return
        if task.state is TaskState.PENDING:
            # Already settled; the decider repeats unacknowledged notices.
            self._on_obsolete_attempt(notice, actions)
            return
        task.generation = max(task.generation, notice.generation)
        end = final_result(job, task, notice.ending)
        if task.gone_s is not None and notice.ending is Ending.LAPSED:
            return
        if task.state is TaskState.INHERITED:
            # Guards against two concurrent runs after a takeover: the old owner
            # may have seen this end and started a later attempt, whose decider
            # hasn't reported yet. Only an end that rules out a later attempt
            # settles an inherited task before the takeover is settled.
            if end not in (TaskEnd.DONE, TaskEnd.CANCELLED):
                self._count_setback(task, notice.ending, now_s, actions)
                return
        elif notice.ending is not Ending.LAPSED:
            self._count_use(job, -1)
        self._apply_ending(task, notice, now_s, actions)
        if len(task.failed) >= self.limits.task_failures_max:
            end = TaskEnd.FAILED
        acknowledge = Acknowledge(task.attempt(), notice.worker_id)
        if notice.ending is Ending.LAPSED:
            actions.commands.append(acknowledge)
            self._mark_gone(task, now_s)
            return
        self._settle(job, task, end, now_s, actions)
        if end is not None:
            self._final_acknowledgements[task.task_id] = acknowledge
        elif notice.ending is Ending.EVICTED:
            self._eviction_acknowledgements[acknowledge.attempt] = acknowledge
        else:
            actions.commands.append(acknowledge)

    def _mark_gone(self, task: Task, now_s: float) -> None:
        # Guards against finished work that runs again: a worker also forgets an
        # attempt whose end another owner of the task has recorded. That record was
        # written first, so a read of the log that begins from now on shows it.
        if task.gone_s is None:
            task.gone_s = now_s
        if task.state is not TaskState.INHERITED:
            task.state = TaskState.DOUBT
        self._unsettled.add(task.task_id)

    def log_read(self, asked_s: float) -> None:
        """Record that a read requested at ``asked_s``, local time, reached the end."""
        self._log_read_s = max(self._log_read_s, asked_s)

    def _apply_ending(
        self, task: Task, notice: AttemptEnded, now_s: float, actions: OwnerActions
    ) -> None:
        job_id = job_id_of(task.task_id)
        match notice.ending:
            case Ending.FAILED:
                self._count_setback(task, notice.ending, now_s, actions)
                task.failed_on.add(notice.worker_id)
                task.not_before_s = now_s + RETRY_BACKOFF_S * len(task.failed)
                self.capacity_view.failed(notice.worker_id, job_id, now_s)
            case Ending.DONE:
                self.capacity_view.succeeded(notice.worker_id, job_id)
            case Ending.EVICTED:
                self.evictions += 1
            case Ending.NEVER_STARTED:
                task.not_before_s = now_s + RETRY_BACKOFF_S / 2
            case Ending.ROOM_COMING:
                self._expect_preemption(task, notice.worker_id, now_s)
            case _:
                pass

    def _settle(
        self,
        job: Job,
        task: Task,
        end: TaskEnd | None,
        now_s: float,
        actions: OwnerActions,
    ) -> None:
        """Record the end of a task, or queue the task for its next attempt."""
        self._untrack(task)
        self._unsettled.discard(task.task_id)
        task.takeover = None
        task.gone_s = None
        if end is None:
            if task.generation:
                actions.advanced[task.task_id] = (task.number, task.generation)
            self._queue(job, task)
            return
        task.state = TaskState.ENDING
        actions.ended[task.task_id] = end

    def committed(self, task_ids: Iterable[str]) -> OwnerActions:
        """Acknowledge final ends that are now durable in the log."""
        found = (
            self._final_acknowledgements.pop(task_id, None) for task_id in task_ids
        )
        return OwnerActions(commands=[each for each in found if each is not None])

    def recorded(self, advanced: dict[str, tuple[int, int]]) -> OwnerActions:
        """
        Acknowledge evictions whose checkpoints are now durable in the log.

        The record names the attempt. A record of an earlier attempt doesn't cover
        the end of a later one: acknowledging that end would let the worker forget a
        result that hasn't been recorded anywhere.
        """
        actions = OwnerActions()
        for attempt in list(self._eviction_acknowledgements):
            number, _ = advanced.get(attempt.task_id, (0, 0))
            if attempt.number == number:
                actions.commands.append(self._eviction_acknowledgements.pop(attempt))
        return actions

    def _expect_preemption(self, task: Task, worker_id: str, now_s: float) -> None:
        task.preempting_worker_id = worker_id
        task.not_before_s = now_s + PREEMPTION_RETRY_S

    def refused(
        self, attempt: AttemptId, worker_id: str, now_s: float, room_coming: bool
    ) -> OwnerActions:
        """Handle a decider's refusal: the attempt was never started."""
        found = self.table.find(attempt.task_id)
        actions = OwnerActions()
        if found is None or found[1].attempt() != attempt:
            return actions
        job, task = found
        if task.state not in (TaskState.PLACED, TaskState.DOUBT):
            return actions
        self._count_use(job, -1)
        task.not_before_s = now_s + RETRY_BACKOFF_S / 2
        if room_coming:
            self._expect_preemption(task, worker_id, now_s)
        end = TaskEnd.CANCELLED if job.cancelled else None
        self._settle(job, task, end, now_s, actions)
        actions.advanced.clear()
        return actions

    def _mark_in_doubt(self, task: Task, now_s: float) -> None:
        if task.state not in (TaskState.PLACED, TaskState.RUNNING):
            return
        task.state = TaskState.DOUBT
        # Guards against two concurrent runs of a task: the worker has become
        # unresponsive and may still run it. From now on deciders are told not to
        # renew the attempt, so it is over once every authority span and lease that
        # began before now has passed.
        stopped_s = now_s + succession_wait_s(self.timing)
        task.over_by_s = stopped_s + lease_expiry_wait_s(self.timing)
        self._unsettled.add(task.task_id)

    def decider_changed(self, worker_id: str) -> None:
        """
        Query a worker's new decider for each of this owner's attempts there.

        An attempt's state may have changed between the previous decider's last
        report and the new claim, and the new decider doesn't know the reported state.
        """
        for task_id in self._tasks_by_worker.get(worker_id, ()):
            found = self.table.find(task_id)
            if found is not None and found[1].state is TaskState.RUNNING:
                found[1].state = TaskState.PLACED
                self._unsettled.add(task_id)

    def decider_lost(self, worker_id: str, now_s: float) -> None:
        """Mark all attempts on a worker without a live decider as in doubt."""
        for task_id in list(self._tasks_by_worker.get(worker_id, ())):
            found = self.table.find(task_id)
            if found is not None:
                self._mark_in_doubt(found[1], now_s)

    def cancel(self, job: Job, now_s: float) -> OwnerActions:
        """Stop the tasks of a cancelled job; pending tasks end immediately."""
        actions = OwnerActions()
        for task in job.tasks.values():
            match task.state:
                case TaskState.PENDING:
                    self._settle(job, task, TaskEnd.CANCELLED, now_s, actions)
                case TaskState.PLACED | TaskState.RUNNING | TaskState.DOUBT:
                    actions.commands.append(Cancel(task.attempt(), task.worker_id))
                case _:
                    pass
        return actions

    def tick(
        self,
        now_s: float,
        authority_until_s: float,
        quotas: dict[str, Resources],
        listed: Container[str],
    ) -> OwnerActions:
        """
        Settle attempts whose waiting time has passed, and place pending tasks.

        ``listed`` contains the ids of the workers in the instance list.
        """
        actions = OwnerActions()
        for task_id in list(self._unsettled):
            self._check_unsettled(task_id, now_s, listed, actions)
        self._forget_takeovers(now_s, listed)
        # Guards against an owner that was paused or partitioned: once its
        # authority has expired, a successor may be starting the same tasks.
        if now_s < authority_until_s:
            self._place_from(self._urgent, now_s, authority_until_s, quotas, actions)
            self._place_from(self._batch, now_s, authority_until_s, quotas, actions)
        return actions

    def _forget_takeovers(self, now_s: float, listed: Container[str]) -> None:
        for dead_owner, takeover in list(self.takeovers.items()):
            if takeover.settled(now_s, listed):
                del self.takeovers[dead_owner]

    def inventories_to_ask(self, now_s: float) -> list[str]:
        """Return the dead owners whose inventories are due to be requested."""
        due = []
        for dead_owner, takeover in self.takeovers.items():
            again_s = takeover.asked_s + self.timing.renew_interval_s
            if (
                now_s > takeover.stopped_s
                and now_s > again_s
                and takeover.unreported_workers
            ):
                takeover.asked_s = now_s
                due.append(dead_owner)
        return due

    def _check_unsettled(
        self, task_id: str, now_s: float, listed: Container[str], actions: OwnerActions
    ) -> None:
        found = self.table.find(task_id)
        # Guards against a finished task that runs again: the old owner may have
        # recorded its end, which was read from the log during the wait.
        if found is None or found[1].state not in UNSETTLED_STATES:
            self._unsettled.discard(task_id)
            return
        job, task = found
        if task.gone_s is not None:
            if self._log_read_s > task.gone_s:
                self._settle_gone(job, task, now_s, actions)
            return
        if task.state is TaskState.PLACED:
            if now_s - task.asked_s > self.timing.call_timeout_s:
                task.asked_s = now_s
                order = order_for(job, task, self.name)
                actions.commands.append(Ask(order, task.worker_id))
            return
        if self._certainly_over(task, now_s, listed):
            self._mark_gone(task, now_s)
        elif task.worker_id and now_s - task.asked_s > self.timing.renew_interval_s:
            task.asked_s = now_s
            order = order_for(job, task, self.name)
            actions.commands.append(Ask(order, task.worker_id))

    def _certainly_over(self, task: Task, now_s: float, listed: Container[str]) -> bool:
        # Guards against a finished task that runs again: the attempt may have
        # ended on a worker that is unreachable now, and only that worker knows.
        if task.takeover is not None:
            return task.takeover.settled(now_s, listed)
        return now_s > task.over_by_s and task.worker_id not in listed

    def _settle_gone(
        self, job: Job, task: Task, now_s: float, actions: OwnerActions
    ) -> None:
        end = final_result(job, task, Ending.LAPSED)
        if task.state is not TaskState.INHERITED:
            self._count_use(job, -1)
            self._count_setback(task, Ending.LAPSED, now_s, actions)
        if end is None and self._limits_exhausted(task):
            end = TaskEnd.FAILED
        self._settle(job, task, end, now_s, actions)

    def _limits_exhausted(self, task: Task) -> bool:
        if len(task.failed) >= self.limits.task_failures_max:
            return True
        return len(task.lost) >= self.limits.task_losses_max

    def _count_setback(
        self, task: Task, ending: Ending, now_s: float, actions: OwnerActions
    ) -> None:
        """
        Count the last attempt if it failed or was lost with its worker.

        Guards against a task that crashes each worker that starts it: its attempts
        disappear without an end on one worker after another, each time together with
        everything else that ran there. Consecutive losses are therefore bounded. A loss
        after a run longer than ``STABLE_RUN_S`` is attributed to the worker, and resets
        the count.
        """
        attempt = (task.term, task.number)
        match ending:
            case Ending.FAILED if attempt not in task.failed:
                task.failed.append(attempt)
            case Ending.LAPSED if self._ran_long(task, now_s):
                task.lost.clear()
            case Ending.LAPSED if attempt not in task.lost:
                task.lost.append(attempt)
            case _:
                return
        actions.record_setbacks(task)

    def _ran_long(self, task: Task, now_s: float) -> bool:
        gone_s = now_s if task.gone_s is None else task.gone_s
        return task.running_s is not None and gone_s - task.running_s > STABLE_RUN_S

    def _place_from(
        self,
        queue: deque[str],
        now_s: float,
        valid_until_s: float,
        quotas: dict[str, Resources],
        actions: OwnerActions,
    ) -> None:
        """Try to place queued tasks in order; one that can't be placed is requeued."""
        for _ in range(min(len(queue), QUEUE_TASKS_TRIED_PER_TICK_MAX)):
            task_id = queue.popleft()
            found = self.table.find(task_id)
            if found is None or found[1].state is not TaskState.PENDING:
                continue
            job, task = found
            if not self._place(job, task, now_s, valid_until_s, quotas, actions):
                queue.append(task_id)

    def _place(
        self,
        job: Job,
        task: Task,
        now_s: float,
        valid_until_s: float,
        quotas: dict[str, Resources],
        actions: OwnerActions,
    ) -> bool:
        if job.cancelled:
            self._settle(job, task, TaskEnd.CANCELLED, now_s, actions)
            return True
        needs = resources_of(job.spec.needs)
        if now_s < task.not_before_s or not self._in_quota(job, needs, quotas):
            return False
        worker_id = self._choose(job, task, needs, now_s)
        if worker_id is None:
            return False
        self._next_attempt(job, task)
        self._track(task, task.attempt(), worker_id)
        task.state = TaskState.PLACED
        task.asked_s = now_s
        self._unsettled.add(task.task_id)
        self.capacity_view.deduct(worker_id, needs)
        self._count_use(job, 1)
        order = order_for(job, task, self.name)
        actions.commands.append(Place(order, worker_id, valid_until_s))
        return True

    def _choose(
        self, job: Job, task: Task, needs: Resources, now_s: float
    ) -> str | None:
        """Choose a worker; an urgent task may be given one that must preempt for it."""
        if task.preempting_worker_id:
            worker_id, task.preempting_worker_id = task.preempting_worker_id, ""
            return worker_id
        match self.capacity_view.choose(needs, task.failed_on, now_s):
            case Fits(worker_id):
                return worker_id
            case NoRoomNow() if job.spec.urgent:
                return self.capacity_view.choose_for_preemption(needs, now_s)
            case _:
                return None

    def _next_attempt(self, job: Job, task: Task) -> None:
        task.running_s = None
        task.number = task.number + 1 if task.term == job.term else 1
        task.term = job.term

    def _in_quota(
        self, job: Job, needs: Resources, quotas: dict[str, Resources]
    ) -> bool:
        quota = quotas.get(job.spec.team)
        if quota is None:
            return True
        used = self._used_by_team.get(job.spec.team, NOTHING)
        return (used + needs).fits_in(quota)

    def _count_use(self, job: Job, tasks: int) -> None:
        needs = resources_of(job.spec.needs).times(tasks)
        used = self._used_by_team.get(job.spec.team, NOTHING)
        self._used_by_team[job.spec.team] = used + needs
