"""
Define the interfaces to the platform: worker, log service and instance list.

The control code depends only on these. An adapter for another platform implements
them and must pass the contract tests in ``features/platform_contract.feature``.
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
    """A request to send to a worker; ``deadline_s`` is on the local clock."""

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
    """The worker's complete answer."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class AnswerCutShort:
    """The worker's answer began but is incomplete."""

    detail: str


RequestAnswer = Answered | Refused | Fenced | NotSent | NoAnswer | AnswerCutShort


class WorkerPort(Protocol):
    """One worker; calls return the worker's failures instead of raising them."""

    async def claim(
        self, call: ClaimWorker, decider: str
    ) -> WorkerReport | Refused | NoAnswer | NotSent:
        """Claim the worker, which issues a new epoch."""

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
        """Renew leases and return the worker's report."""

    async def run(self, request: WorkerRequest) -> RequestAnswer:
        """Run a request and return its answer."""

    async def bar(self, key: str) -> bool:
        """
        Make the worker refuse a request key from now on.

        Return True only if the request never ran and isn't running.
        """

    def close(self) -> None:
        """Close the connections."""


@dataclass(frozen=True, slots=True)
class Page:
    """Consecutive records of a stream, from the requested offset on."""

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
        """
        Append records and return the offset of the first.

        The error ``NoAnswer`` means that they may have been appended, ``NotSent``
        that they weren't.
        """

    async def read(self, stream: str, from_offset: int) -> Result[Page, str]:
        """Return records from ``from_offset`` on."""


class PeerPort(Protocol):
    """The connections to the other entry instances of the data centre."""

    traffic: PeerTraffic

    def listen(self, address: Address) -> None:
        """Listen for connections from peers."""

    def dial(self, instance_id: str, address: Address) -> None:
        """Connect to a peer and keep the connection open."""

    def send(self, instance_id: str, message: Message) -> bool:
        """Send a message without waiting, or drop it; return whether it was sent."""

    def close(self) -> None:
        """Close all sockets at once."""


class ListPort(Protocol):
    """The instance list, which lags behind the actual workers."""

    async def workers(self, data_centre: str) -> Result[list[Worker] | None, str]:
        """Return the workers of a data centre, or None if nothing changed."""
