"""Define the limits of a listener, and the answer to what is beyond them."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec

from .http_messages import Request, Response

Handler = Callable[[Request], Awaitable[Response]]


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """
    Bounds on one listener's connections and requests.

    ``connections`` applies to a listener without an account. ``send_timeout_s`` is how
    long a client may leave its answer unread.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    head_timeout_s: float = 5.0
    body_timeout_s: float = 20.0
    idle_timeout_s: float = 60.0
    send_timeout_s: float = 20.0
    connections: int = 512


def error_response(
    status: int, reason: str, detail: str, headers: dict[str, str] | None = None
) -> Response:
    """Return a JSON error with a machine-readable reason and a readable detail."""
    body = msgspec.json.encode({"error": reason, "detail": detail})
    return Response(status, body, headers=headers or {})
