"""
Know the other instances of a deployment, from the store alone.

Each instance keeps a record of where it listens for its peers, and renews it. What
has not been renewed for long belongs to a machine that is gone; the holder drops it.
"""

from dataclasses import dataclass, field
from random import Random

import msgspec

from hornbeampaddle.machines import Address

from .ports import Keyed
from .unreadable import Unreadable

# A record is renewed this often; at 40 instances that is one append in 1.5 s.
RENEW_S = 60.0
# A record that was renewed so long ago is dropped: ten renewals have failed.
KEPT_S = 600.0
# The records are read this often: a new peer is of use from then on.
READ_S = 5.0
PORT_MAX = 65_535


class PeerRecord(msgspec.Struct, array_like=True, frozen=True):
    """Where an instance listens for its peers; ``renewed_at_s`` is Unix time."""

    host: str
    port: int
    renewed_at_s: float


_decoder = msgspec.msgpack.Decoder(PeerRecord)


def peer_record(name: str, address: Address, renewed_at_s: float) -> Keyed:
    """Return the record by which an instance names itself."""
    value = PeerRecord(address.host, address.port, renewed_at_s)
    return Keyed(name, msgspec.msgpack.encode(value))


@dataclass(slots=True)
class PeerBook:
    """The peers that one instance knows, itself left out."""

    own_name: str
    random: Random = field(default_factory=Random)
    _records: dict[str, PeerRecord] = field(default_factory=dict)
    _unreadable: Unreadable = field(default_factory=lambda: Unreadable("peers"))

    def take(self, record: Keyed) -> None:
        """Take in a record of the log of peers."""
        if record.value is None:
            self._records.pop(record.key, None)
        elif record.key != self.own_name:
            self._take(record.key, record.value)

    def _take(self, name: str, value: bytes) -> None:
        try:
            record = _decoder.decode(value)
        except msgspec.DecodeError as error:
            self._unreadable.note(name, str(error))
            return
        if not 0 < record.port <= PORT_MAX:
            self._unreadable.note(name, f"port {record.port}")
            return
        self._unreadable.readable(name)
        self._records[name] = record

    def __len__(self) -> int:
        """Return the number of known peers."""
        return len(self._records)

    def shuffled(self) -> list[Address]:
        """Return all peers in a random order, so that no one peer gets all calls."""
        addresses = [Address(r.host, r.port) for r in self._records.values()]
        self.random.shuffle(addresses)
        return addresses

    def outdated(self, wall_s: float) -> list[str]:
        """Return the names whose records were not renewed for long."""
        limit_s = wall_s - KEPT_S
        return [n for n, r in self._records.items() if r.renewed_at_s < limit_s]
