"""
Count a worker's request slots, lend them to peers and get them back.

Only the worker's decider gives out its slots. Peers borrow some until a
deadline; a slot that was used until then counts as used until it is returned
or a report of the worker, asked after the deadline, shows that it is free.
"""

from collections.abc import Container
from dataclasses import dataclass, field

from .resources import NOTHING, Resources

# Share of a new latency in a lane's running estimate.
LATENCY_WEIGHT = 0.2
REST_FIRST_S = 0.25
REST_MAX_S = 8.0


@dataclass(slots=True)
class Loan:
    """Slots lent to a peer; it may begin requests on them until the deadline."""

    grant_id: str
    borrower: str
    count: int
    deadline_s: float


@dataclass(slots=True)
class Lane:
    """
    The slots of one service on one worker that this instance decides for.

    ``foreign`` bounds the requests that earlier deciders and their borrowers
    still have in flight. They are fenced, so it can only fall.
    """

    worker_id: str
    service: str
    total: int
    epoch: int
    # What one slot holds; while slots are in use, the most that one may hold.
    needs: Resources = NOTHING
    foreign: int = 0
    used: int = 0
    open: bool = True
    loans: dict[str, Loan] = field(default_factory=dict)
    latency_s: float = 0.0
    # After a failed call the lane rests, twice as long each time in a row.
    rest_until_s: float = 0.0
    rest_s: float = REST_FIRST_S

    def lent(self) -> int:
        """Return how many slots are lent out, used or not."""
        return sum(loan.count for loan in self.loans.values())

    def in_use(self) -> int:
        """Return how many slots may be running a request."""
        return self.used + self.foreign + self.lent()

    def free(self) -> int:
        """Return how many slots can be given out."""
        if not self.open:
            return 0
        return max(0, self.total - self.in_use())

    def resize(self, total: int, needs: Resources) -> None:
        """Take over a changed service; requests in flight keep what they hold."""
        self.total = total
        self.needs = needs.largest(self.needs) if self.in_use() else needs

    def held(self) -> Resources:
        """Return what the lane reserves: its slots, or more that are in use."""
        return self.needs.times(max(self.total, self.in_use()))

    def lend(self, loan: Loan) -> None:
        """Lend free slots; the caller has checked that they are free."""
        self.loans[loan.grant_id] = loan

    def give_back(self, grant_id: str, count: int) -> None:
        """Take back slots of a loan that their borrower no longer uses."""
        loan = self.loans.get(grant_id)
        if loan is None:
            return
        loan.count -= count
        if loan.count <= 0:
            del self.loans[grant_id]

    def reported(self, in_flight: int, asked_s: float) -> None:
        """Take in the worker's count of the service's requests in flight."""
        self.foreign = min(self.foreign, in_flight)
        for loan in list(self.loans.values()):
            # Guards against slots lost with a borrower that died: after the
            # deadline it begins nothing, so what the worker does not count as
            # in flight is free again.
            if asked_s > loan.deadline_s:
                self.give_back(loan.grant_id, loan.count - in_flight)


@dataclass(slots=True)
class Borrowed:
    """Slots borrowed from a worker's decider, on this instance's clock."""

    grant_id: str
    lender: str
    worker_id: str
    service: str
    epoch: int
    count: int
    deadline_s: float
    used: int = 0

    def free(self, now_s: float) -> int:
        """Return how many requests may begin on this loan now."""
        # Guards against a borrower that was paused past the deadline: the
        # lender may have lent the slot again, and the worker would be overrun.
        if now_s >= self.deadline_s:
            return 0
        return self.count - self.used


@dataclass(frozen=True, slots=True)
class Slot:
    """The right to run one request on a worker; ``grant_id`` is empty if own."""

    worker_id: str
    service: str
    epoch: int
    grant_id: str = ""


@dataclass(frozen=True, slots=True)
class Return:
    """Tell a lender that borrowed slots are free again."""

    lender: str
    grant_id: str
    worker_id: str
    service: str
    count: int


@dataclass(slots=True)
class SlotPool:
    """All slots that one entry instance may use, its own and borrowed ones."""

    lanes: dict[tuple[str, str], Lane] = field(default_factory=dict)
    borrowed: dict[str, Borrowed] = field(default_factory=dict)

    def take(
        self, service: str, now_s: float, avoid: Container[str] = ()
    ) -> Slot | None:
        """
        Take the best free slot of a service, or None if there is none.

        ``avoid`` holds workers that must not be used. Own slots come first.
        Among them the least expected wait wins: the worker's recent latency
        times the share of its slots in use.
        """
        best: Lane | None = None
        best_cost = 0.0
        for lane in self.lanes.values():
            if lane.service != service or lane.free() == 0:
                continue
            if lane.rest_until_s > now_s or lane.worker_id in avoid:
                continue
            cost = (lane.latency_s + 1e-4) * (lane.in_use() + 1) / lane.total
            if best is None or cost < best_cost:
                best, best_cost = lane, cost
        if best is not None:
            best.used += 1
            return Slot(best.worker_id, service, best.epoch)
        return self._take_borrowed(service, now_s, avoid)

    def _take_borrowed(
        self, service: str, now_s: float, avoid: Container[str]
    ) -> Slot | None:
        for loan in self.borrowed.values():
            if loan.worker_id in avoid:
                continue
            if loan.service == service and loan.free(now_s) > 0:
                loan.used += 1
                return Slot(loan.worker_id, service, loan.epoch, loan.grant_id)
        return None

    def put(self, slot: Slot, now_s: float, latency_s: float | None) -> Return | None:
        """Put a slot back after its request ended for certain."""
        if slot.grant_id:
            return self._put_borrowed(slot, now_s)
        lane = self.lanes.get((slot.worker_id, slot.service))
        if lane is None or lane.epoch != slot.epoch:
            return None
        lane.used -= 1
        if latency_s is not None:
            lane.latency_s += LATENCY_WEIGHT * (latency_s - lane.latency_s)
            lane.rest_s = REST_FIRST_S
        return None

    def rest(self, slot: Slot, now_s: float) -> None:
        """Let a lane rest after a call that got no answer."""
        lane = self.lanes.get((slot.worker_id, slot.service))
        if lane is not None:
            lane.rest_until_s = now_s + lane.rest_s
            lane.rest_s = min(REST_MAX_S, 2 * lane.rest_s)

    def _put_borrowed(self, slot: Slot, now_s: float) -> Return | None:
        loan = self.borrowed.get(slot.grant_id)
        if loan is None:
            return None
        loan.used -= 1
        if now_s < loan.deadline_s:
            return None
        loan.count -= 1
        if loan.count == 0:
            del self.borrowed[slot.grant_id]
        return _return_of(loan, 1)

    def abandon(self, slot: Slot) -> None:
        """
        Leave a slot counted as used: its request may still be running.

        The worker's next reports free it.
        """
        if slot.grant_id:
            self._abandon_borrowed(slot)
            return
        lane = self.lanes.get((slot.worker_id, slot.service))
        if lane is not None and lane.epoch == slot.epoch:
            lane.used -= 1
            lane.foreign += 1

    def _abandon_borrowed(self, slot: Slot) -> None:
        loan = self.borrowed.get(slot.grant_id)
        if loan is None:
            return
        loan.used -= 1
        loan.count -= 1
        if loan.count == 0:
            del self.borrowed[slot.grant_id]

    def give_back_idle(self, now_s: float) -> list[Return]:
        """Return borrowed slots that are past their deadline and not in use."""
        returns = []
        for loan in list(self.borrowed.values()):
            idle = loan.count - loan.used
            if now_s < loan.deadline_s or idle == 0:
                continue
            loan.count -= idle
            returns.append(_return_of(loan, idle))
            if loan.count == 0:
                del self.borrowed[loan.grant_id]
        return returns

    def free_of(self, service: str) -> int:
        """Return how many own slots of a service are free."""
        lanes = self.lanes.values()
        return sum(lane.free() for lane in lanes if lane.service == service)

    def lanes_of(self, worker_id: str) -> list[Lane]:
        """Return the lanes of one worker."""
        return [lane for lane in self.lanes.values() if lane.worker_id == worker_id]

    def drop_worker(self, worker_id: str) -> None:
        """Forget the lanes of a worker that is no longer ours to decide."""
        for key in [key for key in self.lanes if key[0] == worker_id]:
            del self.lanes[key]

    def lend(
        self, service: str, wanted: int, borrower: str, grant_id: str, deadline_s: float
    ) -> tuple[Lane, Loan] | None:
        """Lend up to ``wanted`` slots of the emptiest own lane of a service."""
        lanes = [lane for lane in self.lanes.values() if lane.service == service]
        lane = max(lanes, key=Lane.free, default=None)
        if lane is None or lane.free() == 0:
            return None
        count = min(wanted, max(1, lane.free() // 2))
        loan = Loan(grant_id, borrower, count, deadline_s)
        lane.lend(loan)
        return lane, loan


def _return_of(loan: Borrowed, count: int) -> Return:
    return Return(loan.lender, loan.grant_id, loan.worker_id, loan.service, count)
