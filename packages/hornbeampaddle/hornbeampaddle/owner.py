"""
Drive the tasks of the jobs that one incarnation owns.

Takes notices of deciders, committed records and the time; returns orders for
deciders and records for the log.
"""

from collections import deque
from collections.abc import Container, Iterable
from dataclasses import dataclass, field

from .commands import Acknowledge, Adopt, Ask, Cancel, Command, Place
from .configuration import resources_of
from .contracts import Ending
from .defaults import Limits, Timing
from .identity import AttemptId
from .jobs import Job, JobTable, Task, TaskEnd, TaskState, next_state, order_for
from .notices import (
    AttemptEnded,
    AttemptInDoubt,
    AttemptRunning,
    Notice,
    OwnerInventory,
)
from .owners import lapse_wait_s, succession_wait_s
from .placement import Fits, NoRoomNow, Rooms
from .records import Setbacks
from .resources import NOTHING, Resources
from .takeover import Takeover

PLACED_PER_TICK = 256
RETRY_BACKOFF_S = 0.5
ROOM_ASKED_S = 0.1
# An attempt that has run for so long did not bring its worker down by being started.
PROVEN_S = 30.0
UNSETTLED = (TaskState.PLACED, TaskState.DOUBT, TaskState.INHERITED)


@dataclass(slots=True)
class Work:
    """What one input leads to: commands for deciders, and ends to record."""

    commands: list[Command] = field(default_factory=list)
    ended: dict[str, TaskEnd] = field(default_factory=dict)
    advanced: dict[str, tuple[int, int]] = field(default_factory=dict)
    setbacks: dict[str, Setbacks] = field(default_factory=dict)

    def add(self, other: "Work") -> None:
        """Add what another input led to."""
        self.commands.extend(other.commands)
        self.ended.update(other.ended)
        self.advanced.update(other.advanced)
        self.setbacks.update(other.setbacks)

    def set_back(self, task: Task) -> None:
        """
        Have a task's failures and losses recorded.

        Guards against a task that is tried for ever while owners come and go: each
        successor would begin to count anew.
        """
        self.setbacks[task.task_id] = task.setbacks()


@dataclass(slots=True)
class Owner:
    """The running of all jobs under one owner's name."""

    name: str
    timing: Timing
    limits: Limits
    table: JobTable
    rooms: Rooms
    evictions: int = 0
    takeovers: dict[str, Takeover] = field(default_factory=dict)
    _urgent: deque[str] = field(default_factory=deque)
    _batch: deque[str] = field(default_factory=deque)
    # Tasks whose last attempt is unsettled, by the worker it was sent to.
    _on_worker: dict[str, set[str]] = field(default_factory=dict)
    _unsettled: set[str] = field(default_factory=set)
    _used_by_team: dict[str, Resources] = field(default_factory=dict)
    _log_read_s: float = float("-inf")
    # Ends that become acknowledgements once they are durable: final ones by
    # task, evictions by attempt.
    _final: dict[str, Acknowledge] = field(default_factory=dict)
    _evicted: dict[AttemptId, Acknowledge] = field(default_factory=dict)

    def adopted(
        self, jobs: Iterable[Job], dead_owner: str, workers: Iterable[str], now_s: float
    ) -> None:
        """
        Take over jobs that a record has made ours.

        ``dead_owner`` is empty for jobs that were ours from the start;
        ``workers`` are all workers that may hold attempts of inherited ones.
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
        over_by_s = stopped_s + lapse_wait_s(self.timing)
        takeover = Takeover(dead_owner, stopped_s, over_by_s, set(workers))
        self.takeovers[dead_owner] = takeover
        return takeover

    def on_inventory(self, inventory: OwnerInventory, now_s: float) -> Work:
        """Take all that a worker holds of an owner that we succeeded."""
        work = Work()
        for running in inventory.running:
            work.add(self.on_notice(running, now_s))
        for ended in inventory.ended:
            work.add(self.on_notice(ended, now_s))
        takeover = self.takeovers.get(inventory.dead_owner)
        if takeover is not None:
            takeover.unseen.discard(inventory.worker_id)
        return work

    def _queue(self, job: Job, task: Task) -> None:
        task.state = TaskState.PENDING
        queue = self._urgent if job.spec.urgent else self._batch
        queue.append(task.task_id)

    def has_queued(self) -> bool:
        """Tell whether tasks wait to be placed."""
        return bool(self._urgent or self._batch)

    def disowned(self) -> tuple[AttemptId, ...]:
        """Return the attempts that no decider may renew for us any more."""
        attempts = []
        for task_id in self._unsettled:
            found = self.table.find(task_id)
            if found is not None and found[1].state is TaskState.DOUBT:
                attempts.append(found[1].attempt())
        return tuple(attempts)

    def on_notice(self, notice: Notice, now_s: float) -> Work:
        """Take what a decider says about one attempt."""
        if isinstance(notice, OwnerInventory):
            return self.on_inventory(notice, now_s)
        work = Work()
        attempt = notice.order.attempt
        found = self.table.find(attempt.task_id)
        if found is None:
            # Not ours, or not yet: only an owner may acknowledge or stop. What
            # a finished job left on a worker is anybody's to clear away.
            if self.table.is_finished(attempt.task_id):
                self._on_stray(notice, work)
            return work
        job, task = found
        if task.state is TaskState.ENDED:
            self._on_stray(notice, work)
            return work
        if task.state is TaskState.INHERITED and attempt > task.attempt():
            self._track(task, attempt, notice.worker_id)
        if attempt != task.attempt():
            self._on_stray(notice, work)
            return work
        match notice:
            case AttemptRunning() if notice.epoch < self.rooms.epoch(notice.worker_id):
                # Guards against a task that hangs: a notice of a decider that
                # has been replaced came late, and what it says may be over.
                pass
            case AttemptRunning():
                self._on_running(job, task, notice, now_s, work)
            case AttemptEnded():
                self._on_ended(job, task, notice, now_s, work)
            case AttemptInDoubt():
                self._doubt(task, now_s)
        return work

    def _on_stray(self, notice: Notice, work: Work) -> None:
        # An attempt that is not the task's last, or of a task that is over: its
        # end needs no record, and if it still runs it must not.
        match notice:
            case AttemptEnded():
                acknowledge = Acknowledge(notice.order.attempt, notice.worker_id)
                work.commands.append(acknowledge)
            case AttemptRunning():
                work.commands.append(Cancel(notice.order.attempt, notice.worker_id))
            case AttemptInDoubt():
                pass

    def _track(self, task: Task, attempt: AttemptId, worker_id: str) -> None:
        self._untrack(task)
        task.term = attempt.term
        task.number = attempt.number
        task.worker_id = worker_id
        self._on_worker.setdefault(worker_id, set()).add(task.task_id)

    def _untrack(self, task: Task) -> None:
        self._on_worker.get(task.worker_id, set()).discard(task.task_id)

    def _on_running(
        self, job: Job, task: Task, notice: AttemptRunning, now_s: float, work: Work
    ) -> None:
        if job.cancelled:
            work.commands.append(Cancel(task.attempt(), notice.worker_id))
            return
        if task.state is TaskState.INHERITED:
            self._count_use(job, 1)
            # From here on the attempt is doubted and settled like one of our
            # own; the takeover's time says nothing about leases renewed since.
            task.takeover = None
        task.state = TaskState.RUNNING
        task.gone_s = None
        if task.running_s is None:
            task.running_s = now_s
        self._unsettled.discard(task.task_id)
        work.commands.append(Adopt(task.attempt(), notice.worker_id))

    def _on_ended(
        self, job: Job, task: Task, notice: AttemptEnded, now_s: float, work: Work
    ) -> None:
        if task.state is TaskState.ENDING:
            return
        if task.state is TaskState.PENDING:
            # Settled already; the decider repeats what was not acknowledged.
            self._on_stray(notice, work)
            return
        task.generation = max(task.generation, notice.generation)
        end = next_state(job, task, notice.ending)
        if task.gone_s is not None and notice.ending is Ending.LAPSED:
            return
        if task.state is TaskState.INHERITED:
            # Guards against two runs after a takeover: the old owner may have
            # seen this end and started a later attempt whose decider we have
            # not heard yet. Only an end after which there is no later attempt
            # settles an inherited task before its time.
            if end not in (TaskEnd.DONE, TaskEnd.CANCELLED):
                self._count_setback(task, notice.ending, now_s, work)
                return
        elif notice.ending is not Ending.LAPSED:
            self._count_use(job, -1)
        self._learn(task, notice, now_s, work)
        if len(task.failed) >= self.limits.task_failures_max:
            end = TaskEnd.FAILED
        acknowledge = Acknowledge(task.attempt(), notice.worker_id)
        if notice.ending is Ending.LAPSED:
            work.commands.append(acknowledge)
            self._gone(task, now_s)
            return
        self._settle(job, task, end, now_s, work)
        if end is not None:
            self._final[task.task_id] = acknowledge
        elif notice.ending is Ending.EVICTED:
            self._evicted[acknowledge.attempt] = acknowledge
        else:
            work.commands.append(acknowledge)

    def _gone(self, task: Task, now_s: float) -> None:
        # Guards against finished work that runs again: a worker also forgets an
        # attempt whose end another owner of the task has recorded. The record
        # came first, so a read of the log begun from now on shows it.
        if task.gone_s is None:
            task.gone_s = now_s
        if task.state is not TaskState.INHERITED:
            task.state = TaskState.DOUBT
        self._unsettled.add(task.task_id)

    def log_read(self, asked_s: float) -> None:
        """Note a read through the log's end that was asked for at a local time."""
        self._log_read_s = max(self._log_read_s, asked_s)

    def _learn(
        self, task: Task, notice: AttemptEnded, now_s: float, work: Work
    ) -> None:
        match notice.ending:
            case Ending.FAILED:
                self._count_setback(task, notice.ending, now_s, work)
                task.failed_on.add(notice.worker_id)
                task.not_before_s = now_s + RETRY_BACKOFF_S * len(task.failed)
                self.rooms.failed(notice.worker_id, now_s)
            case Ending.DONE:
                self.rooms.succeeded(notice.worker_id)
            case Ending.EVICTED:
                self.evictions += 1
            case Ending.NEVER_STARTED:
                task.not_before_s = now_s + RETRY_BACKOFF_S / 2
            case Ending.ROOM_COMING:
                self._expect_room(task, notice.worker_id, now_s)
            case _:
                pass

    def _settle(
        self, job: Job, task: Task, end: TaskEnd | None, now_s: float, work: Work
    ) -> None:
        """Record the end of a task, or queue its next attempt."""
        self._untrack(task)
        self._unsettled.discard(task.task_id)
        task.takeover = None
        task.gone_s = None
        if end is None:
            if task.generation:
                work.advanced[task.task_id] = (task.number, task.generation)
            self._queue(job, task)
            return
        task.state = TaskState.ENDING
        work.ended[task.task_id] = end

    def committed(self, task_ids: Iterable[str]) -> Work:
        """Acknowledge final ends that the log now holds."""
        found = (self._final.pop(task_id, None) for task_id in task_ids)
        return Work(commands=[each for each in found if each is not None])

    def recorded(self, advanced: dict[str, tuple[int, int]]) -> Work:
        """
        Acknowledge evictions whose checkpoints the log now holds.

        The record names the attempt. One of an earlier attempt says nothing of
        how a later one ended: acknowledging that would let the worker forget a
        result that nobody has written down.
        """
        work = Work()
        for attempt in list(self._evicted):
            number, _ = advanced.get(attempt.task_id, (0, 0))
            if attempt.number == number:
                work.commands.append(self._evicted.pop(attempt))
        return work

    def _expect_room(self, task: Task, worker_id: str, now_s: float) -> None:
        task.expected_on = worker_id
        task.not_before_s = now_s + ROOM_ASKED_S

    def refused(
        self, attempt: AttemptId, worker_id: str, now_s: float, room_coming: bool
    ) -> Work:
        """Take a decider's word that it never started an attempt."""
        found = self.table.find(attempt.task_id)
        work = Work()
        if found is None or found[1].attempt() != attempt:
            return work
        job, task = found
        if task.state not in (TaskState.PLACED, TaskState.DOUBT):
            return work
        self._count_use(job, -1)
        task.not_before_s = now_s + RETRY_BACKOFF_S / 2
        if room_coming:
            self._expect_room(task, worker_id, now_s)
        end = TaskEnd.CANCELLED if job.cancelled else None
        self._settle(job, task, end, now_s, work)
        work.advanced.clear()
        return work

    def _doubt(self, task: Task, now_s: float) -> None:
        if task.state not in (TaskState.PLACED, TaskState.RUNNING):
            return
        task.state = TaskState.DOUBT
        # Guards against two runs of a task: the worker fell silent and may be
        # running it still. From now on no decider is told to renew it, so it is
        # over once every authority span and lease begun before now has passed.
        stopped_s = now_s + succession_wait_s(self.timing)
        task.over_by_s = stopped_s + lapse_wait_s(self.timing)
        self._unsettled.add(task.task_id)

    def decider_changed(self, worker_id: str) -> None:
        """
        Ask the new decider of a worker for every attempt of ours there.

        What its predecessor told us may have changed between its last report
        and the new claim, and the new one does not know what we know.
        """
        for task_id in self._on_worker.get(worker_id, ()):
            found = self.table.find(task_id)
            if found is not None and found[1].state is TaskState.RUNNING:
                found[1].state = TaskState.PLACED
                self._unsettled.add(task_id)

    def uncovered(self, worker_id: str, now_s: float) -> None:
        """Doubt all attempts on a worker that has no live decider."""
        for task_id in list(self._on_worker.get(worker_id, ())):
            found = self.table.find(task_id)
            if found is not None:
                self._doubt(found[1], now_s)

    def cancel(self, job: Job, now_s: float) -> Work:
        """Stop the tasks of a cancelled job; pending ones end at once."""
        work = Work()
        for task in job.tasks.values():
            match task.state:
                case TaskState.PENDING:
                    self._settle(job, task, TaskEnd.CANCELLED, now_s, work)
                case TaskState.PLACED | TaskState.RUNNING | TaskState.DOUBT:
                    work.commands.append(Cancel(task.attempt(), task.worker_id))
                case _:
                    pass
        return work

    def tick(
        self,
        now_s: float,
        authority_until_s: float,
        quotas: dict[str, Resources],
        listed: Container[str],
    ) -> Work:
        """
        Settle doubts that time has settled and place what can be placed.

        ``listed`` holds the workers that the instance list names.
        """
        work = Work()
        for task_id in list(self._unsettled):
            self._watch(task_id, now_s, listed, work)
        self._forget_takeovers(now_s, listed)
        # Guards against an owner that was paused or cut off: without authority
        # a successor may be starting the same tasks.
        if now_s < authority_until_s:
            self._place_some(self._urgent, now_s, authority_until_s, quotas, work)
            self._place_some(self._batch, now_s, authority_until_s, quotas, work)
        return work

    def _forget_takeovers(self, now_s: float, listed: Container[str]) -> None:
        for dead_owner, takeover in list(self.takeovers.items()):
            if takeover.settled(now_s, listed):
                del self.takeovers[dead_owner]

    def inventories_to_ask(self, now_s: float) -> list[str]:
        """Return the dead owners whose inventories are due to be asked for."""
        due = []
        for dead_owner, takeover in self.takeovers.items():
            again_s = takeover.asked_s + self.timing.renew_interval_s
            if now_s > takeover.stopped_s and now_s > again_s and takeover.unseen:
                takeover.asked_s = now_s
                due.append(dead_owner)
        return due

    def _watch(
        self, task_id: str, now_s: float, listed: Container[str], work: Work
    ) -> None:
        found = self.table.find(task_id)
        # Guards against a finished task that runs again: its end was recorded by
        # the old owner and read from the log while we waited to be certain.
        if found is None or found[1].state not in UNSETTLED:
            self._unsettled.discard(task_id)
            return
        job, task = found
        if task.gone_s is not None:
            if self._log_read_s > task.gone_s:
                self._over(job, task, now_s, work)
            return
        if task.state is TaskState.PLACED:
            if now_s - task.asked_s > self.timing.call_timeout_s:
                task.asked_s = now_s
                order = order_for(job, task, self.name)
                work.commands.append(Ask(order, task.worker_id))
            return
        if self._certainly_over(task, now_s, listed):
            self._gone(task, now_s)
        elif task.worker_id and now_s - task.asked_s > self.timing.renew_interval_s:
            task.asked_s = now_s
            order = order_for(job, task, self.name)
            work.commands.append(Ask(order, task.worker_id))

    def _certainly_over(self, task: Task, now_s: float, listed: Container[str]) -> bool:
        # Guards against a finished task that runs again: the attempt may have
        # ended on a worker that we cannot ask now, and only that worker knows.
        if task.takeover is not None:
            return task.takeover.settled(now_s, listed)
        return now_s > task.over_by_s and task.worker_id not in listed

    def _over(self, job: Job, task: Task, now_s: float, work: Work) -> None:
        end = next_state(job, task, Ending.LAPSED)
        if task.state is not TaskState.INHERITED:
            self._count_use(job, -1)
            self._count_setback(task, Ending.LAPSED, now_s, work)
        if end is None and self._hopeless(task):
            end = TaskEnd.FAILED
        self._settle(job, task, end, now_s, work)

    def _hopeless(self, task: Task) -> bool:
        if len(task.failed) >= self.limits.task_failures_max:
            return True
        return len(task.lost) >= self.limits.task_losses_max

    def _count_setback(
        self, task: Task, ending: Ending, now_s: float, work: Work
    ) -> None:
        """
        Count the last attempt if it failed, or was lost with its worker.

        Guards against a task that brings down each worker that starts it. It shows as
        attempts that are gone without an end, one worker after the other, each with all
        that ran there. Losses in a row are bounded, and one after a long run is the
        worker's own.
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
        work.set_back(task)

    def _ran_long(self, task: Task, now_s: float) -> bool:
        gone_s = now_s if task.gone_s is None else task.gone_s
        return task.running_s is not None and gone_s - task.running_s > PROVEN_S

    def _place_some(
        self,
        queue: deque[str],
        now_s: float,
        valid_until_s: float,
        quotas: dict[str, Resources],
        work: Work,
    ) -> None:
        """Place tasks in turn; one that cannot go now lets others pass it."""
        for _ in range(min(len(queue), PLACED_PER_TICK)):
            task_id = queue.popleft()
            found = self.table.find(task_id)
            if found is None or found[1].state is not TaskState.PENDING:
                continue
            job, task = found
            if not self._place(job, task, now_s, valid_until_s, quotas, work):
                queue.append(task_id)

    def _place(
        self,
        job: Job,
        task: Task,
        now_s: float,
        valid_until_s: float,
        quotas: dict[str, Resources],
        work: Work,
    ) -> bool:
        if job.cancelled:
            self._settle(job, task, TaskEnd.CANCELLED, now_s, work)
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
        self.rooms.deduct(worker_id, needs)
        self._count_use(job, 1)
        order = order_for(job, task, self.name)
        work.commands.append(Place(order, worker_id, valid_until_s))
        return True

    def _choose(
        self, job: Job, task: Task, needs: Resources, now_s: float
    ) -> str | None:
        """Choose a worker; for an urgent task, one that has to make room."""
        if task.expected_on:
            worker_id, task.expected_on = task.expected_on, ""
            return worker_id
        match self.rooms.choose(needs, task.failed_on, now_s):
            case Fits(worker_id):
                return worker_id
            case NoRoomNow() if job.spec.urgent:
                return self.rooms.choose_to_clear(needs, now_s)
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
