"""
Control one worker for as long as the worker accepts this decider's epoch.

The worker issues epochs as fencing tokens: a claim increments the epoch and
returns an inventory of everything that the worker runs, and from then on the
worker rejects calls that carry an older epoch. A decider that was replaced
while it was paused or partitioned therefore can't affect the worker, and its
replacement starts from the worker's own inventory instead of from cached state.

A decider is a state machine: it takes answers and the current time, and returns
the calls to make to the worker and the notices to send to the owners of attempts.
"""

from dataclasses import dataclass, field

from .allocation_table import Allocation, AllocationState, AllocationTable
from .calls import Call, ClaimWorker, RenewLeases, StartAttempt, StopAttempt
from .clocks import RemoteClock
from .contracts import (
    Attempt,
    Ending,
    Fenced,
    NoAnswer,
    NotSent,
    Refused,
    RunState,
    Started,
    Stopped,
    TaskOrder,
    WorkerReport,
)
from .defaults import Timing
from .identity import AttemptId
from .machines import Worker
from .notices import (
    AttemptEnded,
    AttemptInDoubt,
    AttemptRunning,
    Notice,
    OwnerInventory,
)
from .owners import NEVER_S, Owners
from .resources import Resources

NO_EPOCH = 0
FAILED_RENEWALS_BEFORE_DOUBT = 2
BACKOFF_DOUBLINGS_MAX = 4
UNCERTAIN_STATES = (AllocationState.STARTING, AllocationState.DOUBT)


@dataclass(frozen=True, slots=True)
class Query:
    """An owner's pending query for the state of an attempt, and its arrival time."""

    order: TaskOrder
    asked_s: float


@dataclass(frozen=True, slots=True)
class UrgentReservation:
    """Capacity reserved for an urgent task, until ``until_s`` on the local clock."""

    needs: Resources
    until_s: float


@dataclass(slots=True)
class Step:
    """The result of one input: calls to the worker and notices for owners."""

    calls: list[Call] = field(default_factory=list)
    notices: list[Notice] = field(default_factory=list)


@dataclass(slots=True)
class Decider:
    """The state machine by which one entry-instance incarnation controls a worker."""

    worker: Worker
    incarnation: str
    timing: Timing
    owners: Owners
    allocation_table: AllocationTable = field(init=False)
    clock: RemoteClock = field(init=False)
    epoch: int = NO_EPOCH
    claiming: bool = False
    renewing: bool = False
    renew_due_s: float = NEVER_S
    claim_due_s: float = NEVER_S
    slots_reported: dict[str, int] = field(default_factory=dict)
    # Ended attempts that their owners haven't acknowledged yet.
    unacknowledged: dict[AttemptId, AttemptEnded] = field(default_factory=dict)
    _forgettable: set[AttemptId] = field(default_factory=set)
    # Start deadlines, on the worker's clock, of ended attempts whose start was
    # repeated; a delayed copy of such a start can arrive until then.
    _repeated_start_deadlines_s: dict[AttemptId, float] = field(default_factory=dict)
    claim_failures: int = 0
    losses: int = 0
    renew_failures: int = 0
    # Local time at which the call that returned the latest report was sent.
    report_requested_s: float = NEVER_S
    _call_made_s: float = NEVER_S
    # The attempts listed in the latest renewal.
    _renewed_attempts: frozenset[AttemptId] = frozenset()
    # Pending owners' queries, by attempt.
    _queries: dict[AttemptId, Query] = field(default_factory=dict)
    # Capacity being freed by preemption, by the id of the urgent task it is for.
    _urgent_reservations: dict[str, UrgentReservation] = field(default_factory=dict)
    # Local time at which a successor requested an inventory, by dead owner.
    _inventory_requests: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Start with an empty allocation table and no reading of the worker's clock."""
        self.allocation_table = AllocationTable(self.worker.capacity)
        self.clock = RemoteClock(self.timing.clock_rate_error_ratio)

    def update_listing(self, worker: Worker) -> None:
        """
        Apply the worker's current entry in the instance list.

        Guards against overcommitting a worker whose capacity has shrunk since it was
        claimed, for example while it runs.
        """
        self.worker = worker
        self.allocation_table.capacity = worker.capacity

    @property
    def holding(self) -> bool:
        """Tell whether, by the worker's latest answer, our epoch is the current one."""
        return self.epoch != NO_EPOCH

    def claim_if_due(self, now_s: float) -> Step:
        """Claim the worker unless it is held, being claimed or in claim back-off."""
        if self.holding or self.claiming or now_s < self.claim_due_s:
            return Step()
        self.claiming = True
        self._call_made_s = now_s
        return Step(calls=[ClaimWorker(self.worker.worker_id)])

    def on_claim(
        self, answer: WorkerReport | Refused | NoAnswer | NotSent, now_s: float
    ) -> Step:
        """Handle the answer to a claim."""
        self.claiming = False
        match answer:
            case WorkerReport():
                return self._on_claimed(answer, now_s)
            case _:
                # A claim whose answer was lost may have incremented the epoch.
                # That is harmless: the next claim increments it again.
                self.claim_failures += 1
                backoff_s = self.timing.heartbeat_interval_s * min(
                    8, self.claim_failures
                )
                self.claim_due_s = now_s + backoff_s
                return Step()

    def _on_claimed(self, report: WorkerReport, now_s: float) -> Step:
        self.claim_failures = 0
        self.epoch = report.epoch
        self.allocation_table = AllocationTable(
            self.worker.capacity, self.allocation_table.reserved
        )
        self._urgent_reservations.clear()
        self.renew_failures = 0
        self.renew_due_s = now_s + self.timing.renew_interval_s
        step = Step()
        self._apply_report(report, now_s, step)
        step.notices.extend(self._unadopted_notices())
        return step

    def _give_up_worker(self, now_s: float) -> None:
        self.epoch = NO_EPOCH
        self.renewing = False
        self.unacknowledged.clear()
        self._forgettable.clear()
        self._repeated_start_deadlines_s.clear()
        self._queries.clear()
        self._inventory_requests.clear()
        self.slots_reported = {}
        # Guards against two deciders that can't reach each other and claim the
        # worker from one another for ever: the wait doubles with each loss.
        self.losses = min(self.losses + 1, BACKOFF_DOUBLINGS_MAX)
        self.claim_due_s = now_s + self.timing.suspect_after_s * 2**self.losses

    def start(self, order: TaskOrder, now_s: float) -> Step | Refused:
        """
        Start an attempt if its needs certainly fit in the worker's free capacity.

        An urgent attempt that doesn't fit preempts batch attempts instead. Return
        ``Refused`` if the attempt can't be started here.
        """
        if not self.holding:
            return Refused("not the decider")
        # Guards against a delayed order of an owner that has been succeeded: it
        # would run a task that the successor has already started elsewhere.
        if not self.owners.has_authority(order.owner, now_s):
            return Refused("owner has no authority")
        if order.attempt in self.allocation_table.allocations:
            return Step()
        ended = self.unacknowledged.get(order.attempt)
        if ended is not None:
            return Step(notices=[ended])
        lease_s = self.clock.remote_deadline_before(now_s + self.timing.lease_s)
        allocation = Allocation(
            order,
            AllocationState.STARTING,
            lease_s,
            adopted=True,
            start_deadline_s=lease_s,
            progress_at_s=now_s,
        )
        if not self.allocation_table.take(allocation):
            return self._preempt_for(order, now_s)
        self._refresh_urgent_reservations(now_s, kept=order.attempt.task_id)
        call = StartAttempt(self.worker.worker_id, self.epoch, order, lease_s)
        return Step(calls=[call])

    def _preempt_for(self, order: TaskOrder, now_s: float) -> Step | Refused:
        """Preempt batch attempts for an urgent one, whose owner retries shortly."""
        if not order.urgent or self.allocation_table.blocked:
            return Refused("no room")
        leaving = self._batch_evictions_for(order, now_s)
        if leaving is None:
            return Refused("no room")
        until_s = now_s + self.timing.call_timeout_s
        self._urgent_reservations[order.attempt.task_id] = UrgentReservation(
            order.needs, until_s
        )
        self._refresh_urgent_reservations(now_s)
        worker_id = self.worker.worker_id
        coming = AttemptEnded(
            order, worker_id, Ending.ROOM_COMING, order.generation, 0.0
        )
        step = Step(notices=[coming])
        for attempt in leaving:
            step.calls.extend(self.stop(attempt, checkpoint=True).calls)
        return step

    def _batch_evictions_for(
        self, order: TaskOrder, now_s: float
    ) -> list[AttemptId] | None:
        """
        Choose the cheapest batch attempts to evict for an urgent one.

        Return None if evicting all of them would not free enough capacity.
        """
        batch = [
            held
            for held in self.allocation_table.allocations.values()
            if not held.order.urgent
        ]
        return self._cheapest_evictions(batch, order.needs, now_s)

    def _cheapest_evictions(
        self, candidates: list[Allocation], needs: Resources, now_s: float
    ) -> list[AttemptId] | None:
        """
        Choose the cheapest running candidates whose eviction lets ``needs`` fit.

        Attempts that are already being stopped count as free capacity. Return None
        if evicting all candidates would not free enough.
        """
        room = self.allocation_table.room()
        for allocation in self.allocation_table.allocations.values():
            if allocation.state is AllocationState.STOPPING:
                room = room + allocation.order.needs
        running = [held for held in candidates if held.state is AllocationState.RUNNING]
        leaving: list[AttemptId] = []
        for allocation in sorted(running, key=lambda held: _eviction_cost(held, now_s)):
            if needs.fits_in(room):
                break
            room = room + allocation.order.needs
            leaving.append(allocation.order.attempt)
        return leaving if needs.fits_in(room) else None

    def _refresh_urgent_reservations(self, now_s: float, kept: str = "") -> None:
        # Guards against capacity that is freed for an urgent task and then taken
        # by the next batch task in the queue: the urgent task would preempt for ever.
        self._urgent_reservations.pop(kept, None)
        total = Resources()
        for task_id, reservation in list(self._urgent_reservations.items()):
            if now_s >= reservation.until_s:
                del self._urgent_reservations[task_id]
            else:
                total = total + reservation.needs
        self.allocation_table.reserved_for_urgent = total

    def on_start(
        self,
        attempt: AttemptId,
        answer: Started | Refused | Fenced | NoAnswer | NotSent,
        now_s: float,
    ) -> Step:
        """Handle the answer to a start."""
        allocation = self.allocation_table.allocations.get(attempt)
        if allocation is None or allocation.state is not AllocationState.STARTING:
            return Step()
        match answer:
            case Started():
                self.clock.observe(answer.clock_s, now_s)
                allocation.state = AllocationState.RUNNING
                allocation.confirmed_s = now_s
                return Step(notices=[self._running_notice(allocation)])
            case Refused() | NotSent() if allocation.start_repeated:
                # The answer covers only the repeated call; the first one may have
                # taken effect or may still be in transit.
                allocation.state = AllocationState.DOUBT
                return Step()
            case Refused() | NotSent():
                return self._end_allocation(allocation, Ending.NEVER_STARTED)
            case Fenced():
                return self.on_fenced(answer, now_s)
            case NoAnswer():
                allocation.state = AllocationState.DOUBT
                return Step()

    def stop(self, attempt: AttemptId, checkpoint: bool) -> Step:
        """Stop an attempt; its capacity stays allocated until its end is certain."""
        allocation = self.allocation_table.allocations.get(attempt)
        if (
            allocation is None
            or allocation.state is AllocationState.STOPPING
            or not self.holding
        ):
            return Step()
        allocation.state = AllocationState.STOPPING
        allocation.stop_asked = True
        call = StopAttempt(self.worker.worker_id, self.epoch, attempt, checkpoint)
        return Step(calls=[call])

    def on_stop(
        self,
        attempt: AttemptId,
        answer: Stopped | Refused | Fenced | NoAnswer | NotSent,
        now_s: float,
    ) -> Step:
        """Handle the answer to a stop."""
        allocation = self.allocation_table.allocations.get(attempt)
        if allocation is None:
            return Step()
        match answer:
            case Stopped():
                self.clock.observe(answer.clock_s, now_s)
                allocation.generation = answer.generation
                return self._end_allocation(allocation, answer.ending)
            case Fenced():
                return self.on_fenced(answer, now_s)
            case Refused() | NotSent():
                # Guards against counting a lost start as running because its stop
                # was refused: only an answer or report of the worker confirms a run.
                confirmed = allocation.confirmed_s is not None
                allocation.state = (
                    AllocationState.RUNNING if confirmed else AllocationState.DOUBT
                )
                return Step()
            case NoAnswer():
                allocation.state = AllocationState.DOUBT
                return Step()

    def on_fenced(self, answer: Fenced, now_s: float) -> Step:
        """Give up the worker if another decider holds a later epoch."""
        # Guards against two active deciders: this one was paused or partitioned
        # and another one claimed the worker. From now on only that decider reports
        # the worker's attempts; this one sends no more notices about them and
        # doesn't reallocate their capacity.
        if answer.epoch > self.epoch:
            self._give_up_worker(now_s)
        return Step()

    def on_report(
        self,
        answer: WorkerReport | Refused | Fenced | NoAnswer | NotSent,
        now_s: float,
    ) -> Step:
        """Handle the answer to a renewal."""
        self.renewing = False
        step = Step()
        match answer:
            case WorkerReport() if answer.epoch == self.epoch:
                self.renew_failures = 0
                self._apply_report(answer, now_s, step)
            case Fenced():
                return self.on_fenced(answer, now_s)
            case _:
                self.renew_failures += 1
                step.notices.extend(self._doubt_notices())
        return step

    def tick(self, now_s: float) -> Step:
        """Release expired allocations, and renew leases when due."""
        step = Step()
        if not self.holding:
            return step
        self._release_expired(now_s)
        if self._urgent_reservations:
            self._refresh_urgent_reservations(now_s)
        if now_s >= self.renew_due_s and not self.renewing:
            self.renew_due_s = now_s + self.timing.renew_interval_s
            step.calls.extend(self._repeat_lost_starts())
            step.calls.append(self._renewal(now_s))
            step.notices.extend(self.unacknowledged.values())
            step.notices.extend(self._unadopted_notices())
        return step

    def _running_notice(self, allocation: Allocation) -> AttemptRunning:
        return AttemptRunning(allocation.order, self.worker.worker_id, self.epoch)

    def _repeat_lost_starts(self) -> list[Call]:
        """
        Repeat starts whose answer was lost.

        A start is idempotent and a repeat keeps the original deadline, so repeating
        it settles the attempt sooner than waiting for that deadline.
        """
        calls: list[Call] = []
        for allocation in self.allocation_table.allocations.values():
            unsure = (
                allocation.state is AllocationState.DOUBT
                and allocation.confirmed_s is None
            )
            if not unsure or not allocation.adopted or allocation.stop_asked:
                continue
            allocation.state = AllocationState.STARTING
            allocation.start_repeated = True
            worker_id, deadline_s = self.worker.worker_id, allocation.start_deadline_s
            calls.append(
                StartAttempt(worker_id, self.epoch, allocation.order, deadline_s)
            )
        return calls

    def _unadopted_notices(self) -> list[AttemptRunning]:
        return [
            self._running_notice(allocation)
            for allocation in self.allocation_table.allocations.values()
            if not allocation.adopted and allocation.state not in UNCERTAIN_STATES
        ]

    def _doubt_notices(self) -> list[AttemptInDoubt]:
        if self.renew_failures < FAILED_RENEWALS_BEFORE_DOUBT:
            return []
        return [
            AttemptInDoubt(allocation.order, self.worker.worker_id)
            for allocation in self.allocation_table.allocations.values()
        ]

    def _renewal(self, now_s: float) -> RenewLeases:
        self.renewing = True
        self._call_made_s = now_s
        wanted = tuple(
            allocation.order.attempt
            for allocation in self.allocation_table.allocations.values()
            if allocation.state is not AllocationState.STOPPING
            and self._may_renew(allocation, now_s)
        )
        self._renewed_attempts = frozenset(wanted)
        lease_s = self.clock.remote_deadline_before(now_s + self.timing.lease_s)
        for attempt in wanted:
            allocation = self.allocation_table.allocations[attempt]
            allocation.lease_deadline_s = max(allocation.lease_deadline_s, lease_s)
        return RenewLeases(
            self.worker.worker_id,
            self.epoch,
            wanted,
            lease_s,
            tuple(a for a in self._forgettable if self._may_forget(a)),
        )

    def _may_forget(self, attempt: AttemptId) -> bool:
        # Guards against a delayed copy of a repeated start: a worker that has
        # forgotten the attempt would run it again. After the start's deadline the
        # worker refuses the start; until then it must keep the attempt's record.
        return self.clock.stamp_s > self._repeated_start_deadlines_s.get(
            attempt, NEVER_S
        )

    def _may_renew(self, allocation: Allocation, now_s: float) -> bool:
        # Guards against two attempts of a task running at once: an owner that
        # gave up on an unresponsive worker starts the next attempt after one
        # authority span and one lease. Renewing an attempt that the current owner
        # hasn't adopted would let the two attempts overlap.
        owner = self.owner_of(allocation.order)
        return allocation.adopted and self.owners.has_authority(owner, now_s)

    def owner_of(self, order: TaskOrder) -> str:
        """Return the incarnation that currently owns an attempt."""
        return self.owners.current(order.owner)

    def adopt(self, attempt: AttemptId, owner: str) -> None:
        """Record that an attempt's current owner wants it to continue."""
        allocation = self.allocation_table.allocations.get(attempt)
        if allocation is not None and self.owner_of(allocation.order) == owner:
            allocation.adopted = True

    def disown(self, attempt: AttemptId) -> None:
        """Record that an owner gave up on an attempt, so that its lease expires."""
        allocation = self.allocation_table.allocations.get(attempt)
        if allocation is not None:
            allocation.adopted = False

    def on_succession(self, dead_owner: str) -> None:
        """Mark a dead owner's attempts as unadopted until its successor adopts them."""
        for allocation in self.allocation_table.allocations.values():
            if allocation.order.owner == dead_owner:
                allocation.adopted = False

    def query(self, order: TaskOrder, now_s: float) -> None:
        """
        Report the state of an attempt after a round trip that begins from now on.

        An answer from cached state could come from a decider that was replaced
        without noticing; one based on a worker's report under our epoch can't.
        """
        self._queries[order.attempt] = Query(order, now_s)
        self.renew_due_s = now_s

    def acknowledge(self, attempt: AttemptId) -> None:
        """Record that the owner has made an attempt's end durable."""
        if self.unacknowledged.pop(attempt, None) is not None:
            self._forgettable.add(attempt)

    def inventory(self) -> list[Allocation]:
        """Return all allocations, certain and in doubt."""
        return list(self.allocation_table.allocations.values())

    def reserve(self, needs: Resources) -> None:
        """Set the capacity that is reserved for the worker's services."""
        self.allocation_table.reserved = needs

    def evictions(self, drained: bool, now_s: float) -> list[AttemptId]:
        """
        Choose attempts to stop so that the reservations fit again.

        All running attempts if the worker is ``drained``. Otherwise cheapest first:
        batch, not ``costly_to_evict``, least work lost, largest CPU need.
        """
        allocations = self.inventory()
        running = [
            held.order.attempt
            for held in allocations
            if held.state is AllocationState.RUNNING
        ]
        if drained:
            return running
        leaving = self._cheapest_evictions(allocations, Resources(), now_s)
        return running if leaving is None else leaving

    def _apply_report(self, report: WorkerReport, now_s: float, step: Step) -> None:
        self.clock.observe(report.clock_s, now_s)
        self.slots_reported = dict(report.slots_used)
        self.report_requested_s = self._call_made_s
        listed = {a.order.attempt for a in report.attempts}
        if report.delta:
            self._confirm_unlisted(report, listed, now_s, step)
        self._forgettable &= listed
        for known in self._repeated_start_deadlines_s.keys() - listed:
            if report.clock_s > self._repeated_start_deadlines_s[known]:
                del self._repeated_start_deadlines_s[known]
        for attempt in report.attempts:
            self._apply_attempt(attempt, now_s, step)
        self._end_missing(listed, report.clock_s, step)
        self._answer_queries(step)
        self._answer_inventories(step)

    def ask_inventory(self, dead_owner: str, now_s: float) -> None:
        """
        Send an owner's successor an inventory after a round trip begun from now on.

        The inventory lists what the worker runs or has ended. The successor asks
        once the old owner has lost its authority, so no attempt of the old owner
        can be added after such a round trip.
        """
        if dead_owner not in self._inventory_requests:
            self._inventory_requests[dead_owner] = now_s
            self.renew_due_s = now_s

    def _answer_inventories(self, step: Step) -> None:
        for dead_owner, asked_s in list(self._inventory_requests.items()):
            if asked_s > self.report_requested_s:
                continue
            # An attempt whose start is uncertain is neither present nor absent yet.
            if any(
                held.state in UNCERTAIN_STATES
                for held in self.allocation_table.allocations.values()
            ):
                continue
            del self._inventory_requests[dead_owner]
            step.notices.append(self._inventory_of(dead_owner))

    def _inventory_of(self, dead_owner: str) -> OwnerInventory:
        # Includes all attempts, whoever ordered them: the dead owner may itself
        # have taken over from another owner, whose name its attempts still carry,
        # and this instance may not have read that record yet.
        worker_id = self.worker.worker_id
        running = tuple(
            self._running_notice(allocation)
            for allocation in self.allocation_table.allocations.values()
        )
        ended = tuple(self.unacknowledged.values())
        return OwnerInventory(dead_owner, worker_id, self.epoch, running, ended)

    def _answer_queries(self, step: Step) -> None:
        for attempt, query in list(self._queries.items()):
            if query.asked_s > self.report_requested_s:
                continue
            # Guards against reporting an uncertain start as running: until the start
            # is answered its outcome is unknown, and the owner would wait for an end
            # that never comes.
            allocation = self.allocation_table.allocations.get(attempt)
            if allocation is not None and allocation.state in UNCERTAIN_STATES:
                continue
            del self._queries[attempt]
            step.notices.append(self._answer(query.order))

    def _answer(self, order: TaskOrder) -> Notice:
        worker_id = self.worker.worker_id
        ended = self.unacknowledged.get(order.attempt)
        if ended is not None:
            return ended
        allocation = self.allocation_table.allocations.get(order.attempt)
        if allocation is not None:
            return self._running_notice(allocation)
        # Not listed under our epoch and not started by us: a start that is still
        # in transit carries an older epoch, which the worker refuses.
        return AttemptEnded(order, worker_id, Ending.LAPSED, order.generation, 0.0)

    def _confirm_unlisted(
        self,
        report: WorkerReport,
        listed: set[AttemptId],
        now_s: float,
        step: Step,
    ) -> None:
        """Confirm renewed attempts that a delta report omits: they still run."""
        for attempt in self._renewed_attempts - set(report.absent) - listed:
            listed.add(attempt)
            allocation = self.allocation_table.allocations.get(attempt)
            if allocation is not None:
                self._confirm(allocation, now_s, step)

    def _confirm(self, allocation: Allocation, now_s: float, step: Step) -> None:
        if allocation.confirmed_s is None:
            allocation.confirmed_s = now_s
        if allocation.state is AllocationState.DOUBT:
            allocation.state = AllocationState.RUNNING
            step.notices.append(self._running_notice(allocation))

    def _apply_attempt(self, seen: Attempt, now_s: float, step: Step) -> None:
        allocation = self.allocation_table.allocations.get(seen.order.attempt)
        if seen.state is RunState.ENDED:
            self._apply_ended(seen, allocation, step)
            return
        if allocation is None:
            state = AllocationState.RUNNING
            allocation = Allocation(seen.order, state, seen.lease_deadline_s)
            self.allocation_table.adopt(allocation)
        allocation.progress_ratio = seen.progress_ratio
        allocation.progress_at_s = now_s
        allocation.generation = seen.generation
        allocation.lease_deadline_s = max(
            allocation.lease_deadline_s, seen.lease_deadline_s
        )
        self._confirm(allocation, now_s, step)

    def _apply_ended(
        self, seen: Attempt, allocation: Allocation | None, step: Step
    ) -> None:
        attempt = seen.order.attempt
        if attempt in self.unacknowledged or attempt in self._forgettable:
            return
        known = allocation or Allocation(
            seen.order, AllocationState.RUNNING, seen.lease_deadline_s
        )
        known.generation = seen.generation
        known.progress_ratio = seen.progress_ratio
        ending = seen.ending or Ending.FAILED
        step.notices.extend(self._end_allocation(known, ending).notices)

    def _end_missing(self, listed: set[AttemptId], clock_s: float, step: Step) -> None:
        """End the allocations of attempts that the worker doesn't have."""
        for attempt, allocation in list(self.allocation_table.allocations.items()):
            if attempt not in listed and self._is_gone(allocation, clock_s):
                step.notices.extend(
                    self._end_allocation(allocation, Ending.LAPSED).notices
                )

    def _is_gone(self, allocation: Allocation, clock_s: float) -> bool:
        # Guards against two errors. A start in transit may arrive after the report
        # was written, so an unconfirmed attempt is gone only once the worker refuses
        # its start as late. A report may have been requested before an attempt
        # started, so a confirmed one is gone only if the report was requested after
        # its confirmation. Lease deadlines aren't used: renewals would extend the
        # wait for a lost start for ever.
        if allocation.confirmed_s is not None:
            return allocation.confirmed_s <= self.report_requested_s
        return clock_s > allocation.start_deadline_s

    def _release_expired(self, now_s: float) -> None:
        # The capacity is free again, but no end is reported: if this decider was
        # replaced without noticing, the new one may have renewed the lease.
        for allocation in list(self.allocation_table.allocations.values()):
            if now_s > self.clock.local_time_past(allocation.lease_deadline_s):
                self.allocation_table.release(allocation.order.attempt)

    def _end_allocation(self, allocation: Allocation, ending: Ending) -> Step:
        self.allocation_table.release(allocation.order.attempt)
        if allocation.start_repeated:
            self._repeated_start_deadlines_s[allocation.order.attempt] = (
                allocation.start_deadline_s
            )
        ended = AttemptEnded(
            allocation.order,
            self.worker.worker_id,
            ending,
            allocation.generation,
            allocation.progress_ratio,
        )
        self.unacknowledged[allocation.order.attempt] = ended
        return Step(notices=[ended])


def _eviction_cost(
    allocation: Allocation, now_s: float
) -> tuple[bool, bool, float, int]:
    order = allocation.order
    lost_s = allocation.work_done_s(now_s)
    return (order.urgent, order.costly_to_evict, lost_s, -order.needs.cpu_millis)
