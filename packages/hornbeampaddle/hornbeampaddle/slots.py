"""
Account for workers' request slots, including those lent to peers.

Only a worker's decider allocates its slots. Peers borrow slots until a
deadline. A slot that is in use at the deadline counts as used until it is
returned, or until a worker report requested after the deadline shows it free.
"""

from collections.abc import Container
from dataclasses import dataclass, field

from .resources import NOTHING, Resources

# Weight of a new latency in a slot group's exponential moving average.
LATENCY_WEIGHT = 0.2
BACKOFF_FIRST_S = 0.25
BACKOFF_MAX_S = 8.0


@dataclass(slots=True)
class Loan:
    """Slots lent to a peer, which may start requests on them until the deadline."""

    grant_id: str
    borrower: str
    count: int
    deadline_s: float


@dataclass(slots=True)
class SlotGroup:
    """
    The slots of one service on one worker that this instance controls.

    ``unaccounted`` is an upper bound on the requests in flight that this instance
    doesn't track: those of earlier deciders and their borrowers, who are fenced
    and can't start more, and those it has abandoned. Worker reports lower it.
    """

    worker_id: str
    service: str
    total: int
    epoch: int
    # Resources per slot; while slots are in use, the most that any of them may hold.
    needs: Resources = NOTHING
    unaccounted: int = 0
    used: int = 0
    open: bool = True
    loans: dict[str, Loan] = field(default_factory=dict)
    latency_s: float = 0.0
    # Back-off after a failed call; it doubles with each consecutive failure.
    backoff_until_s: float = 0.0
    rest_s: float = BACKOFF_FIRST_S

    def lent(self) -> int:
        """Return the number of slots that are lent out, in use or not."""
        return sum(loan.count for loan in self.loans.values())

    def in_use(self) -> int:
        """Return the number of slots that may be running a request."""
        return self.used + self.unaccounted + self.lent()

    def free(self) -> int:
        """Return the number of slots that can be allocated."""
        if not self.open:
            return 0
        return max(0, self.total - self.in_use())

    def resize(self, total: int, needs: Resources) -> None:
        """Apply a changed service; requests in flight keep their resources."""
        self.total = total
        self.needs = needs.largest(self.needs) if self.in_use() else needs

    def held(self) -> Resources:
        """Return the reserved resources: for all slots, or for more that are in use."""
        return self.needs.times(max(self.total, self.in_use()))

    def lend(self, loan: Loan) -> None:
        """Record a loan; the caller has checked that the slots are free."""
        self.loans[loan.grant_id] = loan

    def give_back(self, grant_id: str, count: int) -> None:
        """Take back slots of a loan that the borrower doesn't use any more."""
        loan = self.loans.get(grant_id)
        if loan is None:
            return
        loan.count -= count
        if loan.count <= 0:
            del self.loans[grant_id]

    def reported(self, in_flight: int, asked_s: float) -> None:
        """Apply the service's number of requests in flight from a worker report."""
        self.unaccounted = min(self.unaccounted, in_flight)
        for loan in list(self.loans.values()):
            # Guards against leaking slots when a borrower dies: it starts nothing
            # after the deadline, so slots that the worker doesn't count as in
            # flight are free again.
            if asked_s > loan.deadline_s:
                self.give_back(loan.grant_id, loan.count - in_flight)


@dataclass(slots=True)
class BorrowedSlots:
    """Slots borrowed from a worker's decider; ``deadline_s`` is on the local clock."""

    grant_id: str
    lender: str
    worker_id: str
    service: str
    epoch: int
    count: int
    deadline_s: float
    used: int = 0

    def free(self, now_s: float) -> int:
        """Return the number of requests that may start on this loan now."""
        # Guards against a borrower that was paused past the deadline: the lender
        # may have lent the slot again, which would overload the worker.
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
class SlotReturn:
    """Borrowed slots to give back to their lender."""

    lender: str
    grant_id: str
    worker_id: str
    service: str
    count: int


@dataclass(slots=True)
class SlotPool:
    """All slots that one entry instance may use, its own and borrowed ones."""

    slot_groups: dict[tuple[str, str], SlotGroup] = field(default_factory=dict)
    borrowed: dict[str, BorrowedSlots] = field(default_factory=dict)

    def take(
        self, service: str, now_s: float, avoid: Container[str] = ()
    ) -> Slot | None:
        """
        Take the best free slot of a service; return None if none is free.

        ``avoid`` contains workers that must not be used. Own slots are preferred.
        Among them, the one with the lowest expected wait is taken: the worker's
        recent latency times the fraction of its slots in use.
        """
        best: SlotGroup | None = None
        best_cost = 0.0
        for group in self.slot_groups.values():
            if group.service != service or group.free() == 0:
                continue
            if group.backoff_until_s > now_s or group.worker_id in avoid:
                continue
            cost = (group.latency_s + 1e-4) * (group.in_use() + 1) / group.total
            if best is None or cost < best_cost:
                best, best_cost = group, cost
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

    def put(
        self, slot: Slot, now_s: float, latency_s: float | None
    ) -> SlotReturn | None:
        """Release a slot whose request has certainly ended."""
        if slot.grant_id:
            return self._put_borrowed(slot, now_s)
        group = self.slot_groups.get((slot.worker_id, slot.service))
        if group is None or group.epoch != slot.epoch:
            return None
        group.used -= 1
        if latency_s is not None:
            group.latency_s += LATENCY_WEIGHT * (latency_s - group.latency_s)
            group.rest_s = BACKOFF_FIRST_S
        return None

    def back_off(self, slot: Slot, now_s: float) -> None:
        """Stop using a slot group for its back-off time after an unanswered call."""
        group = self.slot_groups.get((slot.worker_id, slot.service))
        if group is not None:
            group.backoff_until_s = now_s + group.rest_s
            group.rest_s = min(BACKOFF_MAX_S, 2 * group.rest_s)

    def _put_borrowed(self, slot: Slot, now_s: float) -> SlotReturn | None:
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
        Stop tracking a slot whose request may still be running.

        It counts as in use until the worker's reports show otherwise.
        """
        if slot.grant_id:
            self._abandon_borrowed(slot)
            return
        group = self.slot_groups.get((slot.worker_id, slot.service))
        if group is not None and group.epoch == slot.epoch:
            group.used -= 1
            group.unaccounted += 1

    def _abandon_borrowed(self, slot: Slot) -> None:
        loan = self.borrowed.get(slot.grant_id)
        if loan is None:
            return
        loan.used -= 1
        loan.count -= 1
        if loan.count == 0:
            del self.borrowed[slot.grant_id]

    def give_back_idle(self, now_s: float) -> list[SlotReturn]:
        """Give back the borrowed slots that are past their deadline and not in use."""
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
        """Return the number of free own slots of a service."""
        slot_groups = self.slot_groups.values()
        return sum(group.free() for group in slot_groups if group.service == service)

    def slot_groups_of(self, worker_id: str) -> list[SlotGroup]:
        """Return the slot groups of one worker."""
        return [
            group for group in self.slot_groups.values() if group.worker_id == worker_id
        ]

    def drop_worker(self, worker_id: str) -> None:
        """Remove the slot groups of a worker that this instance doesn't control."""
        for key in [key for key in self.slot_groups if key[0] == worker_id]:
            del self.slot_groups[key]

    def lend(
        self, service: str, wanted: int, borrower: str, grant_id: str, deadline_s: float
    ) -> tuple[SlotGroup, Loan] | None:
        """
        Lend up to ``wanted`` slots of the service's own group with most free slots.

        At most half of the group's free slots are lent, but at least one. Return
        None if no slot is free.
        """
        slot_groups = [
            group for group in self.slot_groups.values() if group.service == service
        ]
        group = max(slot_groups, key=SlotGroup.free, default=None)
        if group is None or group.free() == 0:
            return None
        count = min(wanted, max(1, group.free() // 2))
        loan = Loan(grant_id, borrower, count, deadline_s)
        group.lend(loan)
        return group, loan


def _return_of(loan: BorrowedSlots, count: int) -> SlotReturn:
    return SlotReturn(loan.lender, loan.grant_id, loan.worker_id, loan.service, count)
