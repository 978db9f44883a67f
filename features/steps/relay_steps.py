"""Steps on instances that reach the store through one another."""

import asyncio
import socket
from dataclasses import replace
from random import Random

from behave import given, then, when
from structlog.testing import capture_logs
from support.cell_scene import STORE_FAULTS, job_id, new_loop, play
from support.cell_walk import build, plain
from support.virtual_loop import VirtualLoop

from hornbeampaddle.cell.jobs import Queue
from hornbeampaddle.cell.reports import NoAnswer
from hornbeampaddle.machines import Address
from hornbeampaddle_cell.callers import Accepted
from hornbeampaddle_cell.follower import Follower
from hornbeampaddle_cell.peers import PeerDirectory, peer_record
from hornbeampaddle_cell.ports import (
    Appended,
    Batch,
    Keyed,
    Producer,
    Span,
    Topic,
    Unavailable,
)
from hornbeampaddle_cell.relay import Relay
from hornbeampaddle_cell.relay_messages import (
    NewestAsk,
    ReadAsk,
    decode_ask,
    decode_outcome,
    encode_ask,
    encode_outcome,
)
from hornbeampaddle_standins.cell.store import Link, StoreFault
from hornbeampaddle_standins.cell.world import BATCH, URGENT, SkewedClock, World
from hornbeampaddle_wire.peer_requests import PeerChannel


@given(
    "a cell of {instances:d} instances and {workers:d} workers that reach the store "
    "through one another"
)
def start_cell(context, instances, workers):
    new_loop(context)

    async def begin():
        context.world = World(7, relays=True)
        await build(context.world, instances, workers)
        # Wait until every instance has read the addresses of its peers.
        await asyncio.sleep(6.0)

    play(context, begin())


@given(
    "a cell of {instances:d} instances and {workers:d} workers on a store that serves "
    "{reads_per_s:d} reads a second"
)
def start_cell_with_read_limit(context, instances, workers, reads_per_s):
    new_loop(context)

    async def begin():
        context.world = World(7, relays=True, store_reads_per_s=reads_per_s)
        await build(context.world, instances, workers)
        # Wait until every instance has read the addresses of its peers.
        await asyncio.sleep(6.0)
        context.world.store.reads_per_s = reads_per_s

    play(context, begin())


@when("jobs are submitted for {seconds_s:d} s")
def submit_jobs_for(context, seconds_s):
    world = context.world
    store = world.store
    reads_before, refused_before = store.reads, store.reads_refused

    async def submit_jobs():
        for number in range(seconds_s * 5):
            await world.submit(job_id(f"af{number:02}"), BATCH, plain(1))
            await asyncio.sleep(0.2)

    play(context, submit_jobs())
    refused = store.reads_refused - refused_before
    context.refused_ratio = refused / (store.reads - reads_before)


@then("the store has refused less than a tenth of the reads")
def few_reads_refused(context):
    assert context.refused_ratio < 0.1, context.refused_ratio


@when("the store {how} for an instance that does not hold the cell")
def fail_store_for_non_holder(context, how):
    world = context.world
    context.unserved_instance = next(n for n in world.instances if n != world.holder())
    world.store.faults[context.unserved_instance] = STORE_FAULTS[how]


@when("{count:d} jobs are submitted to it over {seconds_s:d} s")
def submit_to_unserved(context, count, seconds_s):
    world = context.world
    context.ready = []
    context.outcomes = {}

    async def submit_all():
        for number in range(count):
            name = job_id(f"ad{number:02}")
            step = plain(2)
            outcome = await world.submit(
                name, BATCH, step, via=context.unserved_instance
            )
            context.outcomes[name] = outcome
            context.ready.append(world.instances[context.unserved_instance].ready())
            await asyncio.sleep(seconds_s / count)

    play(context, submit_all())


@then("all of them were accepted and are shown as completed within {within_s:d} s")
def all_done(context, within_s):
    assert set(context.outcomes.values()) == {Accepted()}, context.outcomes
    for name in context.outcomes:
        assert play(context, context.world.until_done(name, within_s)), name


@then("that instance was ready all the time")
def was_ready(context):
    assert all(context.ready), context.ready


@when("the store {how} for the holder while jobs are submitted for {seconds_s:d} s")
def fail_store_for_holder(context, how, seconds_s):
    world = context.world
    context.holder = world.holder()

    async def submit_jobs_with_fault():
        via = next(name for name in world.instances if name != context.holder)
        for number in range(seconds_s * 5):
            if number == 5:
                world.store.faults[context.holder] = STORE_FAULTS[how]
                context.from_s = asyncio.get_running_loop().time()
            await world.submit(job_id(f"ae{number:02}"), BATCH, plain(1), via=via)
            await asyncio.sleep(0.2)
        context.until_s = asyncio.get_running_loop().time()

    play(context, submit_jobs_with_fault())


@then("no interval without a start was longer than {longest_s:g} s")
def longest_gap(context, longest_s):
    starts = context.world.checker.started_at_s
    inside = [s for s in starts if context.from_s <= s <= context.until_s]
    marks = [context.from_s, *inside, context.until_s]
    gaps = [b - a for a, b in zip(marks, marks[1:], strict=False)]
    assert max(gaps) < longest_s, max(gaps)


@then("the same instance holds the cell")
def same_holder(context):
    assert context.world.holder() == context.holder


@when("the store {how} for everybody for {seconds_s:d} s")
def down(context, how, seconds_s):
    store = context.world.store
    before = store.appends + store.reads
    store.faults[""] = STORE_FAULTS[how]

    async def wait():
        await asyncio.sleep(seconds_s)

    play(context, wait())
    context.calls = store.appends + store.reads - before
    store.faults.clear()


@then("the store got fewer than {count:d} calls in that time")
def few_calls(context, count):
    assert context.calls < count, context.calls


class FailingStore:
    """A store that answers every call with one failure."""

    def __init__(self, failure):
        self.failure = failure

    async def append(self, topic, records, producer, at_offset):
        return self.failure

    async def read(self, topic, span):
        return self.failure


class RecordingPeers:
    """A peer that records each request and reports it as stored."""

    def __init__(self):
        self.asked = []

    async def call(self, address, data, timeout_s):
        self.asked.append(data)
        if isinstance(decode_ask(data), ReadAsk):
            return encode_outcome(Batch([], 0, 0))
        return encode_outcome(Appended(1))


@given("a relay whose store does not answer")
def silent_relay(context):
    relay_to(context, FailingStore(NoAnswer("timed out")))


@given("a relay whose store refuses")
def refused_relay(context):
    relay_to(context, FailingStore(Unavailable("refused")))


def relay_to(context, store):
    context.loop = VirtualLoop()
    context.add_cleanup(context.loop.close)
    context.peer_directory = PeerDirectory("i0", Random(7))
    add_peers(context, 1)
    context.peers = RecordingPeers()
    clock = SkewedClock(context.loop, 0.0)
    context.relay = Relay(store, context.peer_directory, context.peers, clock)


def add_peers(context, count):
    for number in range(1, count + 1):
        record = peer_record(f"i{number}", Address("127.0.0.1", number), 0.0)
        context.peer_directory.apply(record)


@when("a claim and an append with a sequence number go through it")
def claim_and_append(context):
    records = [Keyed("key", b"value")]
    claim = context.relay.append(Topic.PROGRESS, records, None, 4)
    context.claimed = context.loop.run_until_complete(claim)
    producer = Producer("holder", 5, 0)
    append = context.relay.append(Topic.PROGRESS, records, producer, None)
    context.appended = context.loop.run_until_complete(append)


@then("its peers got only the append with a sequence number")
def only_append_relayed(context):
    assert isinstance(context.claimed, NoAnswer), context.claimed
    assert context.appended == Appended(1), context.appended
    assert len(context.peers.asked) == 1


@given("two processes' peer sockets, of which one does not answer")
def peer_sockets(context):
    context.loop = asyncio.new_event_loop()
    asyncio.set_event_loop(context.loop)
    context.add_cleanup(context.loop.close)
    context.silent = Address("127.0.0.1", free_port())
    context.responsive = Address("127.0.0.1", free_port())
    context.responds_again = asyncio.Event()

    async def wait(data):
        await context.responds_again.wait()
        return data

    async def echo(data):
        return data

    context.servers = [
        PeerChannel(context.silent, wait),
        PeerChannel(context.responsive, echo),
    ]
    context.client = PeerChannel(Address("127.0.0.1", free_port()), echo)


@when("{count:d} requests go to each at once")
def send_requests(context, count):
    client = context.client

    async def ask():
        channels = [*context.servers, client]
        for channel in channels:
            channel.listen()
        tasks = [asyncio.create_task(channel.run()) for channel in channels]
        asked = [
            client.call(address, b"question", 0.2)
            for address in (context.silent, context.responsive)
            for _ in range(count)
        ]
        answers = await asyncio.gather(*asked)
        context.responds_again.set()
        context.again = await client.call(context.silent, b"again", 5.0)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return answers[:count], answers[count:]

    context.silent_answers, context.responsive_answers = (
        context.loop.run_until_complete(ask())
    )


@then("all requests to the silent peer return no data")
def empty(context):
    assert set(context.silent_answers) == {b""}, context.silent_answers


@then("all requests to the other are answered")
def answered(context):
    assert set(context.responsive_answers) == {b"question"}, context.responsive_answers


@then("a request to the silent peer is answered once it responds again")
def answered_again(context):
    assert context.again == b"again"


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


@then("every instance has read the store again within {within_s:g} s")
def all_read(context, within_s):
    world = context.world
    back_at_s = context.loop.time()

    def fresh():
        return all(
            min(i.jobs.complete_at_s, i.progress.complete_at_s) > back_at_s
            for i in world.instances.values()
        )

    assert play(context, world.until(fresh, within_s))


@given("its peers are refused by the store")
def refused_peers(context):
    async def refuse(address, data, timeout_s):
        return encode_outcome(Unavailable("refused"))

    context.peers.call = refuse


@when("an append with a sequence number goes through it")
def numbered_append(context):
    producer = Producer("i0-1", 1, 0)
    append = context.relay.append(Topic.JOBS, [Keyed("job", b"1")], producer, None)
    context.outcome = context.loop.run_until_complete(append)


@then("its outcome is that no answer came")
def no_answer(context):
    assert isinstance(context.outcome, NoAnswer), context.outcome


@given(
    "links of {mbit_per_s:g} Mbit/s, and workers that write {kb_per_s:g} kB/s in total "
    "into their list"
)
def long_list(context, mbit_per_s, kb_per_s):
    world = context.world
    for name in world.instances:
        world.store.links[name] = Link(mbit_per_s * 1e6 / 8)
    # A few workers write as many bytes as many would: their entries are padded.
    pad = frozenset({"x" * 1000})
    for worker in world.workers.values():
        labels = worker.listing.labels | pad
        worker.listing = replace(worker.listing, labels=labels)

    async def write():
        while True:
            for worker in world.workers.values():
                await asyncio.sleep(1.0 / kb_per_s)
                world.list_worker(worker)

    async def begin():
        world.tasks["list"] = asyncio.create_task(write())
        await asyncio.sleep(2.0)

    play(context, begin())


@when(
    "the store is silent for {outage_s:d} s while an instance is asked each second "
    "if it is ready"
)
def ask_ready(context, outage_s):
    world = context.world
    instance = world.instances["i1"]

    async def ask():
        for second in range(outage_s + 8):
            silent = 1 <= second <= outage_s
            world.store.faults[""] = StoreFault.SILENT if silent else StoreFault.NONE
            instance.ready()
            await asyncio.sleep(1.0)
        world.store.faults.clear()

    with capture_logs() as lines:
        play(context, ask())
    context.lines = [line for line in lines if line["event"].startswith("ready: ")]


@then('it has logged "ready: no" once for "{why}", and "ready: yes" after it')
def logged_ready(context, why):
    logged = [(line["event"], line["why"]) for line in context.lines]
    assert logged in (
        [("ready: yes", ""), ("ready: no", why), ("ready: yes", "")],
        [("ready: no", why), ("ready: yes", "")],
    ), logged


@given("links of {mbit_per_s:g} Mbit/s, and a configuration of {size_kb:d} kB")
def large_configuration(context, mbit_per_s, size_kb):
    world = context.world
    for name in world.instances:
        world.store.links[name] = Link(mbit_per_s * 1e6 / 8)
    context.filling = filling_queues(size_kb)
    world.configure(URGENT, BATCH, *context.filling)
    play(context, asyncio.sleep(3.0))


def filling_queues(size_kb):
    """Return queues that no job uses, about 200 bytes each in a configuration."""
    random = Random(7)
    return [
        Queue(f"{random.getrandbits(124):031x}", "compute") for _ in range(5 * size_kb)
    ]


@when(
    "the store is silent for the holder for {outage_s:d} s while the configuration "
    "changes {per_s:d} times a second"
)
def silent_while_configured(context, outage_s, per_s):
    world = context.world
    context.holder = world.holder()
    others = [name for name in world.instances if name != context.holder]

    async def operate():
        while True:
            world.configure(URGENT, BATCH, *context.filling)
            await asyncio.sleep(1 / per_s)

    async def submit_jobs():
        for number in range(outage_s * 5):
            via = others[number % len(others)]
            await world.submit(job_id(f"b0{number:02}"), BATCH, plain(1), via=via)
            await asyncio.sleep(0.2)

    async def fail_store():
        operating = asyncio.create_task(operate())
        await asyncio.sleep(2.0)
        world.store.faults[context.holder] = STORE_FAULTS["is silent"]
        context.from_s = asyncio.get_running_loop().time()
        await submit_jobs()
        context.until_s = asyncio.get_running_loop().time()
        operating.cancel()
        world.store.faults.clear()

    play(context, fail_store())


@given("{count:d} peers")
def peers(context, count):
    add_peers(context, count)
    context.asked_addresses = []
    record = context.peers.call

    async def call(address, data, timeout_s):
        context.asked_addresses.append(address)
        return await record(address, data, timeout_s)

    context.peers.call = call


@given("{count:d} peers of which the first {away:d} that are asked are turned away too")
def first_peers_away(context, count, away):
    add_peers(context, count)
    record = context.peers.call

    async def call(address, data, timeout_s):
        answer = await record(address, data, timeout_s)
        if len(context.peers.asked) <= away:
            return encode_outcome(Unavailable("this peer is turned away too"))
        return answer

    context.peers.call = call


@when("{count:d} appends with a sequence number go through it")
def numbered_appends(context, count):
    for _ in range(count):
        numbered_append(context)
        append_stored(context)


@when("{count:d} reads of the list of workers go through it")
def worker_list_reads(context, count):
    for _ in range(count):
        read_worker_list(context)


def read_worker_list(context):
    read = context.relay.read(Topic.WORKERS, Span(0, 0.0, 1024))
    context.outcome = context.loop.run_until_complete(read)


@when("that peer does not answer the next one")
def last_peer_silent(context):
    answered = context.peers.call

    async def call(address, data, timeout_s):
        await answered(address, data, timeout_s)
        return b""

    read_once_through(context, call)
    assert isinstance(context.outcome, NoAnswer)


@when("that peer takes {answer_s:g} s to answer the next one")
def last_peer_slow(context, answer_s):
    answered = context.peers.call

    async def call(address, data, timeout_s):
        await asyncio.sleep(answer_s)
        return await answered(address, data, timeout_s)

    read_once_through(context, call)
    assert isinstance(context.outcome, Batch)


def read_once_through(context, call):
    answered, context.peers.call = context.peers.call, call
    read_worker_list(context)
    context.peers.call = answered
    assert len(set(context.asked_addresses)) == 1


@then("a read of the list of workers goes to another peer")
def read_goes_elsewhere(context):
    read_worker_list(context)
    assert len(set(context.asked_addresses)) == 2, context.asked_addresses


@then("all of them went to the same peer")
def same_peer(context):
    assert len(set(context.asked_addresses)) == 1, context.asked_addresses


@given("{count:d} peers that do not answer reads")
def peers_without_reads(context, count):
    add_peers(context, count)
    record = context.peers.call

    async def call(address, data, timeout_s):
        answer = await record(address, data, timeout_s)
        return b"" if isinstance(decode_ask(data), ReadAsk) else answer

    context.peers.call = call


@given("{count:d} peers of which the first that is asked does not answer")
def first_peer_silent(context, count):
    add_peers(context, count)
    record = context.peers.call

    async def call(address, data, timeout_s):
        answer = await record(address, data, timeout_s)
        return b"" if len(context.peers.asked) == 1 else answer

    context.peers.call = call


@when("a read and then an append with a sequence number go through it")
def read_and_append(context):
    read = context.relay.read(Topic.OPERATOR, Span(0, 0.0, 1024))
    assert isinstance(context.loop.run_until_complete(read), NoAnswer)
    numbered_append(context)


@then("the append is stored")
def append_stored(context):
    assert context.outcome == Appended(1), context.outcome


@when("a claim goes through it")
def claim(context):
    append = context.relay.append(Topic.PROGRESS, [Keyed("key", b"value")], None, 4)
    context.outcome = context.loop.run_until_complete(append)


@then("only one peer was asked")
def one_peer_asked(context):
    assert len(context.peers.asked) == 1, len(context.peers.asked)
    assert isinstance(context.outcome, NoAnswer), context.outcome


@when("the configuration changes {per_s:d} times a second for {seconds_s:d} s")
def configure_for(context, per_s, seconds_s):
    world = context.world
    context.oldest_s = 0.0
    links = world.store.links.values()
    for link in links:
        link.used_s = 0.0

    async def operate():
        for _ in range(per_s * seconds_s):
            world.configure(URGENT, BATCH, *context.filling)
            ages_s = [i.operator.age_s() for i in world.instances.values()]
            context.oldest_s = max(context.oldest_s, *ages_s)
            await asyncio.sleep(1 / per_s)

    play(context, operate())
    context.used_ratios = [link.used_s / seconds_s for link in links]


@then("reading it has taken less than two thirds of the time on each link")
def links_have_room(context):
    assert max(context.used_ratios) < 2 / 3, context.used_ratios


@then("no instance's view of it was older than {age_s:g} s")
def views_recent(context, age_s):
    assert context.oldest_s <= age_s, context.oldest_s


@given("a relay that the store serves, and that shares a view up to offset {offset:d}")
def relay_with_view(context, offset):
    new_loop(context)
    context.world = World(7)
    for number in range(10):
        context.world.store.write(Topic.OPERATOR, Keyed(f"key {number}", b"value"))
    context.clock = SkewedClock(context.loop, 0.0)
    peer_directory = PeerDirectory("i0")
    context.relay = Relay(
        context.world.store.port("i0"), peer_directory, None, context.clock
    )
    view = Follower(context.relay, Topic.OPERATOR, context.clock, lambda records: None)
    view.applied_offset = offset
    view.complete_at_s = context.loop.time()
    context.view = view
    context.relay.shared_views[Topic.OPERATOR] = view


@when(
    "a peer that has applied the log up to offset {offset:d} asks for its newest "
    "records"
)
def ask_newest(context, offset):
    ask = encode_ask(NewestAsk(Topic.OPERATOR.value, offset, knows_views=True))
    context.outcome = decode_outcome(play(context, context.relay.serve(ask)))


@when("a peer of an earlier version asks for its newest records")
def ask_newest_before_views(context):
    ask = encode_ask(NewestAsk(Topic.OPERATOR.value))
    context.outcome = decode_outcome(play(context, context.relay.serve(ask)))


@then("it is answered from the store")
def answered_from_store(context):
    assert context.outcome.end_offset == 10, context.outcome


class PeerStore:
    """A store port that reads the newest records through one peer."""

    def __init__(self, relay):
        self.relay = relay

    async def newest(self, topic):
        ask = encode_ask(NewestAsk(topic.value, knows_views=True))
        return decode_outcome(await self.relay.serve(ask))


@when("that view is {age_s:g} s old and a peer follows it")
def follow_view(context, age_s):
    context.view.complete_at_s = context.loop.time() - age_s
    store = PeerStore(context.relay)
    context.follower = Follower(
        store, Topic.OPERATOR, context.clock, lambda records: None
    )
    play(context, context.follower._read_newest())


@then("the peer considers its own view at least {age_s:g} s old")
def peer_view_age(context, age_s):
    assert context.follower.age_s() >= age_s, context.follower.age_s()
