"""Define requests, responses and the ways an HTTP exchange can fail."""

from dataclasses import dataclass, field

from hornbeampaddle.machines import Address

JSON = "application/json"


@dataclass(frozen=True, slots=True)
class Request:
    """A whole request. Header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    peer: Address | None = None


@dataclass(frozen=True, slots=True)
class Response:
    """A whole response. Header names are in lower case."""

    status: int
    body: bytes = b""
    content_type: str = JSON
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request left this process."""

    detail: str


@dataclass(frozen=True, slots=True)
class NoResponse:
    """Some of the request was sent and no whole response came back."""

    detail: str


@dataclass(frozen=True, slots=True)
class CutShort:
    """A response began and ended before its end."""

    detail: str


Exchange = Response | NotSent | NoResponse | CutShort
