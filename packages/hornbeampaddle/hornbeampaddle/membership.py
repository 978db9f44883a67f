"""
Find the entry instance that should control a worker or keep a key.

Membership is only a hint that finds the right instance quickly. Two instances may
disagree on it, and both may believe that they control the same worker; the epoch
that the worker issues determines which of them may act.
"""

from dataclasses import dataclass, field

from clandestined import RendezvousHash

from .clocks import RemoteClock
from .defaults import Timing
from .identity import incarnation_of

CACHED_CHOICES_MAX = 20_000


@dataclass(slots=True)
class Member:
    """The known state of one peer: its incarnation, clock and last heartbeat."""

    instance_id: str
    clock: RemoteClock
    incarnation: str = ""
    owner: str = ""
    heard_s: float = float("-inf")
    leaving: bool = False
    config_offset: int = -1
    home_offset: int = -1
    log_reachable: bool = True
    # Local time until which this peer has promised not to record a succession of us.
    promised_until_s: float = float("-inf")


@dataclass(slots=True)
class Membership:
    """The live entry instances of one data centre, as one of them sees it."""

    instance_id: str
    timing: Timing
    members: dict[str, Member] = field(default_factory=dict)
    _ring: RendezvousHash | None = None
    _ring_members: tuple[str, ...] = ()
    # Cache of the ring's choices, cleared when it changes. Without it, hashing for
    # each worker at each tick takes most of an idle instance's processor time.
    _cached_choices: dict[str, str] = field(default_factory=dict)

    def add(self, instance_id: str) -> Member:
        """Add a peer; it counts as live from its first heartbeat."""
        clock = RemoteClock(self.timing.clock_rate_error_ratio)
        member = Member(instance_id, clock)
        self.members[instance_id] = member
        return member

    def live(self, now_s: float) -> tuple[str, ...]:
        """Return the sorted ids of the live instances that aren't leaving."""
        oldest_s = now_s - self.timing.suspect_after_s
        heard = [
            m.instance_id
            for m in self.members.values()
            if m.heard_s >= oldest_s and not m.leaving
        ]
        return tuple(sorted([*heard, self.instance_id]))

    def is_live(self, instance_id: str, now_s: float) -> bool:
        """Tell whether a peer's last heartbeat is recent enough."""
        if instance_id == self.instance_id:
            return True
        member = self.members.get(instance_id)
        if member is None:
            return False
        return member.heard_s >= now_s - self.timing.suspect_after_s

    def owner_is_live(self, owner: str, now_s: float) -> bool:
        """Tell whether the incarnation behind an owner's name is live."""
        incarnation = incarnation_of(owner)
        return any(
            m.incarnation == incarnation and self.is_live(m.instance_id, now_s)
            for m in self.members.values()
        )

    def choose(self, name: str, live: tuple[str, ...]) -> str:
        """Return the instance that rendezvous hashing ranks first for ``name``."""
        if live != self._ring_members or self._ring is None:
            self._ring = RendezvousHash(nodes=list(live))
            self._ring_members = live
            self._cached_choices.clear()
        chosen = self._cached_choices.get(name)
        if chosen is None:
            chosen = str(self._ring.find_node(name))
            if len(self._cached_choices) < CACHED_CHOICES_MAX:
                self._cached_choices[name] = chosen
        return chosen
