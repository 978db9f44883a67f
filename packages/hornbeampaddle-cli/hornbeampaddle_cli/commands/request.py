"""Send one request to a service, as a caller would."""

import asyncio
import json
import sys
from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec

from ..client import Client, parse_address
from ..errors import EXIT_REFUSED, EXIT_UNKNOWN, UserError


@dataclass
class CallerOptions:
    """Options of every caller command."""

    instance: Annotated[
        str,
        cappa.Arg(
            long="--instance",
            default=cappa.Env("HORNBEAMPADDLE_CALLERS"),
            help="HOST:PORT of an entry instance's callers' listener.",
        ),
    ]


@cappa.command(
    name="request", help="Send a request; the body is read from standard input."
)
@dataclass
class RequestCommand(CallerOptions):
    """Send one request with an idempotency key."""

    service: str = ""
    timeout_s: Annotated[float, cappa.Arg(long="--timeout-s")] = 10.0
    key: Annotated[
        str, cappa.Arg(long="--key", help="Retry an earlier request with its key.")
    ] = ""

    def __call__(self) -> None:
        """Send the request and print the outcome."""
        asyncio.run(self._send(sys.stdin.buffer.read()))

    async def _send(self, body: bytes) -> None:
        client = Client(parse_address(self.instance))
        key = self.key or await self._new_key(client)
        headers = {"request-key": key, "request-timeout-s": str(self.timeout_s)}
        path = f"/v1/requests/{self.service}"
        response = await client.call("POST", path, body, headers)
        outcome = response.headers.get("request-outcome", "")
        if outcome == "done":
            sys.stdout.buffer.write(response.body + b"\n")
            return
        if outcome == "unknown":
            message = f"the request may have run: {response.body.decode()}; key {key}"
            raise UserError(message, EXIT_UNKNOWN)
        raise UserError(
            f"the request did not run: {response.body.decode()}", EXIT_REFUSED
        )

    async def _new_key(self, client: Client) -> str:
        key_request = json.dumps({"count": 1, "valid_s": self.timeout_s}).encode()
        response = await client.call("POST", "/v1/keys", key_request)
        key: str = msgspec.json.decode(response.body)["keys"][0]
        return key
