"""Steps on records that are wrong in one field."""

import asyncio
import sys
import tracemalloc
import zlib
from pathlib import Path

import msgspec
import structlog
from behave import given, then, when
from support.cell_scene import new_loop, play
from support.cell_walk import build
from support.mutations import NESTED, json_bytes, mutated, packed_bytes

sys.path.insert(0, str(Path(__file__).parent.parent.parent / "platform"))

from hornbeampaddle.cell.incarnations import WorkerId  # noqa: E402
from hornbeampaddle.cell.jobs import Step, StepKey, TaskKey  # noqa: E402
from hornbeampaddle.cell.progress import Run  # noqa: E402
from hornbeampaddle.cell.reports import Done, NoAnswer, Refused, Report  # noqa: E402
from hornbeampaddle.cell.workers import WorkerListing  # noqa: E402
from hornbeampaddle.machines import Address  # noqa: E402
from hornbeampaddle.resources import NOTHING  # noqa: E402
from hornbeampaddle_cell.appender import Appender  # noqa: E402
from hornbeampaddle_cell.peers import PeerDirectory, peer_record  # noqa: E402
from hornbeampaddle_cell.ports import (  # noqa: E402
    Configuration,
    Expired,
    Keyed,
    Producer,
    Span,
    Topic,
    Unavailable,
)
from hornbeampaddle_cell.relay import Relay  # noqa: E402
from hornbeampaddle_cell.relay_messages import (  # noqa: E402
    AppendAsk,
    NewestAsk,
    PutAnswer,
    PutAsk,
    ReadAsk,
    SlowNotice,
    decode_outcome,
    encode_ask,
    encode_outcome,
)
from hornbeampaddle_cell.settings import InstanceSettings  # noqa: E402
from hornbeampaddle_platform.advice import Advice  # noqa: E402
from hornbeampaddle_platform.ingress import (  # noqa: E402
    DEADLINE_HEADER,
    Ingress,
)
from hornbeampaddle_platform.records import Records  # noqa: E402
from hornbeampaddle_platform.store import Store  # noqa: E402
from hornbeampaddle_platform.workers import Worker  # noqa: E402
from hornbeampaddle_standins.cell.world import ROUTE_HOST, World  # noqa: E402
from hornbeampaddle_wire.http_messages import Request, Response  # noqa: E402
from hornbeampaddle_wire.http_server import HttpLimits, HttpServer  # noqa: E402

LIMITS = HttpLimits(connections=20, body_bytes=65_536)
WORKER_ID = WorkerId("i-1", 5)
JOB_ID = "00000000000000aa"
RUN = Run(TaskKey(JOB_ID, 0, 0, 0), 1, WORKER_ID, Step(1, NOTHING), NOTHING)
VALID = {
    "a worker's entry": {
        "service": "compute",
        "address": "10.0.0.9:8080",
        "zone": "dc-1",
        "state": "ready",
        "capacity": {"cpu": 16_000, "memMb": 32_768, "gpu": 1},
        "labels": ["a", "r1-3"],
        "born": 5,
    },
    "a configuration": {
        "version": 3,
        "routes": [
            {
                "name": "r",
                "host": "h",
                "pathPrefix": "/p/",
                "service": "compute",
                "targetLatencyMs": 100,
                "priority": 1,
                "maxAttempts": 3,
                "stretchFactor": 2.0,
                "advice": {"decisionMs": 3, "perWorkerMs": 1},
            }
        ],
        "services": [{"name": "compute"}],
        "limits": {"maxBodyBytes": 100, "idleTimeoutMs": 10},
    },
    "a worker's report": {
        "clockMs": 1,
        "born": 5,
        "running": [[f"{JOB_ID}.0.0.0", 1, "", 41, 3]],
        "endedRuns": [[1, f"{JOB_ID}.0.0.1", 1, "done", ""]],
    },
    "a worker's answer": {"clockMs": 1, "reason": "fence"},
    "a caller's body": {
        "spec": "work",
        "phases": [
            {
                "count": 1,
                "cpu": 500,
                "memMb": 64,
                "gpu": 0,
                "estimateMs": 900,
                "affinity": "r1-3",
                "requirements": "a",
                "antiAffinity": 1,
                "targetMs": 5,
                "fillCount": 1,
                "maxUnavailable": 1,
                "longRunning": False,
            },
            {"count": 1, "cpu": 500, "memMb": 64, "dependsOn": [0]},
        ],
        "repeatCount": 1,
        "startAtMs": 5,
        "intervalMs": 7,
    },
    "an answer on advice": {"allowed": [["i-1", "ticket"]], "validityMs": 3000},
}


ASKS = (
    ReadAsk("jobs", 0, 0.0, 1000, knows_views=True),
    NewestAsk("operator", 0, knows_views=True),
    AppendAsk("peers", [("k", b"v")], ("p", 1, 0), None),
    PutAsk("jobs", [("k", b"v")], 0.1),
    SlowNotice(),
)


class _Clock:
    def now_s(self):
        return 1.0

    def wall_s(self):
        return 1.0


class _Border:
    """The adapters, and a server that answers them with the record to decode."""

    def __init__(self):
        self.response = Response(500, b"")
        self.server = HttpServer("border", LIMITS, self._answer)

    async def _answer(self, request):
        return self.response

    async def start(self):
        address = self.address = await self.server.start(Address("127.0.0.1", 0))
        listing = WorkerListing(WORKER_ID, "compute", address, "dc-1", NOTHING)
        self.worker = Worker(listing, 1, _Clock())
        self.advice = Advice(address)

    async def decode(self, what, data):
        """Return whether the record was used."""
        self.response = Response(200, data)
        match what:
            case "a worker's entry":
                return Records().worker(Keyed("i-1", data)) is not None
            case "a configuration":
                decoded = Records().configuration(Keyed("config", data))
                return isinstance(decoded, Configuration)
            case "a worker's report":
                return isinstance(await self.worker.report(0, None, 0.0), Report)
            case "a worker's answer":
                done = await self.worker.stop(RUN)
                self.response = Response(409, data)
                refused = await self.worker.start(RUN, "", 1.0)
                return isinstance(done, Done) and isinstance(refused, Refused)
            case "an answer on advice":
                step = StepKey(JOB_ID, 0, 0)
                return await self.advice.ask(step, [WORKER_ID]) is not None


@given("the wrong forms of {what}")
def wrong_forms(context, what):
    context.what = what
    context.forms = [json_bytes(record) for _, record in mutated(VALID[what])]


@when("each of them is handed in")
def hand_in_each(context):
    world = context.world
    instance = world.instances[world.holder()]
    context.epoch = instance.holder.epoch
    ingress = Ingress(instance)
    context.statuses = [
        play(context, ingress.handle(_request(number, data))).status
        for number, data in enumerate(context.forms)
    ]


def _request(number, data, **headers):
    headers = {"host": ROUTE_HOST, **headers}
    return Request("POST", f"/urgent/{number:016x}", headers, data)


@when('a job is handed in with a deadline of "{text}"')
def hand_in_with_deadline(context, text):
    world = context.world
    headers = {DEADLINE_HEADER: text}
    body = json_bytes(VALID["a caller's body"])
    ingress = Ingress(world.instances[world.holder()])
    context.began_s = context.loop.time()
    context.response = play(context, ingress.handle(_request(1, body, **headers)))


@when("a job is handed in with a deadline of {count:d} digits")
def hand_in_with_digits(context, count):
    hand_in_with_deadline(context, count * "9")


@then("it is answered {status:d} within {within_s:g} s")
def answered_within(context, status, within_s):
    assert context.response.status == status, context.response
    assert context.loop.time() - context.began_s <= within_s


@then("each was answered 200 or 400, and at least {count:d} with 400")
def answered(context, count):
    assert set(context.statuses) <= {200, 400}, set(context.statuses)
    assert context.statuses.count(400) >= count, context.statuses.count(400)


@given("a cell of {instances:d} instances that relay")
def start_relaying(context, instances):
    new_loop(context)

    async def begin():
        context.world = World(7, relays=True)
        await build(context.world, instances, 1)

    play(context, begin())


@given("requests of a peer in all wrong forms")
def wrong_requests(context):
    requests = [msgspec.msgpack.decode(encode_ask(ask)) for ask in ASKS]
    context.forms = list(filter(None, map(packed_bytes, _wrong_forms(requests))))
    assert len(context.forms) > 200, len(context.forms)


def _wrong_forms(valid_records):
    return (record for valid in valid_records for _, record in mutated(valid))


@when("each of them is served")
def serve_each(context):
    relay = context.world.instances["i0"].relay
    context.answers = [play(context, relay.serve(data)) for data in context.forms]


@then("each has an answer")
def each_answered(context):
    for answer in context.answers:
        decode_outcome(answer)


# A machine has 200 MB in all.
ANSWER_PEAK_MAX_BYTES = 48 * 2**20
NO_ANSWERS = (
    b"",
    b"\xff\x00\xc1{",
    b"[]",
    b"7",
    b'{"endOffset": "x"}',
    b'{"endOffset": 1.5, "seqNum": null}',
    b'{"seqNum": [], "items": 7}',
    b'{"items": [{"key": 5}]}',
    b'{"a":' + 5000 * b"[",
    5000 * b"[",
    b"short",
)


@given("the store answers {what} with bytes of all kinds")
def answer_with_bytes(context, what):
    statuses = {"a refused append": 409}

    async def ask_all():
        border = _Border()
        await border.start()
        store = Store(border.address)
        outcomes = []
        for body in NO_ANSWERS:
            border.response = Response(statuses.get(what, 200), body)
            match what:
                case "an append" | "a refused append":
                    outcome = await store.append(Topic.JOBS, [], None, None)
                case "a read":
                    outcome = await store.read(Topic.JOBS, Span(0, 0.0, 1024))
                case "a page of newest":
                    outcome = await store.newest(Topic.JOBS)
            outcomes.append(outcome)
        await border.server.close()
        return outcomes

    context.outcomes = asyncio.run(ask_all())


@then("each is a failed call, and none raises an error")
def check_failed_calls(context):
    for outcome in context.outcomes:
        assert isinstance(outcome, NoAnswer | Unavailable), outcome


ANSWERS = {
    "an answer to another request": encode_outcome(PutAnswer(["yes"], 0.1)),
    "a cut off compressed answer": zlib.compress(200 * encode_outcome(Expired()))[:-9],
    "an answer of 64 MB in 64 KB": zlib.compress(64 * 2**20 * b"\x90"),
    "an answer of an unknown kind": msgspec.msgpack.encode(("Other", {})),
    "an answer that is nested": packed_bytes(["Expired", {"a": NESTED}]),
}


class _RefusingStore:
    async def append(self, topic, records, producer, at_offset):
        return Unavailable("refused")

    async def read(self, topic, span):
        return Unavailable("refused")

    async def newest(self, topic):
        return Unavailable("refused")


class _OnePeer:
    def __init__(self, answer):
        self.answer = answer

    async def call(self, address, data, timeout_s):
        return self.answer


@given("the store refuses an instance, and its peer gives {answer}")
def refuse_and_answer(context, answer):
    directory = PeerDirectory("me")
    directory.apply(peer_record("other", Address("10.0.0.2", 7720), 1.0))
    peers = _OnePeer(ANSWERS[answer])
    context.relay = Relay(_RefusingStore(), directory, peers, _Clock())


@then("an append, a read and a page of newest records have no answer")
def check_no_answers(context):
    relay, producer = context.relay, Producer("me", 1, 0)
    calls = (
        relay.append(Topic.JOBS, [], producer, None),
        relay.read(Topic.JOBS, Span(0, 0.0, 1024)),
        relay.newest(Topic.JOBS),
    )
    tracemalloc.start()
    with structlog.testing.capture_logs():
        outcomes = [asyncio.run(call) for call in calls]
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak_bytes < ANSWER_PEAK_MAX_BYTES, peak_bytes
    assert all(isinstance(outcome, NoAnswer) for outcome in outcomes), outcomes


@given("an instance that appends for its peers, and a store on the platform")
def start_appending(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    store = Store(Address("127.0.0.1", 9))
    settings = InstanceSettings("me-1", "me", "dc-1", 1.0)
    context.relay = Relay(store, PeerDirectory("me"), _OnePeer(b""), _Clock())
    context.relay.appender = Appender(store, Topic.JOBS, _Clock(), settings)


@when("a peer asks it to {what} under a key of {count:d} letters")
def ask_with_long_key(context, what, count):
    letter = "\u00e9" if what == "put in two bytes" else "k"
    records = [(count * letter, b"v")]
    ask = PutAsk("jobs", records, 0.1)
    if what == "append":
        ask = AppendAsk("jobs", records, ("p", 1, 0), None)

    async def serve():
        appending = asyncio.create_task(context.relay.appender.run())
        with structlog.testing.capture_logs():
            answer = await context.relay.serve(encode_ask(ask))
        context.appending = not appending.done()
        appending.cancel()
        return answer

    context.answer = context.loop.run_until_complete(serve())


@then("the peer is told that this was not understood")
def check_not_understood(context):
    assert decode_outcome(context.answer) == Unavailable("request not understood")


@then("the queue of appends goes on")
def check_appending(context):
    assert context.appending


@when("each of them is handed to its decoder")
def decode_each(context):
    async def decode_all():
        border = _Border()
        await border.start()
        valid = await border.decode(context.what, json_bytes(VALID[context.what]))
        assert valid, "the valid record is not used"
        used = [await border.decode(context.what, data) for data in context.forms]
        await border.server.close()
        return used

    with structlog.testing.capture_logs():
        context.used = asyncio.run(decode_all())


@then("no error is raised, and at least {count:d} of them are refused")
def refused(context, count):
    assert context.used.count(False) >= count, context.used.count(False)
