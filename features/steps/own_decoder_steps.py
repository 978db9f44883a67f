"""Steps that hand bytes of other programs to the decoders of the own interface."""

import asyncio
import random

import msgspec
import structlog
from behave import given, then, when
from result import Err

from hornbeampaddle.calls import ClaimWorker
from hornbeampaddle.contracts import NoAnswer
from hornbeampaddle.defaults import Limits, Timing
from hornbeampaddle.machines import Address
from hornbeampaddle.records import ConfigRecord
from hornbeampaddle_entry.adapters import HttpList, HttpLog, HttpWorker
from hornbeampaddle_entry.settings import parse_settings
from hornbeampaddle_entry.streams import StreamLink
from hornbeampaddle_wire.http_messages import Request, Response
from hornbeampaddle_wire.http_server import HttpLimits, HttpServer
from hornbeampaddle_wire.peers import PeerSockets
from hornbeampaddle_wire.platform import (
    AttemptBody,
    NeedsBody,
    OrderBody,
    ReportBody,
)

JSON_NESTING = 5000 * b"[" + 5000 * b"]"
PACKED_NESTING = 5000 * b"\x91" + b"\x90"
KEY = b"the right key"
ORDER = OrderBody("j/0#1.1", "e0~1/0", "team", "kind", NeedsBody(), 1.0)
REPORT = ReportBody("w0", 1, 1.0, (AttemptBody(ORDER, "dancing", 1.0),), {}, 0, 0)
JSON_FORMS = {
    "nested lists": JSON_NESTING,
    "nested lists before the tag": b'{"x":' + JSON_NESTING + b',"type":"Drain"}',
    "a state that nobody knows": msgspec.json.encode(REPORT),
}
PACKED_FORMS = {
    "nested lists": PACKED_NESTING,
    "nested lists before the tag": b"\x82\xa1x" + PACKED_NESTING + b"\xa4type\xa1x",
}
PATHS = {
    "caller's job": "/v1/jobs",
    "caller's keys": "/v1/keys",
}
OPERATORS_PATHS = {
    "operator's plan": "/v1/plans",
    "operator's order": "/v1/confirmations",
}


@given("the decoder of a {body}")
def choose_decoder(context, body):
    context.body = body
    if body in PATHS or body in OPERATORS_PATHS:
        context.execute_steps("given 2 entry instances and 2 workers")


def _refused_by_callers(context, path, data):
    response = context.scene.call("e0", Request("POST", path, {}, data))
    return response.status == 400


def _refused_by_operators(context, path, data):
    template = context.scene.operator_request(path, {})
    request = Request("POST", template.path, template.headers, data)
    api = context.scene.instances["e0"].operator_api
    return context.scene.run(api.handle(request)).status == 400


def _refused_by_peers(data):
    sockets = PeerSockets("brno", "e0~1", KEY, lambda *_: None)
    sockets.take(sockets._mac(data) + data)
    return sockets.traffic.dropped == 1


def _refused_by_stream(data):
    link = StreamLink(
        "config", ConfigRecord, None, None, 1.0, 1.0, 10, random.Random(1)
    )
    return link._decode(0, data) is None


async def _answered(body, data):
    async def answer(request):
        return Response(200, data)

    server = HttpServer("test", HttpLimits(), answer)
    address = await server.start(Address("127.0.0.1", 0))
    try:
        match body:
            case "worker's answer":
                worker = HttpWorker(address, Timing(), Limits())
                outcome = await worker.claim(ClaimWorker("w0"), "e0~1")
                return isinstance(outcome, NoAnswer)
            case "list of workers":
                return isinstance(await HttpList(address, Timing()).workers("b"), Err)
            case "page of a log":
                return isinstance(await HttpLog(address, Timing()).read("c", 0), Err)
    finally:
        await server.close()


@when("it is handed {form}")
def hand_in_form(context, form):
    with structlog.testing.capture_logs():
        match context.body:
            case body if body in PATHS:
                data = JSON_FORMS[form]
                context.refused = _refused_by_callers(context, PATHS[body], data)
            case body if body in OPERATORS_PATHS:
                path = OPERATORS_PATHS[body]
                refused = _refused_by_operators(context, path, JSON_FORMS[form])
                context.refused = refused
            case "peer's message":
                context.refused = _refused_by_peers(PACKED_FORMS[form])
            case "log's record":
                context.refused = _refused_by_stream(PACKED_FORMS[form])
            case "settings file":
                settings = parse_settings(JSON_FORMS[form].decode())
                context.refused = isinstance(settings, Err)
            case body:
                context.refused = asyncio.run(_answered(body, JSON_FORMS[form]))


@then("it refuses them")
def check_refused(context):
    assert context.refused


@when('an operator asks for the events from "{text}" on')
def ask_for_events(context, text):
    template = context.scene.operator_request("/v1/events", {})
    path = f"{template.path}?from={text}"
    request = Request("GET", path, template.headers, b"")
    api = context.scene.instances["e0"].operator_api
    context.status = context.scene.run(api.handle(request)).status


@then("that is refused with status {status:d}")
def check_status(context, status):
    assert context.status == status, context.status
