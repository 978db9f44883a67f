"""Borrow slots from peers, lend them ours, and give them back."""

import itertools
from collections.abc import Callable

from hornbeampaddle.identity import instance_of
from hornbeampaddle.messages import BorrowSlots, LendSlots, ReturnSlots
from hornbeampaddle.slots import BorrowedSlots, SlotPool, SlotReturn

from .context import Context

BORROW_MAX = 4

# Free slots by peer, worker and service.
PeerSlots = dict[str, dict[str, dict[str, int]]]


class Loans:
    """The slots that pass between this instance and its peers."""

    def __init__(
        self, context: Context, slots: SlotPool, pump: Callable[[str, float], None]
    ) -> None:
        """``pump`` runs the waiting requests of a service once slots came in."""
        self.context = context
        self.slots = slots
        self.pump = pump
        self.peer_slots: PeerSlots = {}
        self._borrowing: dict[tuple[str, str], str] = {}
        self._numbers = itertools.count(1)

    def borrow(self, service: str, wanted: int) -> None:
        """Ask the peer with the most free slots for some of them."""
        best, most = "", 0
        for peer, workers in self.peer_slots.items():
            if (peer, service) in self._borrowing:
                continue
            free = sum(slots.get(service, 0) for slots in workers.values())
            if free > most:
                best, most = peer, free
        if not best:
            return
        grant_id = f"{self.context.incarnation}/{next(self._numbers)}"
        count = min(wanted, BORROW_MAX)
        if self.context.send(best, BorrowSlots(grant_id, service, count)):
            self._borrowing[(best, service)] = grant_id

    def forget_unanswered(self) -> None:
        """Allow borrowing again where an answer was lost."""
        self._borrowing.clear()

    def on_borrow(self, sender: str, message: BorrowSlots, now_s: float) -> None:
        """Lend slots, or say that there are none."""
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
        lane, loan = lent
        there_s = member.clock.remote_deadline_before(deadline_s)
        lend = LendSlots(
            loan.grant_id, lane.service, lane.worker_id, lane.epoch, loan.count, there_s
        )
        self.context.send(peer, lend)

    def on_lend(self, sender: str, message: LendSlots, now_s: float) -> None:
        """Take borrowed slots and use them."""
        peer = instance_of(sender)
        self._borrowing.pop((peer, message.service), None)
        if message.count == 0:
            for slots in self.peer_slots.get(peer, {}).values():
                slots.pop(message.service, None)
            self.pump(message.service, now_s)
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
        self.pump(message.service, now_s)

    def on_return(self, message: ReturnSlots, now_s: float) -> None:
        """Take lent slots back."""
        lane = self.slots.slot_groups.get((message.worker_id, message.service))
        if lane is not None:
            lane.give_back(message.grant_id, message.count)
            self.pump(message.service, now_s)

    def give_back_idle(self, now_s: float) -> None:
        """Return borrowed slots that are past their deadline and idle."""
        for returned in self.slots.give_back_idle(now_s):
            self.give_back(returned)

    def give_back(self, returned: SlotReturn) -> None:
        """Tell a lender that its slots are free again."""
        message = ReturnSlots(
            returned.grant_id, returned.worker_id, returned.service, returned.count
        )
        self.context.send(returned.lender, message)
