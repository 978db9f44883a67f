"""Steps that try parsers and small parts on generated input, with a fixed seed."""

import asyncio
import json

import msgspec
from behave import then, when
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from result import Err, Ok

from hornbeampaddle.allocation_table import Allocation, AllocationState, AllocationTable
from hornbeampaddle.clocks import RemoteClock
from hornbeampaddle.contracts import TaskOrder
from hornbeampaddle.identity import AttemptId
from hornbeampaddle.keys import Keeper, parse_key
from hornbeampaddle.machines import Address
from hornbeampaddle.records import ConfigRecord, HomeRecord
from hornbeampaddle.resources import NOTHING, Resources
from hornbeampaddle_entry.settings import parse_settings
from hornbeampaddle_wire.http_messages import Response
from hornbeampaddle_wire.http_server import HttpLimits, HttpServer
from hornbeampaddle_wire.peers import PeerSockets

FIXED = settings(
    derandomize=True,
    max_examples=200,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
times = st.floats(0, 1e6)
HEAD_ENDS = [b"", b"\r\n\r\n", b" HTTP/1.1\r\n\r\n"]
names = st.text("abcdefgh-/0123456789#.!", min_size=1, max_size=20)
json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


@FIXED
@given(st.text() | st.from_regex(r"[a-z!0-9]*![0-9]*!", fullmatch=False))
def keys_any(text):
    match parse_key(text):
        case Ok(key):
            assert str(key) == text
        case Err(reason):
            assert reason


@FIXED
@given(times, st.floats(0.001, 1e4))
def keys_round_trip(now_s, valid_s):
    keeper = Keeper("brno", "e0~1", 100)
    key = keeper.mint(now_s, now_s + valid_s)
    assert parse_key(str(key)) == Ok(key)
    assert keeper.keeps(key)


@FIXED
@given(st.text())
def attempts_any(text):
    try:
        attempt = AttemptId.parse(text)
    except ValueError:
        return
    assert text.startswith(f"{attempt.task_id}#")


@FIXED
@given(names, st.integers(0, 10**12), st.integers(0, 10**6))
def attempts_round_trip(task_id, term, number):
    attempt = AttemptId(task_id, term, number)
    assert AttemptId.parse(str(attempt)) == attempt


@FIXED
@given(st.text())
def settings_text(text):
    assert isinstance(parse_settings(text), Ok | Err)


@FIXED
@given(json_values)
def settings_json(value):
    assert isinstance(parse_settings(json.dumps(value)), Err)


@FIXED
@given(st.binary())
def records_any(data):
    for kind in (ConfigRecord, HomeRecord):
        try:
            msgspec.msgpack.decode(data, type=kind)
        except ValueError:
            continue


@FIXED
@given(st.binary(max_size=200))
def peers_any(data):
    delivered = []
    sockets = PeerSockets("brno", "e0~1", b"key", lambda *m: delivered.append(m))
    sockets.take(data)
    sockets.take(sockets._mac(data) + data)
    assert not delivered


async def _echo(request):
    return Response(200, request.body)


async def _send(data):
    server = HttpServer("test", HttpLimits(head_timeout_s=1.0), _echo)
    address = await server.start(Address("127.0.0.1", 0))
    reader, writer = await asyncio.open_connection("127.0.0.1", address.port)
    writer.write(data)
    writer.write_eof()
    answer = await reader.read()
    writer.close()
    await server.close()
    return answer


@settings(FIXED, max_examples=60)
@given(
    st.binary(max_size=60), st.sampled_from([b"", b"\r\n\r\n", b" HTTP/1.1\r\n\r\n"])
)
def heads_any(data, end):
    answer = asyncio.run(_send(data + end))
    assert answer == b"" or answer.startswith(b"HTTP/1.1 ")


@FIXED
@given(st.floats(-0.01, 0.01), times, times, st.floats(0, 100), st.floats(0, 100))
def clocks_safe(error, offset_s, stamp_at_s, delay_s, ahead_s):
    """A deadline named on a remote clock passes there before it does here."""
    rate = 1 + error

    def remote(real_s):
        return real_s * rate + offset_s

    clock = RemoteClock(0.011)
    received_s = stamp_at_s + delay_s
    clock.observe(remote(stamp_at_s), received_s)
    deadline_s = received_s + ahead_s
    there_s = clock.remote_deadline_before(deadline_s)
    slack_s = 1e-6 * max(1.0, deadline_s, offset_s)
    assert remote(deadline_s) >= there_s - slack_s
    assert remote(clock.local_time_past(there_s)) >= there_s - slack_s


@FIXED
@given(st.lists(st.tuples(st.booleans(), st.integers(0, 9), st.integers(0, 5000))))
def books_hold(steps):
    book = AllocationTable(Resources(10_000, 10_000, 0), Resources(2_000, 0, 0))
    for take, number, size in steps:
        attempt = AttemptId("job/0", 1, number)
        needs = Resources(size, size, 0)
        order = TaskOrder(attempt, "e0~1/0", "team", "kind", needs, 1.0)
        if take:
            book.take(Allocation(order, AllocationState.STARTING, 0.0))
        else:
            book.release(attempt)
        assert not book.is_overcommitted()
    for attempt in list(book.allocations):
        book.release(attempt)
    assert book.room() + book.reserved == book.capacity
    assert NOTHING.fits_in(book.room())


TRIED = {
    "request keys, any text": keys_any,
    "request keys, round trip": keys_round_trip,
    "attempt ids, any text": attempts_any,
    "attempt ids, round trip": attempts_round_trip,
    "settings, any text": settings_text,
    "settings, any JSON": settings_json,
    "records, any bytes": records_any,
    "peer messages, any bytes": peers_any,
    "request heads, any bytes": heads_any,
    "clocks keep deadlines safe": clocks_safe,
    "books never overdraw": books_hold,
}


@when('"{parser}" is tried on generated input')
def try_parser(context, parser):
    context.problem = None
    try:
        TRIED[parser]()
    except Exception as error:
        context.problem = error


@then("it took or refused everything")
def took_all(context):
    if context.problem is not None:
        raise context.problem
