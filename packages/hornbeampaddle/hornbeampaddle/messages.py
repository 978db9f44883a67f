"""
Define the messages between the entry instances of one data centre.

Every message is sent in an envelope with the sender's incarnation and a sequence
number per receiver. A receiver drops numbers up to the highest that it has
received, so delayed and repeated messages have no effect.
"""

import msgspec
from msgspec import Struct

PROTOCOL_VERSION = 1


class WireNeeds(Struct, frozen=True, array_like=True):
    """An amount of resources in compact form."""

    cpu_millis: int
    memory_bytes: int
    accelerators: int


class WorkerSummary(Struct, frozen=True, array_like=True):
    """A worker that the sender controls, with its free capacity and free slots."""

    worker_id: str
    epoch: int
    free: WireNeeds
    open: bool
    free_slots: dict[str, int]


class Heartbeat(Struct, frozen=True, tag=True):
    """
    Announce that the sender is live, with its state and its workers' capacity.

    ``owner`` is the name under which the sender owns jobs. ``sent_s`` is on the
    sender's clock; ``echo_s`` is the last ``sent_s`` that it received from the
    receiver. ``authority_until_s`` and ``promise_until_s`` are on the receiver's
    clock. ``workers`` contains the changed workers and, in rotation, a few others.
    """

    owner: str
    sent_s: float
    echo_s: float
    leaving: bool
    log_reachable: bool
    config_offset: int
    home_offset: int
    authority_until_s: float
    promise_until_s: float
    disowned: tuple[str, ...] = ()
    workers: tuple[WorkerSummary, ...] = ()
    released: tuple[str, ...] = ()


class WireOrder(Struct, frozen=True, array_like=True):
    """A task order in compact form; ``attempt`` is the text form of its id."""

    attempt: str
    owner: str
    team: str
    kind: str
    needs: WireNeeds
    run_s: float
    urgent: bool
    costly_to_evict: bool
    at_most_once: bool
    generation: int


class PlaceOrder(Struct, frozen=True, tag=True):
    """Start an attempt; valid until ``valid_until_s`` on the receiver's clock."""

    order: WireOrder
    worker_id: str
    valid_until_s: float


class PlaceRefused(Struct, frozen=True, tag=True):
    """The attempt was not started and will not be started."""

    attempt: str
    worker_id: str
    reason: str


class RunningNotice(Struct, frozen=True, tag=True):
    """An attempt runs on a worker that the sender controls at ``epoch``."""

    order: WireOrder
    worker_id: str
    epoch: int


class DoubtNotice(Struct, frozen=True, tag=True):
    """The worker that may run the attempt doesn't answer the sender."""

    order: WireOrder
    worker_id: str


class EndedNotice(Struct, frozen=True, tag=True):
    """An attempt has ended."""

    order: WireOrder
    worker_id: str
    ending: str
    generation: int
    progress_ratio: float


class AdoptOrder(Struct, frozen=True, tag=True):
    """The owner of the attempt wants it to continue."""

    owner: str
    attempt: str
    worker_id: str


class AcknowledgeEnd(Struct, frozen=True, tag=True):
    """The sender has processed the attempt's end."""

    attempt: str
    worker_id: str


class CancelOrder(Struct, frozen=True, tag=True):
    """Stop an attempt for good."""

    attempt: str
    worker_id: str


class AskAttempt(Struct, frozen=True, tag=True):
    """Ask for the state of an attempt, after a new round trip to its worker."""

    order: WireOrder
    worker_id: str


class BorrowSlots(Struct, frozen=True, tag=True):
    """Ask to borrow slots of a service."""

    grant_id: str
    service: str
    count: int


class LendSlots(Struct, frozen=True, tag=True):
    """Lend slots until a time on the receiver's clock; ``count`` 0 refuses."""

    grant_id: str
    service: str
    worker_id: str
    epoch: int
    count: int
    deadline_s: float


class ReturnSlots(Struct, frozen=True, tag=True):
    """Give borrowed slots back."""

    grant_id: str
    worker_id: str
    service: str
    count: int


class AskOwned(Struct, frozen=True, tag=True):
    """Ask for the attempts of a dead owner on the receiver's workers."""

    dead_owner: str
    successor: str


class Owned(Struct, frozen=True, tag=True):
    """All attempts that one worker runs or has ended, for a dead owner's successor."""

    dead_owner: str
    worker_id: str
    epoch: int
    running: tuple[WireOrder, ...]
    ended: tuple[EndedNotice, ...]


class AskInventory(Struct, frozen=True, tag=True):
    """Ask what runs on the workers that the receiver controls."""

    call_id: str


class WorkerInventory(Struct, frozen=True, array_like=True):
    """The attempts with allocated capacity on one worker, as known at ``epoch``."""

    worker_id: str
    epoch: int
    orders: tuple[WireOrder, ...]


class Inventory(Struct, frozen=True, tag=True):
    """What runs on the workers that the sender controls."""

    call_id: str
    workers: tuple[WorkerInventory, ...]


class ForwardRequest(Struct, frozen=True, tag=True):
    """Forward a request to the keeper of its key."""

    call_id: str
    key: str
    service: str
    urgency: str
    content_type: str
    body: bytes
    traceparent: str = ""


class ForwardAnswer(Struct, frozen=True, tag=True):
    """The outcome of a forwarded request, from the keeper of its key."""

    call_id: str
    outcome: str
    reason: str
    retry_after_s: float | None
    status: int
    content_type: str
    body: bytes
    worker_id: str


class ConfigBatch(Struct, frozen=True, tag=True):
    """
    Configuration records after ``after_offset``, for a lagging peer.

    ``entries`` contains (offset, encoded record). If ``whole`` is set, its only
    entry is a snapshot of the full configuration through its offset.
    """

    after_offset: int
    entries: tuple[tuple[int, bytes], ...]
    whole: bool = False


Message = (
    Heartbeat
    | PlaceOrder
    | PlaceRefused
    | RunningNotice
    | DoubtNotice
    | EndedNotice
    | AdoptOrder
    | AcknowledgeEnd
    | CancelOrder
    | AskAttempt
    | BorrowSlots
    | LendSlots
    | ReturnSlots
    | AskOwned
    | Owned
    | AskInventory
    | Inventory
    | ForwardRequest
    | ForwardAnswer
    | ConfigBatch
)


class Envelope(Struct, frozen=True, array_like=True):
    """A message with its sender and sequence number."""

    version: int
    data_centre: str
    incarnation: str
    number: int
    message: Message


envelope_encoder = msgspec.msgpack.Encoder()
envelope_decoder = msgspec.msgpack.Decoder(Envelope)
