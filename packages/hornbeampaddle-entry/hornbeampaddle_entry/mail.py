"""Define the messages that the control task receives from the other tasks."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

from hornbeampaddle.calls import Call
from hornbeampaddle.contracts import (
    Fenced,
    NoAnswer,
    NotSent,
    Refused,
    Started,
    Stopped,
    WorkerReport,
)
from hornbeampaddle.intents import Intent
from hornbeampaddle.machines import Worker
from hornbeampaddle.messages import Message
from hornbeampaddle.outcomes import Outcome
from hornbeampaddle.plans import Plan
from hornbeampaddle.queueing import Urgency
from hornbeampaddle.records import JobSpec
from hornbeampaddle.slots import Slot

from .ports import RequestAnswer

WorkerAnswer = Started | Stopped | WorkerReport | Refused | Fenced | NoAnswer | NotSent


@dataclass(frozen=True, slots=True)
class PeerMail:
    """A message from a peer."""

    sender: str
    message: Message


@dataclass(frozen=True, slots=True)
class WorkerMail:
    """A worker's answer to a decider's call."""

    worker_id: str
    call: Call
    answer: WorkerAnswer


@dataclass(frozen=True, slots=True)
class StreamMail:
    """
    Records read from a stream, in order.

    ``reached_end`` tells that all records appended before ``asked_s`` have been read.
    ``gap`` tells that records before the first one expired before they were read.
    """

    stream: str
    records: tuple[tuple[int, Any], ...]
    asked_s: float
    reached_end: bool
    gap: bool
    oldest_offset: int = 0
    next_offset: int = 0


@dataclass(frozen=True, slots=True)
class StreamDown:
    """A stream could not be read."""

    stream: str
    detail: str


@dataclass(frozen=True, slots=True)
class ListMail:
    """The workers of this data centre in the instance list."""

    workers: list[Worker]


@dataclass(slots=True)
class Ticket:
    """One request of a caller, from its arrival to its outcome."""

    service: str
    urgency: Urgency
    deadline_s: float
    content_type: str
    body: bytes
    key_text: str
    traceparent: str
    done: asyncio.Future[Outcome]
    key: str = ""
    runs: int = 0
    # Workers that have barred the key and would refuse the request.
    barred_on: set[str] = field(default_factory=set)
    waiters: list[asyncio.Future[Outcome]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class RequestMail:
    """A caller's request."""

    ticket: Ticket


@dataclass(frozen=True, slots=True)
class RunMail:
    """The result of a run of a request on a worker."""

    ticket: Ticket
    slot: Slot
    answer: RequestAnswer
    barred: bool
    latency_s: float


@dataclass(frozen=True, slots=True)
class KeysMail:
    """A caller's request for request keys."""

    count: int
    deadline_s: float
    done: asyncio.Future[list[str]]


@dataclass(frozen=True, slots=True)
class JobMail:
    """A job submitted by a caller or operator."""

    spec: JobSpec
    done: asyncio.Future["JobAnswer"]


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """
    The result of a job's submission or cancellation.

    If ``accepted`` is false and ``reason`` is "unknown", the record may still become
    durable later.
    """

    accepted: bool
    reason: str
    owner: str = ""


@dataclass(frozen=True, slots=True)
class CancelMail:
    """A caller's request to cancel a job."""

    job_id: str
    done: asyncio.Future["JobAnswer"]


@dataclass(frozen=True, slots=True)
class PlanMail:
    """An operator's intent, to make a plan for."""

    intent: Intent
    done: asyncio.Future["PlanAnswer"]


@dataclass(frozen=True, slots=True)
class ConfirmMail:
    """An operator's confirmation of a plan."""

    plan: Plan
    operator: str
    done: asyncio.Future["ConfirmAnswer"]


@dataclass(frozen=True, slots=True)
class PlanAnswer:
    """A plan, or an error if none could be made."""

    plan: Plan | None
    error: str = ""


@dataclass(frozen=True, slots=True)
class ConfirmAnswer:
    """Whether a confirmed plan was applied, and if not, why."""

    applied: bool
    reason: str = ""
    offset: int = -1


@dataclass(frozen=True, slots=True)
class Tick:
    """The periodic signal to handle what is due."""


@dataclass(frozen=True, slots=True)
class LeaveMail:
    """The request to stop accepting work and hand over the jobs."""

    done: asyncio.Future[None]


Mail = (
    PeerMail
    | WorkerMail
    | StreamMail
    | StreamDown
    | ListMail
    | RequestMail
    | RunMail
    | KeysMail
    | JobMail
    | CancelMail
    | PlanMail
    | ConfirmMail
    | Tick
    | LeaveMail
)
