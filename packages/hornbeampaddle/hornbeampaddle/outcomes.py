"""
Define the possible outcomes of a request.

There are exactly three. ``NotRun`` is created only where it is certain that no
target has run the request or will run it later.
"""

from dataclasses import dataclass
from enum import Enum


class Reason(Enum):
    """Why a request was not run, or why its outcome is unknown."""

    NO_CONFIGURATION = "no_configuration"
    UNKNOWN_SERVICE = "unknown_service"
    DEADLINE_PASSED = "deadline_passed"
    TOO_LATE_TO_RUN = "too_late_to_run"
    QUEUE_FULL = "queue_full"
    NO_CAPACITY = "no_capacity"
    LEAVING = "leaving"
    QUOTA_EXCEEDED = "quota_exceeded"
    KEY_INVALID = "key_invalid"
    KEY_REUSED = "key_reused"
    KEEPER_UNREACHABLE = "keeper_unreachable"
    KEEPER_GONE = "keeper_gone"
    ANSWER_LOST = "answer_lost"
    ANSWER_CUT_SHORT = "answer_cut_short"
    WORKER_REFUSED = "worker_refused"
    WORKER_UNREACHABLE = "worker_unreachable"
    INSTANCE_STOPPING = "instance_stopping"
    ANSWER_DROPPED = "answer_dropped"
    KEY_FORGOTTEN = "key_forgotten"
    IN_PROGRESS = "in_progress"


@dataclass(frozen=True, slots=True)
class Done:
    """The request ran to completion; ``body`` is the target's complete answer."""

    status: int
    content_type: str
    body: bytes
    worker_id: str


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request was not run and never will be; sending it again is safe."""

    reason: Reason
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run."""

    reason: Reason
    retry_after_s: float | None = None


Outcome = Done | NotRun | Unknown
