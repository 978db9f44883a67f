"""
Describe the machines and data centres in the instance list.

The list lags behind, so its entries are only hints for finding machines. No
safety rule depends on them: what runs on a worker is checked against the worker's
own answers.
"""

from dataclasses import dataclass, field
from enum import Enum

from .resources import NOTHING, Resources


class Standing(Enum):
    """The state of a machine in the instance list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Worker:
    """One target machine: its address, location and capacity."""

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
    """The workers of one data centre, by id."""

    name: str
    workers: dict[str, Worker] = field(default_factory=dict)

    def capacity(self) -> Resources:
        """Return the total capacity of the workers."""
        total = NOTHING
        for worker in self.workers.values():
            total = total + worker.capacity
        return total

    def rack(self, rack: str) -> list[Worker]:
        """Return the workers of one rack."""
        return [w for w in self.workers.values() if w.rack == rack]
