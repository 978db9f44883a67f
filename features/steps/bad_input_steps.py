"""Steps that give bad input to listeners, interfaces, peer sockets and settings."""

import asyncio
import json
import re

import msgspec
from behave import given, then, when
from result import Err, Ok

from hornbeampaddle.machines import Address
from hornbeampaddle.messages import (
    PROTOCOL_VERSION,
    AskInventory,
    Envelope,
    envelope_encoder,
)
from hornbeampaddle_entry.settings import parse_settings
from hornbeampaddle_wire.http_messages import Request, Response
from hornbeampaddle_wire.http_server import HttpLimits, HttpServer
from hornbeampaddle_wire.peers import PeerSockets

LIMITS = HttpLimits(
    header_bytes=2000, body_bytes=1000, head_timeout_s=0.2, body_timeout_s=0.2
)
LOOPBACK = Address("127.0.0.1", 0)
REQUEST_HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\n"
VALID_REQUEST = REQUEST_HEAD + b"Content-Length: 2\r\n\r\nok"
CHUNKED = REQUEST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
REQUESTS = {
    "good": VALID_REQUEST,
    "two at once": VALID_REQUEST + VALID_REQUEST,
    "chunked": CHUNKED + b"2\r\nok\r\n0\r\n\r\n",
    "garbage": b"\x16\x03\x01 not http\r\n\r\n",
    "a bare line feed": b"POST /x HTTP/1.1\nHost: a\r\nContent-Length: 0\r\n\r\n",
    "a folded header": REQUEST_HEAD + b"A: b\r\n c\r\nContent-Length: 0\r\n\r\n",
    "both framings": REQUEST_HEAD
    + b"Content-Length: 2\r\n"
    + CHUNKED[len(REQUEST_HEAD) :]
    + b"0\r\n",
    "two lengths": REQUEST_HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nok",
    "a negative length": REQUEST_HEAD + b"Content-Length: -2\r\n\r\n",
    "an odd chunk size": CHUNKED + b"0x2\r\nok\r\n0\r\n\r\n",
    "an unknown transfer encoding": REQUEST_HEAD + b"Transfer-Encoding: gzip\r\n\r\n",
    "a null byte in a header": REQUEST_HEAD + b"A: b\x00c\r\nContent-Length: 0\r\n\r\n",
    "a head that never ends": REQUEST_HEAD + b"A: b\r\n" * 1000,
    "a large header": REQUEST_HEAD + b"A: " + b"b" * 3000 + b"\r\n\r\n",
    "a large length": REQUEST_HEAD + b"Content-Length: 5000\r\n\r\n",
    "endless chunks": CHUNKED + (b"ff\r\n" + b"x" * 255 + b"\r\n") * 9,
    "half a head": REQUEST_HEAD,
    "half a body": REQUEST_HEAD + b"Content-Length: 9\r\n\r\nok",
}


async def _echo_body(request):
    return Response(200, request.body)


async def _answer_to(port, data):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    if data.startswith(VALID_REQUEST) or data == REQUESTS["chunked"]:
        writer.write_eof()
    answer = await reader.read()
    writer.close()
    return answer


async def _exchange(data):
    """Send bytes and then a valid request to a new listener; return both answers."""
    server = HttpServer("test", LIMITS, _echo_body)
    address = await server.start(LOOPBACK)
    try:
        bad = await _answer_to(address.port, data)
        good = await _answer_to(address.port, VALID_REQUEST)
        return bad, good
    finally:
        await server.close()


def _statuses(answer):
    return [int(status) for status in re.findall(rb"HTTP/1.1 (\d+)", answer)]


@given("a listener")
def listener(context):
    context.limits = LIMITS


@when("a peer sends {name}")
def send_bytes(context, name):
    context.name = name
    context.answer, context.next_answer = asyncio.run(_exchange(REQUESTS[name]))


@then("it is answered with status {status:d} and the listener goes on serving")
def answered(context, status):
    statuses = _statuses(context.answer)
    if status == 0:
        assert statuses == [], context.answer
    else:
        assert statuses[0] == status, context.answer
    if context.name == "two at once":
        assert statuses == [200, 200], context.answer
    assert _statuses(context.next_answer) == [200], context.next_answer
    assert context.next_answer.endswith(b"ok")


@when('a caller posts {body} to "{path}"')
def post(context, body, path):
    if body == "negative":
        spec = {
            "job_id": "j",
            "team": "t",
            "kind": "k",
            "tasks": 1,
            "run_s": 1.0,
            "needs": {"cpu_millis": -5},
        }
        body = json.dumps(spec)
    request = Request("POST", path, {}, body.encode())
    context.response = context.scene.call("e0", request)


@when('a caller sends a request with a timeout of "{text}"')
def request_with_timeout(context, text):
    request = context.scene.request("checks", timeout_s=text)
    context.response = context.scene.call("e0", request)


@then('the call is refused with status {status:d}, saying "{word}"')
def call_refused(context, status, word):
    assert context.response.status == status, context.response
    assert word in context.response.body.decode(), context.response.body
    good = context.scene.call("e0", context.scene.request("checks"))
    assert good.headers["request-outcome"] == "done"
    assert sum(context.scene.ledger.requests_begun.values()) == 1


@given("the peer sockets of an instance")
def peer_sockets(context):
    context.delivered = []

    def receive(sender, message):
        context.delivered.append(message)

    context.sockets = PeerSockets("brno", "e0~1", b"the right key", receive)


def _signed(key, version=PROTOCOL_VERSION, data_centre="brno", number=1):
    message = AskInventory("call")
    envelope = Envelope(version, data_centre, "e1~1", number, message)
    body = envelope_encoder.encode(envelope)
    sender = PeerSockets(data_centre, "e1~1", key, lambda *_: None)
    return sender._mac(body) + body


@when("a message with {what} arrives")
def bad_message(context, what):
    key = b"the right key"
    signer = PeerSockets("brno", "e1~1", key, lambda *_: None)
    unreadable = msgspec.msgpack.encode({"not": "an envelope"})
    data = {
        "a wrong key": _signed(b"another key"),
        "an unknown version": _signed(key, version=99),
        "another data centre": _signed(key, data_centre="olomouc"),
        "no readable body": signer._mac(unreadable) + unreadable,
        "no bytes": b"",
    }[what]
    context.sockets.take(data)
    context.after_bad = len(context.delivered)
    context.sockets.take(_signed(key))


@then("nothing is delivered, one message was dropped, and the next good one arrives")
def dropped(context):
    assert context.after_bad == 0
    assert context.sockets.traffic.dropped == 1
    assert len(context.delivered) == 1


def _settings():
    listen = {"host": "127.0.0.1", "port": 0}
    return {
        "instance_id": "e0",
        "data_centre": "brno",
        "listen": {"callers": listen, "operators": listen, "peers": listen},
        "platform": {"log": listen, "instances": dict(listen)},
        "peer_key": "sixteen characters",
        "operator_token": "sixteen characters",
    }


@when("settings with {what} are checked")
def check_settings(context, what):
    raw = _settings()
    match what:
        case "an unknown key":
            raw["listen"]["spare"] = 1
        case "a host name":
            raw["platform"]["log"] = {"host": "log.example", "port": 1}
        case "three faults":
            raw["instance_id"] = "no spaces"
            raw["listen"]["callers"] = {"host": "127.0.0.1", "port": 70_000}
            raw["peer_key"] = "short"
        case "a short lease":
            raw["timing"] = {"lease_s": 3.0}
        case "itself as a peer":
            raw["peers"] = [{"instance_id": "e0", "host": "127.0.0.1", "port": 1}]
    context.checked = parse_settings(json.dumps(raw))


@then("the errors name exactly {places}")
def errors_name(context, places):
    match context.checked:
        case Ok(_):
            assert places == "nothing"
        case Err(errors):
            named = sorted(error.partition(":")[0] for error in errors)
            assert named == sorted(places.split()), errors
