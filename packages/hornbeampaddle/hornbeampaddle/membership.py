"""
Find the entry instance that should decide for a worker or hold a key.

Membership only finds the right instance fast. Two instances may disagree on
it, and both may believe that they decide for one worker; the epoch that the
worker itself hands out settles which of them may act.
"""

from dataclasses import dataclass, field

from clandestined import RendezvousHash

from .clocks import RemoteClock
from .defaults import Timing
from .identity import incarnation_of

CHOSEN_MAX = 20_000


@dataclass(slots=True)
class Member:
    """What is known of one peer: its incarnation, clock and last heartbeat."""

    instance_id: str
    clock: RemoteClock
    incarnation: str = ""
    owner: str = ""
    heard_s: float = float("-inf")
    leaving: bool = False
    config_offset: int = -1
    home_offset: int = -1
    log_reachable: bool = True
    # Local time until which this peer promised not to succeed us.
    promised_until_s: float = float("-inf")


@dataclass(slots=True)
class Membership:
    """The live entry instances of one data centre, as one of them sees it."""

    instance_id: str
    timing: Timing
    members: dict[str, Member] = field(default_factory=dict)
    _ring: RendezvousHash | None = None
    _ring_of: tuple[str, ...] = ()
    # What the ring chose; cleared with it. Hashing again for each worker at each
    # tick was most of an idle instance's processor time.
    _chosen: dict[str, str] = field(default_factory=dict)

    def add(self, instance_id: str) -> Member:
        """Start to watch a peer; it counts as live once it is heard."""
        clock = RemoteClock(self.timing.clock_rate_error_ratio)
        member = Member(instance_id, clock)
        self.members[instance_id] = member
        return member

    def live(self, now_s: float) -> tuple[str, ...]:
        """Return the ids of the instances that may take work, sorted."""
        oldest_s = now_s - self.timing.suspect_after_s
        heard = [
            m.instance_id
            for m in self.members.values()
            if m.heard_s >= oldest_s and not m.leaving
        ]
        return tuple(sorted([*heard, self.instance_id]))

    def is_live(self, instance_id: str, now_s: float) -> bool:
        """Tell whether a peer was heard recently enough."""
        if instance_id == self.instance_id:
            return True
        member = self.members.get(instance_id)
        if member is None:
            return False
        return member.heard_s >= now_s - self.timing.suspect_after_s

    def owner_is_live(self, owner: str, now_s: float) -> bool:
        """Tell whether the very life of a peer behind a name was heard lately."""
        incarnation = incarnation_of(owner)
        return any(
            m.incarnation == incarnation and self.is_live(m.instance_id, now_s)
            for m in self.members.values()
        )

    def choose(self, name: str, live: tuple[str, ...]) -> str:
        """Return the instance that rendezvous hashing ranks first for ``name``."""
        if live != self._ring_of or self._ring is None:
            self._ring = RendezvousHash(nodes=list(live))
            self._ring_of = live
            self._chosen.clear()
        chosen = self._chosen.get(name)
        if chosen is None:
            chosen = str(self._ring.find_node(name))
            if len(self._chosen) < CHOSEN_MAX:
                self._chosen[name] = chosen
        return chosen
