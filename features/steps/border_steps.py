"""Steps that send requests, settings and records to the platform's adapters."""

import asyncio
import json
import math
import os
import socket
import sys
import tempfile
from pathlib import Path
from unittest.mock import patch

import structlog
from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import settings
from hypothesis import strategies as st

sys.path.insert(0, str(Path(__file__).parent.parent.parent / "platform"))

from hornbeampaddle.machines import Address  # noqa: E402
from hornbeampaddle_cell.ports import Keyed, UnreadableConfiguration  # noqa: E402
from hornbeampaddle_platform.boot import (  # noqa: E402
    PATH_VARIABLE,
    BootError,
    instance_settings,
    read_boot,
)
from hornbeampaddle_platform.ingress import Ingress  # noqa: E402
from hornbeampaddle_platform.records import Records  # noqa: E402
from hornbeampaddle_platform.store import decode_records, encode_record  # noqa: E402
from hornbeampaddle_wire.http_messages import Request, Response  # noqa: E402
from hornbeampaddle_wire.http_server import HttpLimits, HttpServer  # noqa: E402

PHASE = {"count": 2, "cpu": 500, "memMb": 64, "unknown": [1, {"a": None}]}
BODIES = {
    "a job": {"spec": "work", "phases": [PHASE, {**PHASE, "dependsOn": [0]}]},
    "a wrong type": {"spec": 7, "phases": [PHASE]},
    "no steps": {"spec": "work", "phases": []},
    "an empty step": {"spec": "work", "phases": [{**PHASE, "count": 0}]},
    "a huge amount": {"spec": "work", "phases": [{**PHASE, "cpu": 2**70}]},
    "a negative amount": {"spec": "work", "phases": [{**PHASE, "memMb": -1}]},
    "a circle": {"spec": "work", "phases": [{**PHASE, "dependsOn": [0]}]},
    "a later step": {"spec": "work", "phases": [{**PHASE, "dependsOn": [1]}, PHASE]},
}
RAW_BODIES = {"garbage": b"\x00{not json", "nothing": b""}


@when('the ingress gets {method} "{path}" for host "{host}" with {body}')
def send(context, method, path, host, body):
    instance = context.world.instances["i0"]
    data = RAW_BODIES[body] if body in RAW_BODIES else json.dumps(BODIES[body]).encode()
    request = Request(method, path, {"host": host}, data)
    handle = Ingress(instance).handle(request)
    context.response = context.loop.run_until_complete(handle)


@then("it answers {status:d}")
def answers(context, status):
    assert context.response.status == status, context.response


@then("nothing but a valid job was stored")
def stored(context):
    accepted = context.response.status == 200 and context.response.body == b"{}"
    topics = context.world.store.logs.values()
    jobs = [key for log in topics for key in log.newest if key.startswith("0000")]
    assert len(set(jobs)) == (1 if accepted else 0), jobs


@then("any keyed records are the same after encoding and decoding")
def round_trip(context):
    record = st.builds(
        Keyed, st.text(max_size=60), st.one_of(st.none(), st.binary(min_size=1))
    )

    @settings(max_examples=200, derandomize=True, database=None, deadline=None)
    @hypothesis_given(st.lists(record, max_size=20))
    def check(records):
        data = b"".join(map(encode_record, records))
        assert decode_records(data) == records

    check()


SETTINGS_TEXT = """nodeName = "entry-1"
zone = "dc-1"
ip = "127.0.0.1"
internalPorts = [7720, 7735]
[listenAddrs]
frontend = "127.0.0.1:8161"
readiness = "127.0.0.1:8167"
[platform]
address = "127.0.0.1:8169"
"""
SETTINGS_FILES = {
    "everything": SETTINGS_TEXT,
    "no ports between processes": SETTINGS_TEXT.replace(
        "internalPorts = [7720, 7735]\n", ""
    ),
    "fields that nobody knows": SETTINGS_TEXT + "\n[unknown]\nfield = [1, 'a']\n",
    "no address of the store": SETTINGS_TEXT.replace(
        'address = "127.0.0.1:8169"\n', ""
    ),
    "no settings at all": "",
}


@given("a settings file with {what}")
def settings_file(context, what):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = Path(folder.name, "settings.toml")
    path.write_text(SETTINGS_FILES[what])
    context.path = str(path)


@given("a settings file whose bound {name} is {bound_ms:d} ms")
def settings_file_with_bound(context, name, bound_ms):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = Path(folder.name, "settings.toml")
    path.write_text(f"{SETTINGS_TEXT}\n[bounds]\n{name} = {bound_ms}\n")
    context.path = str(path)


@then("the cell's threshold {name} is {seconds_s:g} s")
def threshold(context, name, seconds_s):
    assert math.isclose(getattr(read(context).cell, name), seconds_s)


def read(context):
    with patch.dict(os.environ, {PATH_VARIABLE: context.path}):
        return instance_settings(read_boot())


@then("it is read, and peers are listened to")
def with_peers(context):
    assert read(context).peer_address == Address("127.0.0.1", 7720)


@then("it is read, and peers are not used")
def without_peers(context):
    assert read(context).peer_address is None


@then("it is refused with its path")
def refused(context):
    try:
        read(context)
    except BootError as error:
        assert context.path in str(error), error
    else:
        raise AssertionError("the settings were accepted")


RECORDS = {
    "bytes that are no JSON": b"{routes",
    "no bytes of a text": b'{"version": "\xff"}',
    "an address of no port": b'{"service": "s", "address": "nowhere", "version": "v"}',
    "JSON of a wrong form": b'{"version": "seven"}',
}


@given("a record of {what} from the operator and from a worker")
def bad_record(context, what):
    context.value = RECORDS[what]


@then("both are rejected and logged")
def check_rejected_and_logged(context):
    with structlog.testing.capture_logs() as lines:
        decoded = Records().configuration(Keyed("config", context.value))
        assert isinstance(decoded, UnreadableConfiguration)
        assert Records().worker(Keyed("i-1", context.value)) is None
    assert [line["log_level"] for line in lines] == ["error", "error"], lines


REQUEST_BYTES = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok"
TIMEOUT_S = 5.0


async def _echo_body(request):
    return Response(200, request.body)


def _connect(port):
    caller = socket.create_connection(("127.0.0.1", port), TIMEOUT_S)
    caller.setblocking(False)
    return caller


async def _read(caller, until):
    """Read until the given bytes or the end of the connection; return all that came."""
    loop = asyncio.get_running_loop()
    data = b""
    async with asyncio.timeout(TIMEOUT_S):
        while until not in data:
            part = await loop.sock_recv(caller, 65536)
            if not part:
                break
            data += part
    return data


@given("a listener with an open connection")
def open_listener(context):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    context.server = HttpServer("test", HttpLimits(), _echo_body)

    async def begin():
        address = await context.server.start(Address("127.0.0.1", 0))
        context.port = address.port
        context.caller = _connect(address.port)
        context.add_cleanup(context.caller.close)
        context.caller.send(REQUEST_BYTES)
        assert (await _read(context.caller, b"ok")).startswith(b"HTTP/1.1 200")

    context.runner.run(begin())


@when("{what} has arrived and the listener drains at once")
def drain(context, what):
    async def send_and_drain():
        caller, rest = context.caller, b""
        if what == "a request on a new connection":
            caller = _connect(context.port)
            context.add_cleanup(caller.close)
        half = (
            len(REQUEST_BYTES) - 1
            if what == "the first half of a request"
            else len(REQUEST_BYTES)
        )
        # On loopback the bytes are in the listener's socket buffer when send returns.
        caller.send(REQUEST_BYTES[:half])
        rest = REQUEST_BYTES[half:]
        draining = asyncio.create_task(context.server.drain(TIMEOUT_S))
        if rest:
            await asyncio.get_running_loop().sock_sendall(caller, rest)
        try:
            context.answer = await _read(caller, b"\r\n\r\nok")
        except ConnectionError as error:
            context.answer = repr(error).encode()
        await draining

    context.runner.run(send_and_drain())


@then("the caller gets a complete answer that closes the connection")
def check_complete_answer(context):
    answer = context.answer
    assert answer.startswith(b"HTTP/1.1 200"), answer
    assert b"connection: close" in answer.lower(), answer
    assert answer.endswith(b"\r\n\r\nok"), answer
