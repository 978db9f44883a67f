"""Steps that test the HTTP client with a server that misbehaves."""

import asyncio

from behave import given, then, when

from hornbeampaddle.machines import Address
from hornbeampaddle_wire.http_client import HttpClient
from hornbeampaddle_wire.http_messages import Request, Response

TIMEOUT_S = 0.3
ANSWER_MAX_BYTES = 1000
HEAD = b"HTTP/1.1 200 OK\r\n"


def _complete_answer(body):
    return HEAD + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


STRAY = _complete_answer(b"an answer to somebody else")
FIRST_ANSWERS = {
    "good, with a stray one behind": lambda body: _complete_answer(body) + STRAY,
    "cut short": lambda body: HEAD + b"Content-Length: 99\r\n\r\n" + body,
    "without a length": lambda body: HEAD + b"\r\n" + body,
    "too large": lambda body: _complete_answer(b"x" * 2 * ANSWER_MAX_BYTES),
    "a bad chunk": lambda body: HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
    "garbage": lambda body: b"\x00\x01\x02 no HTTP\r\n\r\n",
    "nothing, then closed": lambda body: b"",
    "half a head, then silence": lambda body: HEAD,
    "half a body, then silence": lambda body: _complete_answer(body)[:-1],
}
SILENT = ("silence", "half a head, then silence", "half a body, then silence", "late")
CLOSING = ("cut short", "without a length", "nothing, then closed")


class FaultyServer:
    """A server that misbehaves at its first request."""

    def __init__(self, fault):
        self.fault = fault
        self.requests = 0
        self.connections = 0
        self.scenario_over = asyncio.Event()
        self.closed = asyncio.Event()

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().split(b"content-length: ")[1].split(b"\r")[0])
                body = await reader.readexactly(length)
                if not await self.answer(writer, body):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        except asyncio.CancelledError:
            # The scenario is over.
            return
        finally:
            writer.close()
            self.closed.set()

    async def answer(self, writer, body):
        """Answer one request; return whether the connection stays open."""
        self.requests += 1
        fault = self.fault if self.requests == 1 else ""
        if fault == "late":
            # The answer is on its way while the client has stopped waiting.
            asyncio.get_running_loop().call_later(
                TIMEOUT_S + 0.05, writer.write, _complete_answer(body)
            )
        elif fault != "silence":
            writer.write(FIRST_ANSWERS.get(fault, _complete_answer)(body))
            await writer.drain()
        if fault in SILENT:
            await self.scenario_over.wait()
        return fault not in CLOSING and self.fault != "closes"


async def _calls(fault, bodies, connections, concurrent=False):
    peer = FaultyServer(fault)
    server = await asyncio.start_server(peer.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = HttpClient(Address("127.0.0.1", port), connections, ANSWER_MAX_BYTES)
    requests = [Request("POST", "/x", {}, body) for body in bodies]
    if concurrent:
        calls = (client.call(request, 5.0) for request in requests)
        exchanges = await asyncio.gather(*calls)
    else:
        exchanges = []
        for request in requests:
            exchanges.append(await client.call(request, TIMEOUT_S))
            if fault == "closes":
                await peer.closed.wait()
                peer.closed.clear()
    client.close()
    peer.scenario_over.set()
    server.close()
    return exchanges, peer


def _bodies(count):
    return [f"request {number}".encode() for number in range(count)]


@given("a peer whose first answer is {fault}")
def faulty_peer(context, fault):
    context.fault = fault


@given("a peer that closes each connection after its answer")
def closing_peer(context):
    context.fault = "closes"


@when("two requests are made one after the other")
def two_calls(context):
    call = _calls(context.fault, _bodies(2), 1)
    context.exchanges, context.peer = asyncio.run(call)


@when("{count:d} requests are made one after the other")
def calls_in_turn(context, count):
    call = _calls(context.fault, _bodies(count), 1)
    context.exchanges, context.peer = asyncio.run(call)


@when("{count:d} requests are made at once over {connections:d} connections")
def calls_at_once(context, count, connections):
    call = _calls(context.fault, _bodies(count), connections, concurrent=True)
    context.exchanges, context.peer = asyncio.run(call)


@then("the first ends as {first} and the second gets its own complete answer")
def first_and_second(context, first):
    one, two = context.exchanges
    assert type(one).__name__ == first, one
    if isinstance(one, Response):
        assert one.body == b"request 0"
    assert isinstance(two, Response), two
    assert two.body == b"request 1", two.body


@then("all get their own complete answers")
def all_own(context):
    for number, exchange in enumerate(context.exchanges):
        assert isinstance(exchange, Response), exchange
        assert exchange.body == f"request {number}".encode(), exchange.body


@then("at most {most:d} connections were opened")
def few_connections(context, most):
    assert 0 < context.peer.connections <= most
