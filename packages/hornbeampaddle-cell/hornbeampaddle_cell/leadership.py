"""
Decide when an instance claims the cell, and whether it still holds it.

The holder is the only writer of the log of progress, so every record there serves as
its heartbeat. A claim is an append on the condition that the log ends at the offset
up to which the claimant has read. It also raises the writer's epoch, so that the log
rejects later appends of earlier holders. The epoch is the offset of the claim plus
one, so no two holders share an epoch.
"""

from dataclasses import dataclass, field
from random import Random

import msgspec

from hornbeampaddle.decoding import UnreadableError, decode

from .settings import InstanceSettings
from .unreadable import UnreadableRecords

HOLDER_KEY = ".holder"
# Instance id of a holder that is another instance, until the log names it.
UNKNOWN_HOLDER = "?"


class HolderRecord(msgspec.Struct, array_like=True, frozen=True):
    """The holder of the cell; ``instance_id`` is empty after a release."""

    instance_id: str
    epoch: int
    name: str = ""


_decoder = msgspec.msgpack.Decoder(HolderRecord)


def encode_holder(record: HolderRecord) -> bytes:
    """Return the stored form of a holder record."""
    return msgspec.msgpack.encode(record)


@dataclass(slots=True)
class Leadership:
    """One instance's knowledge of the holder, read from the log of progress only."""

    settings: InstanceSettings
    random: Random
    holder: HolderRecord | None = None
    last_activity_s: float = float("-inf")
    # When the log was last too old to claim by.
    unreadable_at_s: float = float("-inf")
    claim_delay_s: float = 0.0
    unreadable: UnreadableRecords = field(
        default_factory=lambda: UnreadableRecords("progress")
    )

    def begin(self, now_s: float) -> None:
        """Restart the silence timer, so that a current holder has time to write."""
        self.last_activity_s = now_s
        self._draw_claim_delay()

    def _draw_claim_delay(self) -> None:
        # Instances with more cores claim earlier, so that the largest running one
        # becomes the holder, which needs most of a core in a large cell.
        size_delay_s = self.settings.claim_delay_core_s / self.settings.cores
        jitter_s = self.random.uniform(0, self.settings.claim_jitter_s)
        self.claim_delay_s = size_delay_s + jitter_s

    def note_activity(self, now_s: float) -> None:
        """Restart the silence timer after any record of the holder."""
        self.last_activity_s = now_s

    def observe(self, value: bytes | None, now_s: float) -> None:
        """Apply a holder record; one that cannot be decoded keeps the known holder."""
        try:
            self.holder = decode(_decoder, value) if value else None
        except UnreadableError as error:
            self.unreadable.mark_unreadable(HOLDER_KEY, str(error))
        self.last_activity_s = now_s
        self._draw_claim_delay()

    def note_unreadable(self, now_s: float) -> None:
        """Note that the log of progress cannot be read at present."""
        self.unreadable_at_s = now_s

    @property
    def vacant(self) -> bool:
        """Whether the last holder released the cell, or there never was one."""
        return self.holder is None or not self.holder.instance_id

    def claim_due(self, now_s: float) -> bool:
        """
        Return whether to claim the cell now.

        A holder sends no orders once ``holder_lapse_s`` has passed without a stored
        record, so after ``claim_after_s`` none of its orders remains to be sent.
        """
        if now_s - self.unreadable_at_s < self.claim_delay_s:
            # Guards against a holder on a small machine after an outage of the store:
            # each instance has waited by then, so the first to read would claim.
            return False
        silent_s = now_s - self.last_activity_s
        if self.vacant:
            return silent_s >= self.claim_delay_s
        return silent_s >= self.settings.cell.claim_after_s + self.claim_delay_s

    @property
    def epoch(self) -> int:
        """The newest holder's epoch; 0 if there never was one."""
        return self.holder.epoch if self.holder is not None else 0

    def lost(self) -> None:
        """Mark the cell as held by another instance, whatever was read before."""
        self.holder = (
            None
            if self.holder is None
            else msgspec.structs.replace(self.holder, instance_id=UNKNOWN_HOLDER)
        )

    def holds(self, instance_id: str) -> bool:
        """Return whether the newest holder record names ``instance_id``."""
        return self.holder is not None and self.holder.instance_id == instance_id
