"""Steps that test parsers, clocks and allocations on generated, repeatable input."""

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
from hornbeampaddle_wire.http_client import HttpClient
from hornbeampaddle_wire.http_messages import Exchange, Request, Response
from hornbeampaddle_wire.http_server import HttpLimits, HttpServer
from hornbeampaddle_wire.peer_requests import PeerChannel
from hornbeampaddle_wire.peers import PeerSockets

REPEATABLE = settings(
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


@REPEATABLE
@given(st.text() | st.from_regex(r"[a-z!0-9]*![0-9]*!", fullmatch=False))
def check_keys_any_text(text):
    match parse_key(text):
        case Ok(key):
            assert str(key) == text
        case Err(reason):
            assert reason


@REPEATABLE
@given(times, st.floats(0.001, 1e4))
def check_keys_round_trip(now_s, valid_s):
    keeper = Keeper("brno", "e0~1", 100)
    key = keeper.mint(now_s, now_s + valid_s)
    assert parse_key(str(key)) == Ok(key)
    assert keeper.keeps(key)


@REPEATABLE
@given(st.text())
def check_attempt_ids_any_text(text):
    try:
        attempt = AttemptId.parse(text)
    except ValueError:
        return
    assert text.startswith(f"{attempt.task_id}#")


@REPEATABLE
@given(names, st.integers(0, 10**12), st.integers(0, 10**6))
def check_attempt_ids_round_trip(task_id, term, number):
    attempt = AttemptId(task_id, term, number)
    assert AttemptId.parse(str(attempt)) == attempt


@REPEATABLE
@given(st.text())
def check_settings_any_text(text):
    assert isinstance(parse_settings(text), Ok | Err)


@REPEATABLE
@given(json_values)
def check_settings_any_json(value):
    assert isinstance(parse_settings(json.dumps(value)), Err)


@REPEATABLE
@given(st.binary())
def check_records_any_bytes(data):
    for kind in (ConfigRecord, HomeRecord):
        try:
            msgspec.msgpack.decode(data, type=kind)
        except ValueError:
            continue


@REPEATABLE
@given(st.binary(max_size=200))
def check_peer_messages_any_bytes(data):
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


@settings(REPEATABLE, max_examples=60)
@given(
    st.binary(max_size=60), st.sampled_from([b"", b"\r\n\r\n", b" HTTP/1.1\r\n\r\n"])
)
def check_request_heads_any_bytes(data, end):
    answer = asyncio.run(_send(data + end))
    assert answer == b"" or answer.startswith(b"HTTP/1.1 ")


async def _call(data):
    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = HttpClient(Address("127.0.0.1", port), 1)
    outcome = await client.call(Request("GET", "/"), 1.0)
    client.close()
    server.close()
    return outcome


@settings(REPEATABLE, max_examples=100)
@given(
    st.sampled_from(
        [
            b"",
            b"HTTP/1.1 200 OK\r\n",
            b"HTTP/1.1 ",
            b"HTTP/1.1 200 OK\r\ncontent-length: ",
        ]
    ),
    st.binary(max_size=60) | st.integers(0, 6000).map(lambda count: count * b"9"),
    st.sampled_from([b"", b"\r\n\r\n", b"\r\n\r\nbody"]),
)
def check_answer_heads_any_bytes(head, data, end):
    assert isinstance(asyncio.run(_call(head + data + end)), Exchange)


ENVELOPE = [1, "127.0.0.1", 7720, False, b"data"]


def _envelope_with(position, value):
    return [*ENVELOPE[:position], value, *ENVELOPE[position + 1 :]]


ENVELOPES = st.builds(
    _envelope_with,
    st.integers(0, 4),
    st.integers(-(2**63), 2**64 - 1)
    | st.text(max_size=300)
    | st.binary(max_size=300)
    | st.booleans()
    | st.none(),
)


async def _serve_message(data):
    async def echo(request):
        return request

    channel = PeerChannel(Address("127.0.0.1", 7720), echo)
    channel._handle_message(data)
    serving = list(channel._serving)
    await asyncio.gather(*serving)
    channel.close()


@REPEATABLE
@given(st.binary() | ENVELOPES.map(msgspec.msgpack.encode))
def check_peer_requests_any_bytes(data):
    asyncio.run(_serve_message(data))


@REPEATABLE
@given(st.floats(-0.01, 0.01), times, times, st.floats(0, 100), st.floats(0, 100))
def check_clocks_safe(error, offset_s, stamp_at_s, delay_s, ahead_s):
    """A deadline converted to a remote clock passes there no later than locally."""
    rate = 1 + error

    def remote(real_s):
        return real_s * rate + offset_s

    clock = RemoteClock(0.011)
    received_s = stamp_at_s + delay_s
    clock.observe(remote(stamp_at_s), received_s)
    deadline_s = received_s + ahead_s
    remote_deadline_s = clock.remote_deadline_before(deadline_s)
    slack_s = 1e-6 * max(1.0, deadline_s, offset_s)
    assert remote(deadline_s) >= remote_deadline_s - slack_s
    assert (
        remote(clock.local_time_past(remote_deadline_s)) >= remote_deadline_s - slack_s
    )


@REPEATABLE
@given(st.lists(st.tuples(st.booleans(), st.integers(0, 9), st.integers(0, 5000))))
def check_allocations_bounded(steps):
    table = AllocationTable(Resources(10_000, 10_000, 0), Resources(2_000, 0, 0))
    for take, number, size in steps:
        attempt = AttemptId("job/0", 1, number)
        needs = Resources(size, size, 0)
        order = TaskOrder(attempt, "e0~1/0", "team", "kind", needs, 1.0)
        if take:
            table.take(Allocation(order, AllocationState.STARTING, 0.0))
        else:
            table.release(attempt)
        assert not table.is_overcommitted()
    for attempt in list(table.allocations):
        table.release(attempt)
    assert table.room() + table.reserved == table.capacity
    assert NOTHING.fits_in(table.room())


CHECKS = {
    "request keys, any text": check_keys_any_text,
    "request keys, round trip": check_keys_round_trip,
    "attempt ids, any text": check_attempt_ids_any_text,
    "attempt ids, round trip": check_attempt_ids_round_trip,
    "settings, any text": check_settings_any_text,
    "settings, any JSON": check_settings_any_json,
    "records, any bytes": check_records_any_bytes,
    "peer messages, any bytes": check_peer_messages_any_bytes,
    "request heads, any bytes": check_request_heads_any_bytes,
    "answer heads, any bytes": check_answer_heads_any_bytes,
    "peer requests, any bytes": check_peer_requests_any_bytes,
    "clocks keep deadlines safe": check_clocks_safe,
    "books never overdraw": check_allocations_bounded,
}


@when('"{parser}" is tried on generated input')
def try_parser(context, parser):
    context.parser_error = None
    try:
        CHECKS[parser]()
    except Exception as error:
        context.parser_error = error


@then("it accepted or refused every input")
def check_no_exception(context):
    if context.parser_error is not None:
        raise context.parser_error
