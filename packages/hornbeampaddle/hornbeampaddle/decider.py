"""
Decide for one worker, for as long as the worker honours our epoch.

The worker hands out epochs: a claim raises the epoch and returns everything
the worker runs, and from then on it refuses calls that carry an older one. So
a decider that was replaced while it was paused or cut off can do no harm, and
a new one starts from the worker's own inventory instead of from memory.

A decider takes answers and the time, and returns the calls to make to the
worker and the notices for the owners of attempts.
"""

from dataclasses import dataclass, field

from .book import Book, Hold, HoldState
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
RENEWALS_BEFORE_DOUBT = 2
LOSSES_COUNTED = 4
UNCERTAIN = (HoldState.STARTING, HoldState.DOUBT)


@dataclass(frozen=True, slots=True)
class Query:
    """An owner's question about an attempt, and when it came in."""

    order: TaskOrder
    asked_s: float


@dataclass(frozen=True, slots=True)
class Promise:
    """Room kept for an urgent task until a local time."""

    needs: Resources
    until_s: float


@dataclass(slots=True)
class Step:
    """What one input leads to: calls to the worker and notices for owners."""

    calls: list[Call] = field(default_factory=list)
    notices: list[Notice] = field(default_factory=list)


@dataclass(slots=True)
class Decider:
    """The decisions for one worker by one incarnation of an entry instance."""

    worker: Worker
    incarnation: str
    timing: Timing
    owners: Owners
    book: Book = field(init=False)
    clock: RemoteClock = field(init=False)
    epoch: int = NO_EPOCH
    claiming: bool = False
    renewing: bool = False
    renew_due_s: float = NEVER_S
    claim_due_s: float = NEVER_S
    slots_reported: dict[str, int] = field(default_factory=dict)
    # Ended attempts that their owners have not acknowledged yet.
    unacknowledged: dict[AttemptId, AttemptEnded] = field(default_factory=dict)
    _forgettable: set[AttemptId] = field(default_factory=set)
    # Deadlines, on the worker's clock, of repeated starts that may still come in.
    _starts_until_s: dict[AttemptId, float] = field(default_factory=dict)
    claim_failures: int = 0
    losses: int = 0
    renew_failures: int = 0
    # Local time at which the call that brought the last report was made.
    report_asked_s: float = NEVER_S
    _asked_s: float = NEVER_S
    # The attempts that the last renewal named.
    _named: frozenset[AttemptId] = frozenset()
    # Attempts whose owners ask what became of them, and since when.
    _queries: dict[AttemptId, Query] = field(default_factory=dict)
    # Room that is being made, by the urgent task that asked for it.
    _promises: dict[str, Promise] = field(default_factory=dict)
    # Dead owners whose successors ask for an inventory, and since when.
    _inventories: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Start with an empty book and a clock never heard."""
        self.book = Book(self.worker.capacity)
        self.clock = RemoteClock(self.timing.clock_rate_error_ratio)

    def relist(self, worker: Worker) -> None:
        """
        Take in what the instance list says of the worker now.

        Guards against a worker that is overrun because it holds less than when it was
        claimed. It shows when its room shrinks while it runs.
        """
        self.worker = worker
        self.book.capacity = worker.capacity

    @property
    def holding(self) -> bool:
        """Tell whether the worker last answered that our epoch is in force."""
        return self.epoch != NO_EPOCH

    def want(self, now_s: float) -> Step:
        """Claim the worker unless it is held or being claimed."""
        if self.holding or self.claiming or now_s < self.claim_due_s:
            return Step()
        self.claiming = True
        self._asked_s = now_s
        return Step(calls=[ClaimWorker(self.worker.worker_id)])

    def on_claim(
        self, answer: WorkerReport | Refused | NoAnswer | NotSent, now_s: float
    ) -> Step:
        """Take the answer to a claim."""
        self.claiming = False
        match answer:
            case WorkerReport():
                return self._claimed(answer, now_s)
            case _:
                # A claim whose answer was lost may have raised the epoch. That
                # harms nobody: the next claim raises it again.
                self.claim_failures += 1
                backoff_s = self.timing.heartbeat_interval_s * min(
                    8, self.claim_failures
                )
                self.claim_due_s = now_s + backoff_s
                return Step()

    def _claimed(self, report: WorkerReport, now_s: float) -> Step:
        self.claim_failures = 0
        self.epoch = report.epoch
        self.book = Book(self.worker.capacity, self.book.reserved)
        self._promises.clear()
        self.renew_failures = 0
        self.renew_due_s = now_s + self.timing.renew_interval_s
        step = Step()
        self._read(report, now_s, step)
        step.notices.extend(self._unadopted())
        return step

    def _lose(self, now_s: float) -> None:
        self.epoch = NO_EPOCH
        self.renewing = False
        self.unacknowledged.clear()
        self._forgettable.clear()
        self._starts_until_s.clear()
        self._queries.clear()
        self._inventories.clear()
        self.slots_reported = {}
        # Guards against two deciders that cannot hear each other and take the
        # worker from one another without end: each waits longer every time.
        self.losses = min(self.losses + 1, LOSSES_COUNTED)
        self.claim_due_s = now_s + self.timing.suspect_after_s * 2**self.losses

    def start(self, order: TaskOrder, now_s: float) -> Step | Refused:
        """Start an attempt if the worker has room for it beyond any doubt."""
        if not self.holding:
            return Refused("not the decider")
        # Guards against an order of an owner that was succeeded, delayed on its
        # way: it would run a task that the successor has started elsewhere.
        if not self.owners.has_authority(order.owner, now_s):
            return Refused("owner has no authority")
        if order.attempt in self.book.holds:
            return Step()
        ended = self.unacknowledged.get(order.attempt)
        if ended is not None:
            return Step(notices=[ended])
        lease_s = self.clock.deadline_there(now_s + self.timing.lease_s)
        hold = Hold(
            order,
            HoldState.STARTING,
            lease_s,
            adopted=True,
            start_deadline_s=lease_s,
            progress_at_s=now_s,
        )
        if not self.book.take(hold):
            return self._make_room(order, now_s)
        self._keep_promises(now_s, kept=order.attempt.task_id)
        call = StartAttempt(self.worker.worker_id, self.epoch, order, lease_s)
        return Step(calls=[call])

    def _make_room(self, order: TaskOrder, now_s: float) -> Step | Refused:
        """Evict batch attempts for an urgent one, which is to ask again soon."""
        if not order.urgent or self.book.blocked:
            return Refused("no room")
        leaving = self._displaced_by(order, now_s)
        if leaving is None:
            return Refused("no room")
        until_s = now_s + self.timing.call_timeout_s
        self._promises[order.attempt.task_id] = Promise(order.needs, until_s)
        self._keep_promises(now_s)
        worker_id = self.worker.worker_id
        coming = AttemptEnded(
            order, worker_id, Ending.ROOM_COMING, order.generation, 0.0
        )
        step = Step(notices=[coming])
        for attempt in leaving:
            step.calls.extend(self.stop(attempt, checkpoint=True).calls)
        return step

    def _displaced_by(self, order: TaskOrder, now_s: float) -> list[AttemptId] | None:
        """
        Choose the cheapest batch attempts in an urgent one's way.

        None if even all of them would not make enough room.
        """
        batch = [h for h in self.book.holds.values() if not h.order.urgent]
        return self._leavers(batch, order.needs, now_s)

    def _leavers(
        self, candidates: list[Hold], needs: Resources, now_s: float
    ) -> list[AttemptId] | None:
        """
        Choose the cheapest running candidates whose leaving lets ``needs`` fit.

        What is being stopped already counts as room to come. None if even all
        of them would not do.
        """
        room = self.book.room()
        for hold in self.book.holds.values():
            if hold.state is HoldState.STOPPING:
                room = room + hold.order.needs
        running = [h for h in candidates if h.state is HoldState.RUNNING]
        leaving: list[AttemptId] = []
        for hold in sorted(running, key=lambda h: _eviction_cost(h, now_s)):
            if needs.fits_in(room):
                break
            room = room + hold.order.needs
            leaving.append(hold.order.attempt)
        return leaving if needs.fits_in(room) else None

    def _keep_promises(self, now_s: float, kept: str = "") -> None:
        # Guards against room that is made for an urgent task and taken by the
        # next batch task in the queue: the urgent one would evict for ever.
        self._promises.pop(kept, None)
        total = Resources()
        for task_id, promise in list(self._promises.items()):
            if now_s >= promise.until_s:
                del self._promises[task_id]
            else:
                total = total + promise.needs
        self.book.promised = total

    def on_start(
        self,
        attempt: AttemptId,
        answer: Started | Refused | Fenced | NoAnswer | NotSent,
        now_s: float,
    ) -> Step:
        """Take the answer to a start."""
        hold = self.book.holds.get(attempt)
        if hold is None or hold.state is not HoldState.STARTING:
            return Step()
        match answer:
            case Started():
                self.clock.observe(answer.clock_s, now_s)
                hold.state = HoldState.RUNNING
                hold.confirmed_s = now_s
                return Step(notices=[self._running(hold)])
            case Refused() | NotSent() if hold.start_repeated:
                # It speaks of the repeat only; the first may have taken effect,
                # or may still be on its way.
                hold.state = HoldState.DOUBT
                return Step()
            case Refused() | NotSent():
                return self._ended(hold, Ending.NEVER_STARTED)
            case Fenced():
                return self.on_fenced(answer, now_s)
            case NoAnswer():
                hold.state = HoldState.DOUBT
                return Step()

    def stop(self, attempt: AttemptId, checkpoint: bool) -> Step:
        """Stop an attempt; its room stays taken until the end is certain."""
        hold = self.book.holds.get(attempt)
        if hold is None or hold.state is HoldState.STOPPING or not self.holding:
            return Step()
        hold.state = HoldState.STOPPING
        hold.stop_asked = True
        call = StopAttempt(self.worker.worker_id, self.epoch, attempt, checkpoint)
        return Step(calls=[call])

    def on_stop(
        self,
        attempt: AttemptId,
        answer: Stopped | Refused | Fenced | NoAnswer | NotSent,
        now_s: float,
    ) -> Step:
        """Take the answer to a stop."""
        hold = self.book.holds.get(attempt)
        if hold is None:
            return Step()
        match answer:
            case Stopped():
                self.clock.observe(answer.clock_s, now_s)
                hold.generation = answer.generation
                return self._ended(hold, answer.ending)
            case Fenced():
                return self.on_fenced(answer, now_s)
            case Refused() | NotSent():
                # Guards against a lost start that counts as running because its
                # stop was turned down: only a worker's word confirms a run.
                confirmed = hold.confirmed_s is not None
                hold.state = HoldState.RUNNING if confirmed else HoldState.DOUBT
                return Step()
            case NoAnswer():
                hold.state = HoldState.DOUBT
                return Step()

    def on_fenced(self, answer: Fenced, now_s: float) -> Step:
        """Give up the worker: another decider holds a later epoch."""
        # Guards against two deciders: ours was paused or cut off and another
        # claimed the worker. Every attempt is now that decider's to report; ours
        # says nothing more about them and gives their room to nobody.
        if answer.epoch > self.epoch:
            self._lose(now_s)
        return Step()

    def on_report(
        self,
        answer: WorkerReport | Refused | Fenced | NoAnswer | NotSent,
        now_s: float,
    ) -> Step:
        """Take the answer to a renewal."""
        self.renewing = False
        step = Step()
        match answer:
            case WorkerReport() if answer.epoch == self.epoch:
                self.renew_failures = 0
                self._read(answer, now_s, step)
            case Fenced():
                return self.on_fenced(answer, now_s)
            case _:
                self.renew_failures += 1
                step.notices.extend(self._doubts())
        return step

    def tick(self, now_s: float) -> Step:
        """Renew leases when due, and end doubts that time has settled."""
        step = Step()
        if not self.holding:
            return step
        self._lapse(now_s)
        if self._promises:
            self._keep_promises(now_s)
        if now_s >= self.renew_due_s and not self.renewing:
            self.renew_due_s = now_s + self.timing.renew_interval_s
            step.calls.extend(self._lost_starts())
            step.calls.append(self._renewal(now_s))
            step.notices.extend(self.unacknowledged.values())
            step.notices.extend(self._unadopted())
        return step

    def _running(self, hold: Hold) -> AttemptRunning:
        return AttemptRunning(hold.order, self.worker.worker_id, self.epoch)

    def _lost_starts(self) -> list[Call]:
        """
        Repeat starts whose answer was lost.

        A start is idempotent, and it keeps its first deadline, so asking again
        says sooner what waiting for that deadline would say.
        """
        calls: list[Call] = []
        for hold in self.book.holds.values():
            unsure = hold.state is HoldState.DOUBT and hold.confirmed_s is None
            if not unsure or not hold.adopted or hold.stop_asked:
                continue
            hold.state = HoldState.STARTING
            hold.start_repeated = True
            worker_id, deadline_s = self.worker.worker_id, hold.start_deadline_s
            calls.append(StartAttempt(worker_id, self.epoch, hold.order, deadline_s))
        return calls

    def _unadopted(self) -> list[AttemptRunning]:
        return [
            self._running(hold)
            for hold in self.book.holds.values()
            if not hold.adopted and hold.state not in UNCERTAIN
        ]

    def _doubts(self) -> list[AttemptInDoubt]:
        if self.renew_failures < RENEWALS_BEFORE_DOUBT:
            return []
        return [
            AttemptInDoubt(hold.order, self.worker.worker_id)
            for hold in self.book.holds.values()
        ]

    def _renewal(self, now_s: float) -> RenewLeases:
        self.renewing = True
        self._asked_s = now_s
        wanted = tuple(
            hold.order.attempt
            for hold in self.book.holds.values()
            if hold.state is not HoldState.STOPPING and self._wanted(hold, now_s)
        )
        self._named = frozenset(wanted)
        lease_s = self.clock.deadline_there(now_s + self.timing.lease_s)
        for attempt in wanted:
            hold = self.book.holds[attempt]
            hold.lease_deadline_s = max(hold.lease_deadline_s, lease_s)
        return RenewLeases(
            self.worker.worker_id,
            self.epoch,
            wanted,
            lease_s,
            tuple(a for a in self._forgettable if self._may_forget(a)),
        )

    def _may_forget(self, attempt: AttemptId) -> bool:
        # Guards against a repeated start that comes in late: a worker that has
        # forgotten the attempt would run it again. Past the start's deadline it
        # refuses; until then it has to remember.
        return self.clock.stamp_s > self._starts_until_s.get(attempt, NEVER_S)

    def _wanted(self, hold: Hold, now_s: float) -> bool:
        # Guards against an attempt that outlives what its owner can know: an
        # owner that gave up on a silent worker starts the next attempt after
        # one authority span and one lease. Renewing for anybody but a current
        # owner that adopted the attempt would let the two overlap.
        owner = self.owner_of(hold.order)
        return hold.adopted and self.owners.has_authority(owner, now_s)

    def owner_of(self, order: TaskOrder) -> str:
        """Return the incarnation that owns an attempt now."""
        return self.owners.current(order.owner)

    def adopt(self, attempt: AttemptId, owner: str) -> None:
        """Note that an attempt's current owner wants it to go on."""
        hold = self.book.holds.get(attempt)
        if hold is not None and self.owner_of(hold.order) == owner:
            hold.adopted = True

    def disown(self, attempt: AttemptId) -> None:
        """Note that an owner gave up on an attempt: let its lease run out."""
        hold = self.book.holds.get(attempt)
        if hold is not None:
            hold.adopted = False

    def succeeded(self, dead_owner: str) -> None:
        """Let attempts of a dead owner wait for adoption by its successor."""
        for hold in self.book.holds.values():
            if hold.order.owner == dead_owner:
                hold.adopted = False

    def query(self, order: TaskOrder, now_s: float) -> None:
        """
        Answer, after a round trip begun from now on, what became of an attempt.

        An answer from memory could come from a decider that was replaced
        without noticing; the worker's own report under our epoch cannot.
        """
        self._queries[order.attempt] = Query(order, now_s)
        self.renew_due_s = now_s

    def acknowledge(self, attempt: AttemptId) -> None:
        """Note that the owner has made an attempt's end durable."""
        if self.unacknowledged.pop(attempt, None) is not None:
            self._forgettable.add(attempt)

    def inventory(self) -> list[Hold]:
        """Return all holds, certain and in doubt."""
        return list(self.book.holds.values())

    def reserve(self, needs: Resources) -> None:
        """Set what the services on the worker hold back."""
        self.book.reserved = needs

    def evictions(self, drained: bool, now_s: float) -> list[AttemptId]:
        """
        Choose attempts to stop so that the reservations fit again.

        Cheapest first: not costly, then least progress, then the largest.
        """
        holds = self.inventory()
        running = [h.order.attempt for h in holds if h.state is HoldState.RUNNING]
        if drained:
            return running
        leaving = self._leavers(holds, Resources(), now_s)
        return running if leaving is None else leaving

    def _read(self, report: WorkerReport, now_s: float, step: Step) -> None:
        self.clock.observe(report.clock_s, now_s)
        self.slots_reported = dict(report.slots_used)
        self.report_asked_s = self._asked_s
        listed = {a.order.attempt for a in report.attempts}
        if report.delta:
            self._read_unlisted(report, listed, now_s, step)
        self._forgettable &= listed
        for known in self._starts_until_s.keys() - listed:
            if report.clock_s > self._starts_until_s[known]:
                del self._starts_until_s[known]
        for attempt in report.attempts:
            self._read_attempt(attempt, now_s, step)
        self._read_missing(listed, report.clock_s, step)
        self._answer_queries(step)
        self._answer_inventories(step)

    def ask_inventory(self, dead_owner: str, now_s: float) -> None:
        """
        Tell the successor of an owner, after a round trip begun from now on,
        what the worker runs or has ended of it.

        The successor asks once the old owner has lost its authority, so after
        such a round trip no attempt of the old owner can be added.
        """
        if dead_owner not in self._inventories:
            self._inventories[dead_owner] = now_s
            self.renew_due_s = now_s

    def _answer_inventories(self, step: Step) -> None:
        for dead_owner, asked_s in list(self._inventories.items()):
            if asked_s > self.report_asked_s:
                continue
            # An attempt whose start is unsure is neither there nor absent yet.
            if any(h.state in UNCERTAIN for h in self.book.holds.values()):
                continue
            del self._inventories[dead_owner]
            step.notices.append(self._inventory_of(dead_owner))

    def _inventory_of(self, dead_owner: str) -> OwnerInventory:
        # All attempts, whoever ordered them: the dead owner may itself have
        # taken over from another, whose name still stands on its attempts, and
        # this instance need not have read that yet.
        worker_id = self.worker.worker_id
        running = tuple(self._running(hold) for hold in self.book.holds.values())
        ended = tuple(self.unacknowledged.values())
        return OwnerInventory(dead_owner, worker_id, self.epoch, running, ended)

    def _answer_queries(self, step: Step) -> None:
        for attempt, query in list(self._queries.items()):
            if query.asked_s > self.report_asked_s:
                continue
            # Guards against a start taken for a run: while its answer is out,
            # nobody knows, and the owner would wait for an end that never comes.
            hold = self.book.holds.get(attempt)
            if hold is not None and hold.state in UNCERTAIN:
                continue
            del self._queries[attempt]
            step.notices.append(self._answer(query.order))

    def _answer(self, order: TaskOrder) -> Notice:
        worker_id = self.worker.worker_id
        ended = self.unacknowledged.get(order.attempt)
        if ended is not None:
            return ended
        hold = self.book.holds.get(order.attempt)
        if hold is not None:
            return self._running(hold)
        # Not listed under our epoch and not started by us: a start still on its
        # way carries an older epoch, which the worker refuses.
        return AttemptEnded(order, worker_id, Ending.LAPSED, order.generation, 0.0)

    def _read_unlisted(
        self,
        report: WorkerReport,
        listed: set[AttemptId],
        now_s: float,
        step: Step,
    ) -> None:
        """Take the silence about attempts that the renewal named: they go on."""
        for attempt in self._named - set(report.absent) - listed:
            listed.add(attempt)
            hold = self.book.holds.get(attempt)
            if hold is not None:
                self._confirm(hold, now_s, step)

    def _confirm(self, hold: Hold, now_s: float, step: Step) -> None:
        if hold.confirmed_s is None:
            hold.confirmed_s = now_s
        if hold.state is HoldState.DOUBT:
            hold.state = HoldState.RUNNING
            step.notices.append(self._running(hold))

    def _read_attempt(self, seen: Attempt, now_s: float, step: Step) -> None:
        hold = self.book.holds.get(seen.order.attempt)
        if seen.state is RunState.ENDED:
            self._read_ended(seen, hold, step)
            return
        if hold is None:
            state = HoldState.RUNNING
            hold = Hold(seen.order, state, seen.lease_deadline_s)
            self.book.adopt(hold)
        hold.progress_ratio = seen.progress_ratio
        hold.progress_at_s = now_s
        hold.generation = seen.generation
        hold.lease_deadline_s = max(hold.lease_deadline_s, seen.lease_deadline_s)
        self._confirm(hold, now_s, step)

    def _read_ended(self, seen: Attempt, hold: Hold | None, step: Step) -> None:
        attempt = seen.order.attempt
        if attempt in self.unacknowledged or attempt in self._forgettable:
            return
        known = hold or Hold(seen.order, HoldState.RUNNING, seen.lease_deadline_s)
        known.generation = seen.generation
        known.progress_ratio = seen.progress_ratio
        ending = seen.ending or Ending.FAILED
        step.notices.extend(self._ended(known, ending).notices)

    def _read_missing(self, listed: set[AttemptId], clock_s: float, step: Step) -> None:
        """Settle holds that the worker does not have."""
        for attempt, hold in list(self.book.holds.items()):
            if attempt not in listed and self._is_gone(hold, clock_s):
                step.notices.extend(self._ended(hold, Ending.LAPSED).notices)

    def _is_gone(self, hold: Hold, clock_s: float) -> bool:
        # Guards against two errors. A start in flight may arrive after the report
        # was written: an attempt never seen is gone only once the worker refuses
        # its start as late. And a report may have been asked for before an attempt
        # began: one that was seen is gone if the question came after that. Leases
        # do not enter; renewals would prolong the wait for a lost start for ever.
        if hold.confirmed_s is not None:
            return hold.confirmed_s <= self.report_asked_s
        return clock_s > hold.start_deadline_s

    def _lapse(self, now_s: float) -> None:
        # The room is free again, but nothing is said of the attempt: if we were
        # replaced without noticing, the new decider may have renewed its lease.
        for hold in list(self.book.holds.values()):
            if now_s > self.clock.passed_there_by(hold.lease_deadline_s):
                self.book.release(hold.order.attempt)

    def _ended(self, hold: Hold, ending: Ending) -> Step:
        self.book.release(hold.order.attempt)
        if hold.start_repeated:
            self._starts_until_s[hold.order.attempt] = hold.start_deadline_s
        ended = AttemptEnded(
            hold.order,
            self.worker.worker_id,
            ending,
            hold.generation,
            hold.progress_ratio,
        )
        self.unacknowledged[hold.order.attempt] = ended
        return Step(notices=[ended])


def _eviction_cost(hold: Hold, now_s: float) -> tuple[bool, bool, float, int]:
    order = hold.order
    lost_s = hold.work_done_s(now_s)
    return (order.urgent, order.costly_to_evict, lost_s, -order.needs.cpu_millis)
