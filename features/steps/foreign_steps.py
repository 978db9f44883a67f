"""Steps on malformed records that other writers have put into the logs."""

import asyncio
import json
import sys
from dataclasses import replace
from pathlib import Path
from random import Random
from types import SimpleNamespace

import msgspec
import structlog
from behave import given, then, when
from freshness_steps import count_answer
from hypothesis import given as hypothesis_given
from hypothesis import settings
from hypothesis import strategies as st
from support.cell_scene import act, job_id, play
from support.cell_walk import plain

sys.path.insert(0, str(Path(__file__).parent.parent.parent / "platform"))

from hornbeampaddle.cell.incarnations import WorkerId
from hornbeampaddle.cell.jobs import Job, Queue  # noqa: E402
from hornbeampaddle.cell.progress import (  # noqa: E402
    JobState,
    JobStatus,
    encode,
)
from hornbeampaddle_cell.leadership import HOLDER_KEY, Leadership  # noqa: E402
from hornbeampaddle_cell.ledger import Ledger, birth_record  # noqa: E402
from hornbeampaddle_cell.peers import PeerDirectory  # noqa: E402
from hornbeampaddle_cell.ports import Evacuation, Keyed, Topic  # noqa: E402
from hornbeampaddle_cell.settings import InstanceSettings  # noqa: E402
from hornbeampaddle_platform.records import Records  # noqa: E402
from hornbeampaddle_platform.store import (  # noqa: E402
    decode_page,
    decode_records,
    encode_record,
)
from hornbeampaddle_standins.cell.world import BATCH, URGENT, WorldCodec  # noqa: E402

UNREADABLE = b"\xff\x00\xc1{"
# Values that a decoder of either format cannot nest so deeply.
NESTED = {
    "lists nested and cut off": b'{"inventory":' + 1200 * b"[",
    "lists nested to the end": 5000 * b"[" + 5000 * b"]",
    "objects nested and cut off": 2000 * b'{"a":',
    "nesting in another field": b'{"service":"compute","x":' + 5000 * b"[",
    "packed lists nested": 5000 * b"\x91",
    "packed maps nested": 5000 * b"\x81\xa1a",
    "packed nesting in another field": b"\x99" + 5000 * b"\x91",
}
FOREIGN_BYTES = {"bytes that cannot be read": UNREADABLE, **NESTED}
VALID_ENTRY = {
    "service": "compute",
    "address": "10.0.0.9:8080",
    "zone": "dc-1",
    "version": "v1",
    "state": "ready",
    "capacity": {"cpu": 16000, "memMb": 32768},
    "labels": ["a", "r1-3"],
    "seqNum": 4,
}


def without(name):
    return {key: value for key, value in VALID_ENTRY.items() if key != name}


ENTRIES = {
    "no service": without("service"),
    "no address": without("address"),
    "no data centre": without("zone"),
    "no state": without("state"),
    "no capacity": without("capacity"),
    "no memory": VALID_ENTRY | {"capacity": {"cpu": 16000}},
    "a state that nobody knows": VALID_ENTRY | {"state": "resting"},
    "a service that is a number": VALID_ENTRY | {"service": 7},
    "labels that are a number": VALID_ENTRY | {"labels": 7},
    "a capacity that is a text": VALID_ENTRY | {"capacity": "much"},
    "no processors": VALID_ENTRY | {"capacity": {"cpu": 0, "memMb": 32768}},
    "an address without a port": VALID_ENTRY | {"address": "10.0.0.9"},
    "an address of port 70000": VALID_ENTRY | {"address": "10.0.0.9:70000"},
    "an address of port +80": VALID_ENTRY | {"address": "10.0.0.9:+80"},
    "an address of port 8_0": VALID_ENTRY | {"address": "10.0.0.9:8_0"},
    "an address of port 080": VALID_ENTRY | {"address": "10.0.0.9:080"},
    "a port in another script": VALID_ENTRY | {"address": "10.0.0.9:\u0668\u0660"},
    "a port with a space": VALID_ENTRY | {"address": "10.0.0.9: 80"},
    "a port of 5,000 digits": VALID_ENTRY | {"address": f"10.0.0.9:{5000 * '9'}"},
    "a birth of 4,000 digits": VALID_ENTRY | {"born": 10**3999},
    "2**64 millicores": VALID_ENTRY | {"capacity": {"cpu": 2**64, "memMb": 64}},
    "an address without a host": VALID_ENTRY | {"address": ":8080"},
    "an address with a gap": VALID_ENTRY | {"address": "10.0..9:8080"},
    "an address that is a name": VALID_ENTRY | {"address": "worker-9:8080"},
    "an address of 300 letters": VALID_ENTRY | {"address": f"{300 * 'a'}:8080"},
    "an address with a NUL": VALID_ENTRY | {"address": "10.0.0\0.9:8080"},
    "2**64 MB of memory": VALID_ENTRY | {"capacity": {"cpu": 1, "memMb": 2**64}},
    "a birth of 2**64": VALID_ENTRY | {"born": 2**64},
    "a birth that is a text": VALID_ENTRY | {"born": "1780251652342"},
    "a birth that is null": VALID_ENTRY | {"born": None},
    "a birth that is a fraction": VALID_ENTRY | {"born": 1780251652342.5},
    "a birth of zero": VALID_ENTRY | {"born": 0},
}


@given("a valid worker's entry with {what}")
def entry(context, what):
    match what:
        case _ if what in FOREIGN_BYTES:
            context.value = FOREIGN_BYTES[what]
        case "an empty value":
            context.value = b""
        case _:
            context.value = json.dumps(ENTRIES[what]).encode()
    context.record = Keyed("i-1", context.value)
    context.records = Records()


IDS = {
    "of no letter": "",
    "with a line break": "i-1\nhost: other",
    "with another script": "i-\u0439",
    "that ends in a space": "i-1 ",
    "of 249 letters": 249 * "i",
}


@given("a valid worker's entry under an id {what}")
def entry_under_id(context, what):
    context.record = Keyed(IDS[what], json.dumps(VALID_ENTRY).encode())
    context.records = Records()


@given("a valid worker's entry under the longest id that is used")
def entry_under_longest_id(context):
    context.record = Keyed(248 * "i", json.dumps(VALID_ENTRY | {"born": 5}).encode())


@then("it is decoded as a worker, whose birth can be stored")
def check_birth_storable(context):
    worker_id = Records().worker(context.record).worker_id
    record = birth_record(worker_id.name, worker_id.born_ms)
    assert decode_records(encode_record(record)) == [record]


@then("it is decoded as no worker")
def check_decoded_as_none(context):
    with structlog.testing.capture_logs() as context.lines:
        assert context.records.worker(context.record) is None


@then("that is logged once however often the entry arrives")
def logged_once(context):
    with structlog.testing.capture_logs() as repeated_lines:
        for _ in range(20):
            context.records.worker(context.record)
    events = [line["event"] for line in context.lines + repeated_lines]
    assert events == ["record: not understood"], events


@then("the same entry in full is decoded as a worker")
def check_decoded_as_worker(context):
    value = json.dumps(VALID_ENTRY).encode()
    assert context.records.worker(Keyed("i-1", value)).worker_id.name == "i-1"


@given("the configuration names its services")
def name_services(context):
    world = context.world
    known = next(iter(world.instances.values())).configuration
    services = frozenset({"compute"})
    newer = replace(known, version=known.version + 1, services=services)
    world.store.write(Topic.OPERATOR, Keyed("config", msgspec.msgpack.encode(newer)))
    play(context, asyncio.sleep(1.0))


@when("a worker of a service that it does not name is listed")
def list_worker_of_unknown_service(context):
    listing = replace(
        context.world.workers["w0"].listing, worker_id=WorkerId("x0"), service="other"
    )
    value = msgspec.msgpack.encode(listing)
    context.world.store.write(Topic.WORKERS, Keyed("x0", value))


def holder(context):
    return context.world.instances[context.world.holder()].holder


@then("the holder knows {count:d} workers")
def check_worker_count(context, count):
    assert len(holder(context).cell.workers) == count, holder(context).cell.workers


@when('each {call} to "{name}" ends by an error')
def fail_calls(context, call, name):
    context.epoch = holder(context).epoch
    sessions = holder(context)._sessions.values()
    (session,) = [s for s in sessions if s.worker_id.name == name]

    async def fail(*arguments):
        raise UnicodeError("label empty or too long")

    setattr(session.port, call, fail)
    capturing = structlog.testing.capture_logs()
    context.lines = capturing.__enter__()
    context.add_cleanup(capturing.__exit__, None, None, None)


@then("the holder's term goes on")
def same_term(context):
    assert holder(context).epoch == context.epoch


@then('the error of "{name}" is logged')
def error_logged(context, name):
    lines = [x for x in context.lines if x["event"] == "worker: call failed"]
    assert {line["worker"].name for line in lines} == {name}, lines


@then('the holder has counted an entry that is "{reason}"')
def check_entries_counted(context, reason):
    metrics = context.world.instances[context.world.holder()].metrics
    (family,) = metrics.unused_entries.collect()
    counts = {s.labels["reason"]: s.value for s in family.samples}
    assert counts.get(reason), counts


@when('another writer overwrites the entry of "{name}" with one that states no birth')
def overwrite_entry_without_birth(context, name):
    write_without_birth(context.world, context.world.workers[name])


@when("another writer overwrites the entries of all workers with {birth}")
def overwrite_births(context, birth):
    world = context.world
    for name, worker in world.workers.items():
        born_ms = worker.listing.worker_id.born_ms + 1000
        if birth == "the largest birth":
            born_ms = 2**53
        listing = replace(worker.listing, worker_id=WorkerId(name, born_ms))
        act(context, world.list_worker, SimpleNamespace(listing=listing))


@when("all workers write their entries again")
def list_all_again(context):
    for worker in context.world.workers.values():
        act(context, context.world.list_worker, worker)


@when('a worker "{name}" starts whose entry states no birth')
def start_without_birth(context, name):
    world = context.world

    async def begin():
        write_without_birth(world, world.add_worker(name))

    play(context, begin())


def write_without_birth(world, worker):
    listing = replace(
        worker.listing, worker_id=worker.listing.worker_id.without_birth()
    )
    key = listing.worker_id.name
    world.store.write(Topic.WORKERS, Keyed(key, msgspec.msgpack.encode(listing)))


@when('another writer overwrites the entry of "{name}" with no value')
def overwrite_entry(context, name):
    context.world.unlist_worker(name)
    play(context, asyncio.sleep(0.5))


@then('"{name}" has run nothing')
def check_ran_nothing(context, name):
    assert not context.world.workers[name].position
    assert not context.world.workers[name].runs


@when('"{name}" writes its entry again')
def write_again(context, name):
    context.world.list_worker(context.world.workers[name])


@then("the holder may use {count:d} workers")
def check_usable_count(context, count):
    workers = holder(context).cell.workers.values()
    usable = [w.worker_id.name for w in workers if w.usable(context.loop.time())]
    assert len(usable) == count, usable


class PlatformListCodec(WorldCodec):
    """The cell's own codec for its workers, the platform's for foreign entries."""

    def __init__(self):
        self.records = Records()

    def worker(self, record):
        if record.key.startswith("w"):
            return super().worker(record)
        return self.records.worker(record)


@given("its instances read the list of workers as on the platform")
def read_as_on_the_platform(context):
    for instance in context.world.instances.values():
        instance.codec = PlatformListCodec()
    context.epoch = holder(context).epoch


@when('another writer stores {what} as "{key}" in the log of {log}')
def store_foreign(context, what, key, log):
    context.world.store.write(Topic(log), Keyed(key, FOREIGN_BYTES[what]))


@given('another writer deletes the job "{name}" while its starts are being stored')
def delete_while_storing(context, name):
    world = context.world
    context.epoch = holder(context).epoch
    log = holder(context).log
    append = log.append
    deletion = Keyed(job_id(name), None)

    async def append_after_deletion(records):
        if any(record.key == job_id(name) for record in records):
            world.store.write(Topic.JOBS, deletion)
            world.instances[world.holder()]._apply_job_records([deletion])
            world.accepted.pop(job_id(name), None)
        return await append(records)

    log.append = append_after_deletion


@when('another writer stores the progress of another job as that of "{name}"')
def store_other_progress(context, name):
    job = Job("other", URGENT, "", (plain(3),), 0.0)
    state = JobState(job)
    state.open_occurrence(0)
    record = Keyed(job_id(name), encode(state))
    context.world.store.write(Topic.PROGRESS, record)


@then("{count:d} instances follow the logs")
def follow(context, count):
    ready = [i for i in context.world.instances.values() if i.callers.fresh()]
    assert len(ready) == count, len(ready)


def check_records(data):
    decode_records(data)


def check_workers(data):
    Records().worker(Keyed("i-1", data))


def check_operator(data):
    Records().configuration(Keyed("config", data))


def check_jobs(data):
    ledger = Ledger()
    ledger.apply_job(Keyed("00000000000000aa", data))
    ledger.apply_job(Keyed("x00000000000000aa", data))
    ledger.status("00000000000000aa")


def check_progress(data):
    ledger = Ledger()
    for key in ("00000000000000aa", ".lapses", ".interference", ".swings", ".other"):
        ledger.apply_progress(Keyed(key, data), 1.0)
    for value in ledger.progress.values():
        assert JobStatus(msgspec.msgpack.decode(value)[0])


def check_peers(data):
    peer_directory = PeerDirectory("me")
    peer_directory.apply(Keyed("other", data))
    peer_directory.shuffled()


def check_holder(data):
    watch = Leadership(InstanceSettings("me-1", "me", "dc-1", 1.0), Random(1))
    watch.observe(data, 1.0)
    assert watch.epoch >= 0, HOLDER_KEY


def check_page(data):
    decode_page(data)


CHECKS = {
    "the reader of records": check_records,
    "the workers' log": check_workers,
    "the operator's log": check_operator,
    "the log of jobs": check_jobs,
    "the log of progress": check_progress,
    "the log of peers": check_peers,
    "who watches the holder": check_holder,
    "pages of newest records": check_page,
}
ARBITRARY_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=12),
    lambda inner: (
        st.lists(inner, max_size=5)
        | st.dictionaries(
            st.sampled_from([*VALID_ENTRY, "items", "key"]), inner, max_size=6
        )
    ),
    max_leaves=12,
)


def encode_or_empty(value):
    try:
        return msgspec.msgpack.encode(value)
    except OverflowError:
        return b""


NESTINGS = st.builds(
    lambda head, opening, levels: head + levels * opening,
    st.sampled_from([b"", b"[", b'{"a":', b"\x92\x01", b"\x99", b"\x82\xa1a"]),
    st.sampled_from([b"[", b'{"a":', b"\x91", b"\x81\xa1a", b"\x81\x01"]),
    st.integers(900, 6000),
)
ARBITRARY_BYTES = (
    NESTINGS
    | st.binary(max_size=60)
    | ARBITRARY_VALUES.map(encode_or_empty)
    | ARBITRARY_VALUES.map(lambda value: json.dumps(value).encode())
)


@then("arbitrary bytes are decoded or ignored by {what}")
def check_arbitrary_bytes(context, what):
    check = CHECKS[what]

    @settings(max_examples=300, derandomize=True, database=None, deadline=None)
    @hypothesis_given(ARBITRARY_BYTES)
    def run(data):
        with structlog.testing.capture_logs():
            check(data)

    run()


@when("the operator stores an unreadable configuration")
def store_unreadable_configuration(context):
    world = context.world
    act(context, world.store.write, Topic.OPERATOR, Keyed("config", UNREADABLE))
    play(context, asyncio.sleep(1.0))


@when("the operator stores a readable configuration")
def store_readable_configuration(context):
    act(context, context.world.configure, URGENT, BATCH)
    play(context, asyncio.sleep(1.0))


@then("every instance answers {status:d} to a request for an unknown queue")
def check_unknown_queue_status(context, status):
    for name in context.world.instances:
        request = count_answer(context.world, name, Queue("unknown", "compute"))
        assert play(context, request) == status


EVACUATION_VALUES = {
    "an empty object": b"{}",
    "bytes that cannot be read": UNREADABLE,
    "no value": None,
}


@given("the operator's record of an evacuation with {what}")
def evacuation_record(context, what):
    context.record = Keyed("evacuate/dc-7", EVACUATION_VALUES[what])


@then('the evacuation of "{data_centre}" is {verdict}')
def evacuation_verdict(context, data_centre, verdict):
    expected = Evacuation(data_centre, verdict == "active")
    assert Records().evacuation(context.record) == expected
    assert Records().configuration(context.record) is None
    assert Records().evacuation(Keyed("config", b"{}")) is None
