"""Borrow slots from peers, lend them own slots, and return borrowed ones."""

import itertools
from collections.abc import Callable

from hornbeampaddle.identity import instance_of
from hornbeampaddle.messages import BorrowSlots, LendSlots, ReturnSlots
from hornbeampaddle.slots import BorrowedSlots, SlotPool, SlotReturn

from .context import Context

SLOTS_PER_BORROW_MAX = 4

# Number of free slots by peer, worker and service.
PeerSlots = dict[str, dict[str, dict[str, int]]]


class Loans:
    """The slots that this instance borrows from its peers and lends to them."""

    def __init__(
        self,
        context: Context,
        slots: SlotPool,
        serve_queue: Callable[[str, float], None],
    ) -> None:
        """``serve_queue`` runs a service's queued requests when slots become free."""
        self.context = context
        self.slots = slots
        self.serve_queue = serve_queue
        self.peer_slots: PeerSlots = {}
        self._pending_borrows: dict[tuple[str, str], str] = {}
        self._numbers = itertools.count(1)

    def borrow(self, service: str, wanted: int) -> None:
        """Request slots from the peer that reports the most free ones."""
        best_peer, most_free = "", 0
        for peer, workers in self.peer_slots.items():
            if (peer, service) in self._pending_borrows:
                continue
            free = sum(slots.get(service, 0) for slots in workers.values())
            if free > most_free:
                best_peer, most_free = peer, free
        if not best_peer:
            return
        grant_id = f"{self.context.incarnation}/{next(self._numbers)}"
        count = min(wanted, SLOTS_PER_BORROW_MAX)
        if self.context.send(best_peer, BorrowSlots(grant_id, service, count)):
            self._pending_borrows[(best_peer, service)] = grant_id

    def forget_unanswered(self) -> None:
        """Drop pending requests to borrow, as their answers may be lost."""
        self._pending_borrows.clear()

    def on_borrow(self, sender: str, message: BorrowSlots, now_s: float) -> None:
        """Lend slots to a peer, or answer that none are free."""
        peer = instance_of(sender)
        member = self.context.membership.members.get(peer)
        refusal = LendSlots(message.grant_id, message.service, "", 0, 0, 0.0)
        if member is None or not member.clock.known or self.context.leaving:
            self.context.send(peer, refusal)
            return
        deadline_s = now_s + self.context.timing.grant_s
        lent = self.slots.lend(
            message.service, message.count, sender, message.grant_id, deadline_s
        )
        if lent is None:
            self.context.send(peer, refusal)
            return
        slot_group, loan = lent
        remote_deadline_s = member.clock.remote_deadline_before(deadline_s)
        lend = LendSlots(
            loan.grant_id,
            slot_group.service,
            slot_group.worker_id,
            slot_group.epoch,
            loan.count,
            remote_deadline_s,
        )
        self.context.send(peer, lend)

    def on_lend(self, sender: str, message: LendSlots, now_s: float) -> None:
        """Handle a peer's answer: slots that it lends, or none."""
        peer = instance_of(sender)
        self._pending_borrows.pop((peer, message.service), None)
        if message.count == 0:
            for slots in self.peer_slots.get(peer, {}).values():
                slots.pop(message.service, None)
            self.serve_queue(message.service, now_s)
            return
        self.slots.borrowed[message.grant_id] = BorrowedSlots(
            message.grant_id,
            peer,
            message.worker_id,
            message.service,
            message.epoch,
            message.count,
            message.deadline_s,
        )
        self.serve_queue(message.service, now_s)

    def on_return(self, message: ReturnSlots, now_s: float) -> None:
        """Handle the return of lent slots."""
        slot_group = self.slots.slot_groups.get((message.worker_id, message.service))
        if slot_group is not None:
            slot_group.give_back(message.grant_id, message.count)
            self.serve_queue(message.service, now_s)

    def give_back_idle(self, now_s: float) -> None:
        """Return the borrowed slots that are past their deadline and not in use."""
        for returned in self.slots.give_back_idle(now_s):
            self.give_back(returned)

    def give_back(self, returned: SlotReturn) -> None:
        """Return borrowed slots to their lender."""
        message = ReturnSlots(
            returned.grant_id, returned.worker_id, returned.service, returned.count
        )
        self.context.send(returned.lender, message)
