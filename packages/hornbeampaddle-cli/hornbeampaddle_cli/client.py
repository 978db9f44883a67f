"""Client for the callers' and the operators' listener of an entry instance."""

import asyncio
import os
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import cappa
import msgspec

from hornbeampaddle.decoding import decode
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

CALL_TIMEOUT_S = 15.0
TOKEN_VARIABLE = "HORNBEAMPADDLE_TOKEN"

_decoder = msgspec.json.Decoder()


def parse_address(text: str) -> Address:
    """Parse ``HOST:PORT``; raise UserError if it is malformed."""
    host, colon, port = text.rpartition(":")
    if not colon or not port.isdigit():
        raise UserError(
            f"{text!r} is not of the form HOST:PORT with a numeric IP address"
        )
    return Address(host, int(port))


@dataclass
class OperatorOptions:
    """Options of every operator command."""

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
            long="--token-file", help=f"File with the token; default ${TOKEN_VARIABLE}."
        ),
    ] = None
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")] = False

    def token(self) -> str:
        """Return the operator token; raise UserError if there is none."""
        if self.token_file is not None:
            try:
                return self.token_file.read_text().strip()
            except OSError as error:
                raise UserError(f"cannot read the token file: {error}") from None
        token = os.environ.get(TOKEN_VARIABLE, "")
        if not token:
            raise UserError(
                f"no operator token: pass --token-file or set {TOKEN_VARIABLE}"
            )
        return token


@dataclass
class Client:
    """Client of one listener of an entry instance."""

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
        """Make one call; raise UserError if there is no complete response."""
        sent = {**self.headers, **(headers or {})}
        if self.token:
            sent["authorization"] = f"Bearer {self.token}"
        client = HttpClient(self.address, 1)
        exchange = await client.call(Request(method, path, sent, body), CALL_TIMEOUT_S)
        client.close()
        match exchange:
            case Response():
                return exchange
            case NotSent(detail):
                message = (
                    f"cannot reach {self.address}: {detail}; the request was not sent"
                )
                raise UserError(message, EXIT_UNREACHABLE)
            case NoResponse(detail) | CutShort(detail):
                message = f"no complete response from {self.address}: {detail}; retry"
                raise UserError(message, EXIT_UNKNOWN)


def operator_call(
    options: OperatorOptions, method: str, path: str, body: bytes = b""
) -> Any:
    """Call the operators' listener and return the decoded JSON response."""
    client = Client(parse_address(options.instance), options.token())
    response = asyncio.run(client.call(method, path, body))
    return decode_response(response)


def decode_response(response: Response) -> Any:
    """Return the JSON of a response; raise UserError if it is an error."""
    try:
        value = decode(_decoder, response.body)
    except ValueError:
        raise UserError(
            f"response with status {response.status} is not valid JSON"
        ) from None
    if response.status < 400:
        return value
    detail = value.get("detail") or value.get("reason") or value.get("error")
    unknown = value.get("outcome") == "unknown" or detail == "unknown"
    if unknown:
        message = f"the call may have taken effect ({detail}); it is safe to retry"
        raise UserError(message, EXIT_UNKNOWN)
    raise UserError(f"refused: {detail}", EXIT_REFUSED)
