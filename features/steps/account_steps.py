"""Steps on the account of what the clients of a process hold."""

import asyncio
import sys
from dataclasses import dataclass, field

import structlog
from behave import given, then, when
from support.watched import LOOPBACK, PLATFORM

sys.path.insert(0, str(PLATFORM))

from hornbeampaddle.machines import Address
from hornbeampaddle_cell.settings import InstanceSettings
from hornbeampaddle_platform.main import client_account, descriptor_plan
from hornbeampaddle_wire.account import (
    CONNECTION_BYTES,
    UNCHARGED_BYTES,
    Account,
    AccountLimits,
    Holding,
)
from hornbeampaddle_wire.descriptors import FILE_DESCRIPTORS
from hornbeampaddle_wire.http_messages import Response
from hornbeampaddle_wire.http_server import HttpLimits, HttpServer
from hornbeampaddle_wire.turns import Turns

MIB = 2**20
PATIENCE_S = 20.0
LIMITS = AccountLimits(8, 1_000_000)


@dataclass
class Scene:
    """An account with connections, numbered from 1, and a clock that is set."""

    now_s: float = 100.0
    holdings: dict[int, Holding] = field(default_factory=dict)
    ended: list[int] = field(default_factory=list)
    counted: list[tuple[str, str]] = field(default_factory=list)

    def __post_init__(self):
        self.account = Account(
            LIMITS, lambda: self.now_s, lambda *why: self.counted.append(why)
        )
        for listener in ("callers", "peers"):
            self.account.register(listener)

    def connect(self, listener="callers"):
        """Admit one more connection; return its number, None if turned away."""
        number = len(self.holdings) + 1
        holding = self.account.admit(listener, lambda: self.ended.append(number))
        if holding is None:
            return None
        self.holdings[number] = holding
        self.now_s += 0.001
        return number


@when(
    "the account of a process of {memory:d} MB and {descriptors:d} descriptors is made"
)
def make_account(context, memory, descriptors):
    context.settings = InstanceSettings(
        "i-1",
        "i",
        "dc-1",
        1.0,
        memory_bytes=memory * MIB,
        descriptors=descriptors,
    )
    context.limits = client_account(context.settings).limits
    context.plan = descriptor_plan(context.settings)


@then(
    "connections and what they hold take a quarter of the memory, "
    "clients and workers at most the sockets"
)
def check_shares(context):
    limits, settings = context.limits, context.settings
    total_bytes = limits.held_bytes + limits.connections * CONNECTION_BYTES
    assert total_bytes <= settings.memory_bytes / 4, limits
    sockets = settings.descriptors - FILE_DESCRIPTORS
    assert limits.connections <= context.plan.clients
    assert context.plan.clients + context.plan.workers < sockets, context.plan


@then("a request of {size:d} bytes fits it {count:d} times or more")
def check_requests(context, size, count):
    assert context.limits.held_bytes // size >= count, context.limits
    assert context.limits.request_bytes >= size, context.limits


@given("{count:d} connections of callers, of which the first {at_work:d} are at work")
def connect_some(context, count, at_work):
    context.accounted = scene = Scene()
    for _ in range(count):
        scene.connect()
    for number in range(1, at_work + 1):
        scene.account.receiving(scene.holdings[number])
        scene.account.serving(scene.holdings[number])


@given(
    "{count:d} connections of callers, all of which began a request, the last one first"
)
def connect_receiving(context, count):
    context.accounted = scene = Scene()
    for _ in range(count):
        scene.connect()
    for number in range(count, 0, -1):
        scene.account.receiving(scene.holdings[number])


@given(
    "3 connections of callers that hold {a:d}, {b:d} and {c:d} bytes "
    "for {a_s:d}, {b_s:d} and {c_s:d} s"
)
def connect_holding(context, a, b, c, a_s, b_s, c_s):
    context.accounted = scene = Scene()
    begun_s = scene.now_s
    for size, held_s in ((a, a_s), (b, b_s), (c, c_s)):
        scene.now_s = begun_s - held_s
        number = scene.connect()
        scene.now_s = begun_s - held_s
        scene.account.receiving(scene.holdings[number])
        scene.account.charge(scene.holdings[number], size + UNCHARGED_BYTES)
    scene.now_s = begun_s


@when("one more connection of callers comes")
def connect_one(context):
    context.number = context.accounted.connect()


@when("two connections of peers come, and ten of callers")
def connect_peers(context):
    context.peers = [context.accounted.connect("peers") for _ in range(2)]
    for _ in range(10):
        context.accounted.connect()


@when("{count:d} more connections of callers come within {seconds:d} s")
def connect_many(context, count, seconds):
    with structlog.testing.capture_logs() as context.lines:
        for _ in range(count):
            context.accounted.connect()
            context.accounted.now_s += seconds / count


@when("a connection asks for {size:d} bytes at once")
def ask_at_once(context, size):
    scene = context.accounted
    context.number = scene.connect()
    scene.account.receiving(scene.holdings[context.number])
    context.charged = scene.account.charge(scene.holdings[context.number], size)


@when("the first connection asks for {size:d} bytes after {seconds:d} s")
def ask_first(context, size, seconds):
    scene = context.accounted
    scene.now_s += seconds
    context.charged = scene.account.charge(scene.holdings[1], size)


@then('it is admitted, and connection {number:d} has ended for "{reason}"')
def check_admitted(context, number, reason):
    assert context.number is not None
    assert context.accounted.ended == [number], context.accounted.ended
    assert context.accounted.counted == [("callers", reason)]


@then("it is turned away, and none has ended")
def check_turned_away(context):
    assert context.number is None
    assert not context.accounted.ended, context.accounted.ended


@then("both connections of peers are still there")
def check_peers(context):
    assert None not in context.peers
    assert not set(context.peers) & set(context.accounted.ended)


@then('it gets them, and connection {number:d} has ended for "{reason}"')
def check_charged(context, number, reason):
    assert context.charged
    assert context.accounted.ended == [number], context.accounted.ended
    assert context.accounted.counted == [("callers", reason)]


@then("it gets them, and none has ended")
def check_charged_alone(context):
    assert context.charged
    assert not context.accounted.ended, context.accounted.ended


@then("it is refused, and none has ended")
def check_refused(context):
    assert not context.charged
    assert not context.accounted.ended, context.accounted.ended


@then("all are counted, in {least:d} to {most:d} lines")
def check_lines(context, least, most):
    assert least <= len(context.lines) <= most, context.lines
    assert len(context.accounted.counted) == len(context.accounted.ended) == 1000


@given(
    "{count:d} connections that each ask for {turns:d} turns, "
    "of which {per_iteration:d} are given at a time"
)
def make_turns(context, count, turns, per_iteration):
    context.asked = (count, turns, per_iteration)


@when("another task counts the iterations meanwhile")
def take_turns(context):
    count, each, per_iteration = context.asked
    context.taken = []

    async def connection(turns, number):
        for _ in range(each):
            await turns.take()
            context.taken.append(number)

    async def run():
        turns = Turns(per_iteration)
        connections = [
            asyncio.create_task(connection(turns, number)) for number in range(count)
        ]
        context.iterations = 0
        while not all(task.done() for task in connections):
            await asyncio.sleep(0)
            context.iterations += 1

    asyncio.run(run())


@then("it has counted {count:d} at least, and all have had their turns evenly")
def check_turns(context, count):
    connections, turns, _ = context.asked
    assert context.iterations >= count, context.iterations
    assert len(context.taken) == connections * turns
    # Until the first have had all of theirs, each has its turn once in a round.
    first_rounds = context.taken[: connections * (turns - 1)]
    for number in range(connections):
        assert first_rounds.count(number) >= turns - 2, number


@given("a listener whose answers are larger than the buffers on the way")
def make_listener(context):
    context.bodies = []

    async def answer(request):
        context.bodies.append(request.body)
        return Response(200, 16 * MIB * b"x")

    context.server = HttpServer("callers", HttpLimits(), answer)


@when("a client sends a body and does not read the answer")
def send_unread(context):
    async def send():
        address = await context.server.start(Address(LOOPBACK, 0))
        _, writer = await asyncio.open_connection(address.host, address.port, limit=1)
        writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n")
        writer.write(99_999 * b"x")
        async with asyncio.timeout(PATIENCE_S):
            while not context.server.account.held_bytes > MIB:
                await asyncio.sleep(0)
        context.charged_bytes = context.server.account.held_bytes
        # One reference is the list's, one that of the call.
        context.references = sys.getrefcount(context.bodies[0])
        writer.transport.abort()
        await context.server.close()

    asyncio.run(send())


@then("only the answer is charged, and nothing holds the body")
def check_unread(context):
    assert MIB < context.charged_bytes <= 16 * MIB + UNCHARGED_BYTES
    assert context.references == 2, context.references
