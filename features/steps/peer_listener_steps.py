"""Steps that push messages to a listener as peers do."""

import asyncio

import msgspec
import pynng
from behave import given, then, when
from support.watched import LOOPBACK, free_port

from hornbeampaddle.machines import Address
from hornbeampaddle_wire.account import Account, AccountLimits
from hornbeampaddle_wire.peer_listener import PeerListener
from hornbeampaddle_wire.peer_requests import Envelope, PeerChannel

PATIENCE_S = 20.0
ACCOUNT = AccountLimits(8, 16 * 2**20)
RETRY_INTERVAL_S = 0.05


@given("a listener for messages of up to {size:d} bytes")
def start_listener(context, size):
    context.size_max = size


async def _push(context, sizes, again=None):
    """Push messages of these sizes; return those that arrive."""
    address = Address(LOOPBACK, free_port(LOOPBACK))
    listener = PeerListener(Account(ACCOUNT), context.size_max)
    listener.bind(address)
    received = []
    enough = asyncio.Event()

    async def receive():
        while True:
            received.append(await listener.receive())
            if len(received) == len(sizes) or len(received[-1]) == again:
                enough.set()

    receiving = asyncio.create_task(receive())
    with pynng.Push0(dial=f"tcp://{address}", block_on_dial=False) as peer:
        for size in sizes:
            await peer.asend(size * b"x")
        async with asyncio.timeout(PATIENCE_S):
            while not enough.is_set():
                if again is not None:
                    await peer.asend(again * b"x")
                await asyncio.sleep(RETRY_INTERVAL_S)
    receiving.cancel()
    listener.close()
    return received


@when("a peer pushes messages of {first:d}, {second:d} and {third:d} bytes")
def push(context, first, second, third):
    context.sizes = [first, second, third]
    if second <= context.size_max:
        context.received = asyncio.run(_push(context, context.sizes))


@when("the peer pushes messages of {size:d} bytes until one arrives")
def push_again(context, size):
    context.received = asyncio.run(_push(context, context.sizes, again=size))


@then("the messages of {first:d}, {second:d} and {third:d} bytes arrive whole")
def check_received(context, first, second, third):
    assert [len(message) for message in context.received] == [first, second, third]
    assert all(set(message) <= {ord("x")} for message in context.received)


@then("the first message has {first:d} byte, and the last one {last:d}")
def check_ends(context, first, last):
    sizes = [len(message) for message in context.received]
    assert (sizes[0], sizes[-1]) == (first, last), sizes


@given("an instance whose clients may hold {size:d} bytes")
def make_account(context, size):
    context.account = Account(AccountLimits(8, size))


@when(
    "{count:d} requests of {size:d} bytes come from peers, none of which gets an answer"
)
def send_requests(context, count, size):
    context.at_work = []

    async def wait(data):
        context.at_work.append(len(data))
        await asyncio.Event().wait()

    async def send():
        address = Address(LOOPBACK, 1)
        channel = PeerChannel(address, wait, context.account)
        for data in [*(count * [size * b"x"]), 100 * b"x"]:
            message = Envelope(1, LOOPBACK, 1, False, data)
            channel._handle_message(msgspec.msgpack.encode(message))
            await asyncio.sleep(0)
        channel.close()

    asyncio.run(send())


@then("at most {size:d} bytes of them are at work")
def check_at_work(context, size):
    assert sum(context.at_work) - 100 <= size, context.at_work


@then("a request of {size:d} bytes is at work, too")
def check_small(context, size):
    assert context.at_work[-1] == size, context.at_work
