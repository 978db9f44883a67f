"""
Discover the other instances of a deployment through the store.

Each instance stores the address at which it listens for its peers, and renews the
record. A record that has not been renewed for long belongs to a machine that is gone;
the holder deletes it.
"""

from dataclasses import dataclass, field
from random import Random

import msgspec

from hornbeampaddle.decoding import UnreadableError, decode
from hornbeampaddle.machines import Address

from .admission import Competitors
from .ports import Keyed
from .unreadable import UnreadableRecords

# How often an instance renews its record; at 40 instances that is one append in 1.5 s.
RECORD_RENEWAL_INTERVAL_S = 60.0
# Age at which a record that was not renewed is deleted: ten renewals have failed.
RECORD_TTL_S = 600.0
# How often the records are read: a new peer can be used from the next read on.
PEERS_READ_INTERVAL_S = 5.0
PORT_MAX = 65_535


class PeerRecord(msgspec.Struct, array_like=True, frozen=True):
    """
    Where an instance listens for its peers; ``renewed_at_s`` is Unix time.

    ``data_centre`` is empty in records of earlier versions, ``jobs_memory_bytes``, what
    the instance has for jobs, 0.
    """

    host: str
    port: int
    renewed_at_s: float
    data_centre: str = ""
    jobs_memory_bytes: int = 0


_decoder = msgspec.msgpack.Decoder(PeerRecord)


def peer_record(
    name: str,
    address: Address,
    renewed_at_s: float,
    data_centre: str = "",
    jobs_memory_bytes: int = 0,
) -> Keyed:
    """Return the record of an instance's own address."""
    value = PeerRecord(
        address.host, address.port, renewed_at_s, data_centre, jobs_memory_bytes
    )
    return Keyed(name, msgspec.msgpack.encode(value))


@dataclass(slots=True)
class PeerDirectory:
    """The peers known to one instance, without itself."""

    own_name: str
    random: Random = field(default_factory=Random)
    _records: dict[str, PeerRecord] = field(default_factory=dict)
    _unreadable: UnreadableRecords = field(
        default_factory=lambda: UnreadableRecords("peers")
    )

    def apply(self, record: Keyed) -> None:
        """Apply a record of the log of peers."""
        if record.value is None:
            self._records.pop(record.key, None)
        elif record.key != self.own_name:
            self._apply(record.key, record.value)

    def _apply(self, name: str, value: bytes) -> None:
        try:
            record = decode(_decoder, value)
        except UnreadableError as error:
            self._unreadable.mark_unreadable(name, str(error))
            return
        if not 0 < record.port <= PORT_MAX:
            self._unreadable.mark_unreadable(name, f"port {record.port}")
            return
        self._unreadable.mark_readable(name)
        self._records[name] = record

    def __len__(self) -> int:
        """Return the number of known peers."""
        return len(self._records)

    def competitors(self, data_centre: str) -> Competitors:
        """Return who takes jobs beside an instance of this data centre."""
        others = [record.data_centre for record in self._records.values()]
        return Competitors(len({data_centre, *others}), 1 + others.count(data_centre))

    def least_jobs_memory_bytes(self, own_bytes: int) -> int:
        """Return what the smallest instance has for jobs, this one with its own."""
        known = [r.jobs_memory_bytes for r in self._records.values()]
        return min([own_bytes, *(size for size in known if size > 0)])

    def shuffled(self) -> list[Address]:
        """Return all addresses in random order, to spread calls over the peers."""
        addresses = [Address(r.host, r.port) for r in self._records.values()]
        self.random.shuffle(addresses)
        return addresses

    def addresses(self) -> dict[str, Address]:
        """Return all addresses by the names of the instances."""
        return {n: Address(r.host, r.port) for n, r in self._records.items()}

    def outdated(self, wall_s: float) -> list[str]:
        """Return the names whose records are older than ``RECORD_TTL_S``."""
        limit_s = wall_s - RECORD_TTL_S
        return [n for n, r in self._records.items() if r.renewed_at_s < limit_s]
