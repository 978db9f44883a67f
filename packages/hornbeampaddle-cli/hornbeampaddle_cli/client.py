"""Call one entry instance's callers' or operators' listener."""

import asyncio
import os
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import cappa
import msgspec

from hornbeampaddle.machines import Address
from hornbeampaddle_wire.http_client import HttpClient
from hornbeampaddle_wire.http_messages import (
    CutShort,
    NoResponse,
    NotSent,
    Request,
    Response,
)

from .errors import EXIT_REFUSED, EXIT_UNKNOWN, EXIT_UNREACHABLE, UserError

TIMEOUT_S = 15.0
TOKEN_VARIABLE = "HORNBEAMPADDLE_TOKEN"


def parse_address(text: str) -> Address:
    """Read ``HOST:PORT``."""
    host, colon, port = text.rpartition(":")
    if not colon or not port.isdigit():
        raise UserError(f"{text!r} is not HOST:PORT with an IP number")
    return Address(host, int(port))


@dataclass
class OperatorOptions:
    """Options that every operator's command takes."""

    instance: Annotated[
        str,
        cappa.Arg(
            long="--instance",
            default=cappa.Env("HORNBEAMPADDLE_OPERATORS"),
            help="HOST:PORT of an entry instance's operators' listener.",
        ),
    ]
    token_file: Annotated[
        Path | None,
        cappa.Arg(
            long="--token-file", help=f"File with the token; else ${TOKEN_VARIABLE}."
        ),
    ] = None
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON for programs.")] = (
        False
    )

    def token(self) -> str:
        """Return the operators' token."""
        if self.token_file is not None:
            try:
                return self.token_file.read_text().strip()
            except OSError as error:
                raise UserError(f"cannot read the token: {error}") from None
        token = os.environ.get(TOKEN_VARIABLE, "")
        if not token:
            raise UserError(f"give --token-file, or set {TOKEN_VARIABLE}")
        return token


@dataclass
class Client:
    """One listener of one entry instance."""

    address: Address
    token: str = ""
    headers: dict[str, str] = field(default_factory=dict)

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Response:
        """Make one call; raise UserError where there is no whole answer."""
        sent = {**self.headers, **(headers or {})}
        if self.token:
            sent["authorization"] = f"Bearer {self.token}"
        client = HttpClient(self.address, 1)
        exchange = await client.call(Request(method, path, sent, body), TIMEOUT_S)
        client.close()
        match exchange:
            case Response():
                return exchange
            case NotSent(detail):
                message = f"cannot reach {self.address}: {detail}; nothing was done"
                raise UserError(message, EXIT_UNREACHABLE)
            case NoResponse(detail) | CutShort(detail):
                message = f"no whole answer from {self.address}: {detail}; ask again"
                raise UserError(message, EXIT_UNKNOWN)


def operator_call(
    options: OperatorOptions, method: str, path: str, body: bytes = b""
) -> Any:
    """Call the operators' listener and return the decoded JSON answer."""
    client = Client(parse_address(options.instance), options.token())
    response = asyncio.run(client.call(method, path, body))
    return decoded(response)


def decoded(response: Response) -> Any:
    """Return an answer's JSON; raise UserError if it is an error."""
    try:
        value = msgspec.json.decode(response.body)
    except ValueError:
        raise UserError(f"status {response.status}, and no JSON in it") from None
    if response.status < 400:
        return value
    detail = value.get("detail") or value.get("reason") or value.get("error")
    unknown = value.get("outcome") == "unknown" or detail == "unknown"
    if unknown:
        message = (
            f"it may have taken effect ({detail}); ask again, it is safe to repeat"
        )
        raise UserError(message, EXIT_UNKNOWN)
    raise UserError(f"refused: {detail}", EXIT_REFUSED)
