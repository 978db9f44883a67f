"""Define requests, responses and the ways an HTTP exchange can fail."""

from dataclasses import dataclass, field

from hornbeampaddle.machines import Address

JSON = "application/json"


@dataclass(frozen=True, slots=True)
class Request:
    """A complete request. Header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    peer: Address | None = None


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response. Header names are in lower case."""

    status: int
    body: bytes = b""
    content_type: str = JSON
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request was sent."""

    detail: str


@dataclass(frozen=True, slots=True)
class NoResponse:
    """At least part of the request was sent, but no complete response was received."""

    detail: str


@dataclass(frozen=True, slots=True)
class CutShort:
    """A response began, but could not be received completely."""

    detail: str


Exchange = Response | NotSent | NoResponse | CutShort
