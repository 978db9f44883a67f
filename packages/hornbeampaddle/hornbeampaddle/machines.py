"""
Describe the machines and zones that the instance list names.

The list lags, so these objects are hints for finding things. No safety rule
reads them: what a worker holds is checked against the worker's own answers.
"""

from dataclasses import dataclass, field
from enum import Enum

from .resources import NOTHING, Resources


class Standing(Enum):
    """What the instance list says of a machine."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Worker:
    """One target machine: where it stands and what its hardware holds."""

    worker_id: str
    address: Address
    data_centre: str
    rack: str
    capacity: Resources
    slots: int = 8
    connections: int = 60
    standing: Standing = Standing.LIVE


@dataclass(slots=True)
class DataCentre:
    """The workers of one data centre, by id, and what they hold together."""

    name: str
    workers: dict[str, Worker] = field(default_factory=dict)

    def capacity(self) -> Resources:
        """Return the sum of the capacities of all its workers."""
        total = NOTHING
        for worker in self.workers.values():
            total = total + worker.capacity
        return total

    def rack(self, rack: str) -> list[Worker]:
        """Return the workers of one rack."""
        return [w for w in self.workers.values() if w.rack == rack]
