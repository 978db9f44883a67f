"""
Decide when an instance claims the cell, and whether it still holds it.

The holder is the sole writer of the log of progress, so every record there is
a sign of its life. A claim is an append on the condition that the log ends
where the claimant has read to; it also raises the writer's epoch, so that
nothing of an earlier holder is stored after it. The epoch is one more than the
offset of the claim, so no two holders ever share one.
"""

from dataclasses import dataclass, field
from random import Random

import msgspec

from .settings import InstanceSettings
from .unreadable import Unreadable

HOLDER_KEY = ".holder"
# Stands for a holder that is not us, until the log names it.
UNKNOWN_HOLDER = "?"


class HolderRecord(msgspec.Struct, array_like=True, frozen=True):
    """Who holds the cell: empty if the last holder has let it go."""

    instance_id: str
    epoch: int
    name: str = ""


_decoder = msgspec.msgpack.Decoder(HolderRecord)


def encode_holder(record: HolderRecord) -> bytes:
    """Return the stored form of a holder record."""
    return msgspec.msgpack.encode(record)


@dataclass(slots=True)
class Leadership:
    """What one instance knows of the holder, from the log alone."""

    settings: InstanceSettings
    random: Random
    holder: HolderRecord | None = None
    last_sign_s: float = float("-inf")
    delay_s: float = 0.0
    unreadable: Unreadable = field(default_factory=lambda: Unreadable("progress"))

    def begin(self, now_s: float) -> None:
        """Start to watch; whoever holds the cell gets time to show it."""
        self.last_sign_s = now_s
        self._draw_delay()

    def _draw_delay(self) -> None:
        # The larger the machine the sooner it claims, so that the largest that
        # lives becomes the holder, which needs most of a core in a large cell.
        size_delay_s = self.settings.claim_delay_core_s / self.settings.cores
        jitter_s = self.random.uniform(0, self.settings.claim_jitter_s)
        self.delay_s = size_delay_s + jitter_s

    def sign_of_life(self, now_s: float) -> None:
        """Note a record of the holder."""
        self.last_sign_s = now_s

    def observe(self, value: bytes | None, now_s: float) -> None:
        """Take in a holder record; one that cannot be read changes nothing."""
        try:
            self.holder = _decoder.decode(value) if value else None
        except msgspec.DecodeError as error:
            self.unreadable.note(HOLDER_KEY, str(error))
        self.last_sign_s = now_s
        self._draw_delay()

    @property
    def vacant(self) -> bool:
        """Tell whether the last holder has let the cell go, or there was none."""
        return self.holder is None or not self.holder.instance_id

    def claim_due(self, now_s: float) -> bool:
        """
        Tell whether to claim the cell now.

        A holder gives no orders after ``holder_lapse_s`` without a stored
        record, so at ``claim_after_s`` none of its orders is still to be sent.
        """
        silent_s = now_s - self.last_sign_s
        if self.vacant:
            return silent_s >= self.delay_s
        return silent_s >= self.settings.cell.claim_after_s + self.delay_s

    @property
    def epoch(self) -> int:
        """Return the newest holder's epoch, 0 if there never was one."""
        return self.holder.epoch if self.holder is not None else 0

    def lost(self) -> None:
        """Note that the cell is no longer ours, whatever was read before."""
        self.holder = (
            None
            if self.holder is None
            else msgspec.structs.replace(self.holder, instance_id=UNKNOWN_HOLDER)
        )

    def holds(self, instance_id: str) -> bool:
        """Tell whether the newest record names this instance."""
        return self.holder is not None and self.holder.instance_id == instance_id
