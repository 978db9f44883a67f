"""
Define the ports to the platform: worker, log service and instance list.

Decisions know only these. An adapter for another platform implements them and
must pass the contract tests in ``features/platform_contract.feature``.
"""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from hornbeampaddle.calls import ClaimWorker, RenewLeases, StartAttempt, StopAttempt
from hornbeampaddle.contracts import (
    Fenced,
    NoAnswer,
    NotSent,
    Refused,
    Started,
    Stopped,
    WorkerReport,
)
from hornbeampaddle.machines import Address, Worker
from hornbeampaddle.messages import Message
from hornbeampaddle.resources import Resources
from hornbeampaddle_wire.peers import PeerTraffic


@dataclass(frozen=True, slots=True)
class WorkerRequest:
    """A request on its way to a worker; ``deadline_s`` is on the local clock."""

    key: str
    service: str
    epoch: int
    needs: Resources
    repeat: str
    deadline_s: float
    content_type: str
    body: bytes
    traceparent: str = ""


@dataclass(frozen=True, slots=True)
class Answered:
    """The worker's whole answer."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class AnswerCutShort:
    """The worker began to answer; the rest is lost."""

    detail: str


RequestAnswer = Answered | Refused | Fenced | NotSent | NoAnswer | AnswerCutShort


class WorkerPort(Protocol):
    """One worker. No call raises for what the worker does."""

    async def claim(
        self, call: ClaimWorker, decider: str
    ) -> WorkerReport | Refused | NoAnswer | NotSent:
        """Ask for a new epoch."""

    async def start(
        self, call: StartAttempt
    ) -> Started | Refused | Fenced | NoAnswer | NotSent:
        """Start an attempt."""

    async def stop(
        self, call: StopAttempt
    ) -> Stopped | Refused | Fenced | NoAnswer | NotSent:
        """Stop an attempt."""

    async def renew(
        self, call: RenewLeases
    ) -> WorkerReport | Refused | Fenced | NoAnswer | NotSent:
        """Extend leases and get a report."""

    async def run(self, request: WorkerRequest) -> RequestAnswer:
        """Run a request to its end."""

    async def bar(self, key: str) -> bool:
        """Bar a request for good; True only if it never ran and is not running."""

    def close(self) -> None:
        """Drop the connections."""


@dataclass(frozen=True, slots=True)
class Page:
    """Some records of a stream, from the offset that was asked for."""

    entries: tuple[tuple[int, bytes], ...]
    oldest_offset: int
    next_offset: int


class LogPort(Protocol):
    """
    The log service.

    A read returns every record whose append was answered before the read began.
    """

    async def append(
        self, stream: str, records: tuple[bytes, ...]
    ) -> Result[int, NotSent | NoAnswer]:
        """Append records; an error says whether they may have been appended."""

    async def read(self, stream: str, from_offset: int) -> Result[Page, str]:
        """Read records from an offset on."""


class PeerPort(Protocol):
    """The way to the other entry instances of the data centre."""

    traffic: PeerTraffic

    def listen(self, address: Address) -> None:
        """Start to receive."""

    def dial(self, instance_id: str, address: Address) -> None:
        """Keep a connection to a peer."""

    def send(self, instance_id: str, message: Message) -> bool:
        """Send now or not at all; tell whether it was handed over."""

    def close(self) -> None:
        """Close all sockets at once."""


class ListPort(Protocol):
    """The instance list, which lags."""

    async def workers(self, data_centre: str) -> Result[list[Worker] | None, str]:
        """Return the workers of a data centre, or None if nothing changed."""
