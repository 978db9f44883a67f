"""Run the jobs that this instance owns, and take over those of lost instances."""

import asyncio
import itertools
from collections.abc import Callable, Iterable

import structlog

from hornbeampaddle.commands import Acknowledge, Adopt, Ask, Cancel, Command, Place
from hornbeampaddle.configuration import resources_of
from hornbeampaddle.contracts import Ending
from hornbeampaddle.identity import (
    AttemptId,
    incarnation_of,
    instance_of,
    owner_name,
)
from hornbeampaddle.jobs import FinishedJob, Job, JobTable, TaskEnd
from hornbeampaddle.messages import (
    AcknowledgeEnd,
    AdoptOrder,
    AskAttempt,
    CancelOrder,
    Message,
    PlaceOrder,
    PlaceRefused,
)
from hornbeampaddle.notices import Notice
from hornbeampaddle.owner import Owner, OwnerActions
from hornbeampaddle.owners import Authority
from hornbeampaddle.placement import CapacityView, NeverFits, never_fits
from hornbeampaddle.records import (
    HomeRecord,
    JobAccepted,
    JobCancelled,
    JobSnapshot,
    JobSpec,
    Setbacks,
    Succession,
    TasksAdvanced,
    TasksEnded,
)
from hornbeampaddle.resources import Resources
from hornbeampaddle.wire_conversion import wire_order

from .context import Context
from .mail import CancelMail, JobAnswer, JobMail, StreamMail
from .streams import StreamLink

TASKS_PER_RECORD_MAX = 500

log = structlog.get_logger()


class JobManager:
    """The job owner of one instance, with its authority and successions."""

    def __init__(
        self,
        context: Context,
        capacity_view: CapacityView,
        link: StreamLink,
        run_locally: Callable[[Command], None],
    ) -> None:
        """
        Start without jobs.

        ``run_locally`` executes commands for workers that this instance controls.
        """
        self.context = context
        self.capacity_view = capacity_view
        self.link = link
        self.run_locally = run_locally
        self.name = owner_name(context.incarnation, 0)
        self.table = JobTable(self.name, context.owners)
        self.authority = Authority(context.timing)
        self.owner = self._new_owner()
        self._owner_number = 0
        self.caught_up = False
        self._numbers = itertools.count(1)
        self._waiters: dict[str, list[asyncio.Future[JobAnswer]]] = {}
        # Tasks of the jobs that are being accepted, by job id.
        self._accepting: dict[str, int] = {}
        self._ended: dict[str, TaskEnd] = {}
        self._advanced: dict[str, tuple[int, int]] = {}
        self._setbacks: dict[str, Setbacks] = {}
        # Owners whose succession was appended and not yet read back; the append may
        # still take effect.
        self.attempted_successions: set[str] = set()

    def _new_owner(self) -> Owner:
        context = self.context
        return Owner(
            self.name, context.timing, context.limits, self.table, self.capacity_view
        )

    def _restart_as_new_owner(self) -> None:
        """
        Continue under a new owner name after a peer has taken over the jobs.

        The successor handles the attempts that the old owner started.
        """
        self._owner_number += 1
        self.name = owner_name(self.context.incarnation, self._owner_number)
        self.table.owner = self.name
        self.authority = Authority(self.context.timing)
        evictions = self.owner.evictions
        self.owner = self._new_owner()
        self.owner.evictions = evictions
        self._ended.clear()
        self._advanced.clear()
        self._setbacks.clear()
        self._event(f"Our jobs were taken over; go on as {self.name}.")

    def _record_id(self) -> str:
        return f"{self.context.incarnation}/{next(self._numbers)}"

    def submit(self, mail: JobMail) -> None:
        """Append a job, which is accepted when it is durable, or refuse it at once."""
        spec = mail.spec
        known = self.table.jobs.get(spec.job_id) or self.table.finished.get(spec.job_id)
        if known is not None:
            self._answer_known(known, mail)
            return
        refusal = self._refusal(spec)
        if refusal:
            mail.done.set_result(JobAnswer(False, refusal))
            return
        self._accepting[spec.job_id] = spec.tasks
        record = JobAccepted(f"job/{spec.job_id}", spec, self.name)
        self._waiters.setdefault(spec.job_id, []).append(mail.done)
        if not self.link.append(record):
            self._accepting.pop(spec.job_id, None)
            self._answer_waiters(spec.job_id, JobAnswer(False, "log_unavailable"))

    def _answer_known(self, known: Job | FinishedJob, mail: JobMail) -> None:
        if known.spec == mail.spec:
            mail.done.set_result(JobAnswer(True, "already_accepted", known.owner))
        else:
            mail.done.set_result(JobAnswer(False, "job_id_reused"))

    def _refusal(self, spec: JobSpec) -> str:
        if self.context.leaving:
            return "instance_stopping"
        if not self.caught_up:
            return "log_unavailable"
        if spec.tasks > self.context.limits.job_tasks:
            return f"too_many_tasks: at most {self.context.limits.job_tasks}"
        if self._kept_tasks() + spec.tasks > self.context.limits.kept_tasks:
            return "no_room_for_jobs"
        workers = list(self.context.workers.values())
        match never_fits(resources_of(spec.needs), workers):
            case NeverFits() as never:
                return f"never_fits: {never.lacking} on {never.largest_worker}"
            case _:
                return ""

    def _kept_tasks(self) -> int:
        """Return the tasks of all jobs, with those whose records are on their way."""
        for job_id in [j for j in self._accepting if self.table.knows(j)]:
            del self._accepting[job_id]
        kept = sum(job.spec.tasks for job in self.table.jobs.values())
        return kept + sum(self._accepting.values())

    def on_timeout(self, job_id: str) -> JobAnswer:
        """Return the result of a submission whose caller's wait timed out."""
        if self.link.withdraw(f"job/{job_id}"):
            self._accepting.pop(job_id, None)
            return JobAnswer(False, "log_unavailable")
        return JobAnswer(False, "unknown")

    def _answer_waiters(self, job_id: str, answer: JobAnswer) -> None:
        for done in self._waiters.pop(job_id, []):
            if not done.done():
                done.set_result(answer)

    def cancel(self, mail: CancelMail) -> None:
        """Cancel a job: its owner stops the tasks when the record is durable."""
        job = self.table.jobs.get(mail.job_id)
        if mail.job_id in self.table.finished:
            mail.done.set_result(JobAnswer(False, "already_over"))
            return
        if job is None:
            mail.done.set_result(JobAnswer(False, "unknown_job"))
            return
        record = JobCancelled(f"cancel/{mail.job_id}", mail.job_id)
        if job.cancelled:
            mail.done.set_result(JobAnswer(True, "already_cancelled"))
        elif self.link.append(record):
            self._waiters.setdefault(f"cancel/{mail.job_id}", []).append(mail.done)
        else:
            mail.done.set_result(JobAnswer(False, "log_unavailable"))

    def on_stream(self, mail: StreamMail, now_s: float) -> None:
        """Apply records of the home stream."""
        for offset, record in mail.records:
            adopted = self.table.apply(offset, record)
            self._adopt(adopted, record, now_s)
            self._on_applied(record, now_s)
        if self.name in self.context.owners.successors:
            self._restart_as_new_owner()
        if mail.reached_end:
            self.caught_up = True
            self.authority.log_was_clear(mail.asked_s)
            self.owner.log_read(mail.asked_s)
            self._append_snapshots(mail, now_s)

    def _append_snapshots(self, mail: StreamMail, now_s: float) -> None:
        """
        Append snapshots of live jobs before their records expire.

        Rendezvous hashing selects the instance that appends; if two do, the second
        snapshot changes nothing. A snapshot is due when the job's last full record
        is in the older half of the log, which leaves time to append it.
        """
        if mail.oldest_offset == 0:
            return
        middle = (mail.oldest_offset + mail.next_offset) // 2
        live = self.context.membership.live(now_s)
        for job in self.table.due_for_snapshot(middle):
            if self.context.membership.choose(job.spec.job_id, live) == self._own_id():
                self.link.append(_snapshot_of(job))

    def _adopt(self, jobs: list[Job], record: HomeRecord, now_s: float) -> None:
        if not jobs:
            return
        match record:
            case Succession(dead_owner=dead_owner):
                pass
            case JobAccepted(owner=owner) if owner != self.name:
                # The owner that accepted the job had already been succeeded.
                dead_owner = owner
            case _:
                dead_owner = ""
        workers = {*self.context.workers, *self.capacity_view.capacities}
        self.owner.adopted(jobs, dead_owner, workers, now_s)

    def _on_applied(self, record: HomeRecord, now_s: float) -> None:
        match record:
            case JobAccepted():
                job_id = record.spec.job_id
                job = self.table.jobs.get(job_id) or self.table.finished[job_id]
                accepted = job.spec == record.spec
                reason = "accepted" if accepted else "job_id_reused"
                answer = JobAnswer(accepted, reason, job.owner)
                self._answer_waiters(record.spec.job_id, answer)
            case TasksEnded():
                self._apply_actions(self.owner.committed(record.ended))
            case TasksAdvanced():
                self._apply_actions(self.owner.recorded(record.advanced))
            case JobCancelled():
                self._answer_waiters(
                    f"cancel/{record.job_id}", JobAnswer(True, "cancelled")
                )
                cancelled = self.table.jobs.get(record.job_id)
                if cancelled is not None and cancelled.owner == self.name:
                    self._apply_actions(self.owner.cancel(cancelled, now_s))
            case Succession():
                # Our own succession is decided once it is read back: it is in force,
                # or void if we had been succeeded ourselves; then we may try again
                # under our new name.
                if incarnation_of(record.successor) == self.context.incarnation:
                    self.attempted_successions.discard(record.dead_owner)
                self._event(f"{record.successor} succeeds {record.dead_owner}.")

    def on_notice(self, notice: Notice, now_s: float) -> None:
        """Handle a decider's notice about one of our attempts."""
        self._apply_actions(self.owner.on_notice(notice, now_s))

    def tick(self, now_s: float, quotas: dict[str, Resources]) -> None:
        """Place tasks, settle attempts in doubt, record ends, succeed lost owners."""
        until_s = self.authority_until_s()
        self.context.owners.heard(self.name, until_s)
        if self.context.leaving:
            until_s = now_s
        self._apply_actions(
            self.owner.tick(now_s, until_s, quotas, self.context.workers)
        )
        self._commit()
        self._succeed_lost_owners(now_s)

    def busy(self) -> bool:
        """Tell whether there are tasks to place or changes to record."""
        unrecorded = self._ended or self._advanced or self._setbacks
        return bool(unrecorded) or self.owner.has_queued()

    def authority_until_s(self) -> float:
        """Return the local time until which this instance may act as owner."""
        members = self.context.membership.members.values()
        promises_s = [member.promised_until_s for member in members]
        return self.authority.until_s(promises_s, self.context.now_s())

    def _apply_actions(self, actions: OwnerActions) -> None:
        self._ended.update(actions.ended)
        self._advanced.update(actions.advanced)
        self._setbacks.update(actions.setbacks)
        for command in actions.commands:
            self._send_command(command)

    def _send_command(self, command: Command) -> None:
        worker_id = command.worker_id
        room = self.capacity_view.capacities.get(worker_id)
        decider = room.decider if room is not None else ""
        if decider == self.context.settings.instance_id:
            self.run_locally(command)
            return
        message = self._message_for(command, decider)
        if message is not None:
            self.context.send(decider, message)

    def _message_for(self, command: Command, decider: str) -> Message | None:
        match command:
            case Place():
                member = self.context.membership.members.get(decider)
                if member is None or not member.clock.known:
                    return None
                valid_s = member.clock.remote_deadline_before(command.valid_until_s)
                return PlaceOrder(wire_order(command.order), command.worker_id, valid_s)
            case Adopt():
                attempt = str(command.attempt)
                return AdoptOrder(self.name, attempt, command.worker_id)
            case Acknowledge():
                return AcknowledgeEnd(str(command.attempt), command.worker_id)
            case Cancel():
                return CancelOrder(str(command.attempt), command.worker_id)
            case Ask():
                return AskAttempt(wire_order(command.order), command.worker_id)

    def refused(self, message: PlaceRefused, now_s: float) -> None:
        """Handle a decider's refusal of an order."""
        attempt = AttemptId.parse(message.attempt)
        room_coming = message.reason == Ending.ROOM_COMING.value
        actions = self.owner.refused(attempt, message.worker_id, now_s, room_coming)
        self._apply_actions(actions)

    def _commit(self) -> None:
        """Append task ends in batches, to avoid one record for each task."""
        while self._ended:
            ids = list(itertools.islice(self._ended, TASKS_PER_RECORD_MAX))
            ended = {task_id: self._ended[task_id].value for task_id in ids}
            if not self.link.append(TasksEnded(self._record_id(), ended)):
                return
            for task_id in ids:
                del self._ended[task_id]
        if self._advanced or self._setbacks:
            record = TasksAdvanced(
                self._record_id(), dict(self._advanced), dict(self._setbacks)
            )
            if self.link.append(record):
                self._advanced.clear()
                self._setbacks.clear()

    def _succeed_lost_owners(self, now_s: float) -> None:
        # A newly started instance may not have received its peers' heartbeats yet.
        heard_s = self.context.started_s + self.context.timing.suspect_after_s
        if now_s < heard_s or self.context.leaving:
            return
        live = self.context.membership.live(now_s)
        for owner in self.table.foreign_owners():
            if owner in self.attempted_successions:
                continue
            if self.context.membership.owner_is_live(owner, now_s):
                continue
            if self.context.membership.choose(owner, live) == self._own_id():
                self._append_succession(owner, self.name)

    def _append_succession(self, dead_owner: str, successor: str) -> None:
        record = Succession(self._record_id(), dead_owner, successor)
        if self.link.append(record):
            self.attempted_successions.add(dead_owner)
            self._event(f"Try to succeed {dead_owner} by {successor}.")

    def _own_id(self) -> str:
        return self.context.settings.instance_id

    def may_promise(self, owner: str) -> bool:
        """
        Tell whether we may promise an owner one more authority span from now.

        A successor starts nothing until one span after its record is read from the
        log, so it needn't delay the record; it must only stop promising before it
        appends the record. The model in ``model/takeover.py`` checks both.
        """
        # Guards against a promise broken by an earlier append: an append that got no
        # answer may still take effect.
        if owner in self.attempted_successions:
            return False
        # An owner that has a successor in the log gets no promise either: we may be
        # its successor's successor and about to start its tasks.
        return owner not in self.context.owners.successors

    def hand_over(self, live: Iterable[str]) -> bool:
        """Name a successor for our jobs when leaving; return False if there is none."""
        others = tuple(name for name in live if name != self._own_id())
        if not others or not self.table.owned():
            return False
        chosen = self.context.membership.choose(self.name, others)
        successor = self.context.membership.members[chosen].owner
        self._append_succession(self.name, successor)
        return True

    def handing_over(self) -> bool:
        """Tell whether our succession was appended and not yet read back."""
        return self.name in self.attempted_successions

    def _event(self, text: str) -> None:
        now_s = self.context.now_s()
        self.context.events.add(now_s - self.context.started_s, "jobs", text)
        log.info(f"jobs: {text}", instance=instance_of(self.context.incarnation))


def _snapshot_of(job: Job) -> JobSnapshot:
    return JobSnapshot(
        record_id=f"told/{job.spec.job_id}/{job.full_record_offset}",
        spec=job.spec,
        owner=job.owner,
        term=job.term,
        ended={task_id: end.value for task_id, end in job.ended.items()},
        advanced=dict(job.advanced),
        cancelled=job.cancelled,
        setbacks=dict(job.setbacks),
    )
