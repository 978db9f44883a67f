"""Steps on instances that append for one another while the store is slow."""

import asyncio
import math
import zlib
from types import SimpleNamespace

from behave import given, then, when
from support.cell_scene import job_id, play
from support.cell_walk import plain
from support.virtual_loop import VirtualLoop

from hornbeampaddle.machines import Address
from hornbeampaddle_cell.appender import Appender
from hornbeampaddle_cell.callers import Accepted, NotAccepted
from hornbeampaddle_cell.group_commit import GATHERERS, GroupCommit
from hornbeampaddle_cell.peers import PeerDirectory, peer_record
from hornbeampaddle_cell.ports import Appended, Keyed, Topic, Unavailable
from hornbeampaddle_cell.relay_messages import PutAnswer, Stored, encode_outcome
from hornbeampaddle_cell.settings import InstanceSettings
from hornbeampaddle_standins.cell.world import BATCH


@given("instances that {gathered} appends while they are slow")
def gather_or_not(context, gathered):
    if gathered == "gather":
        return
    for instance in context.world.instances.values():
        instance.appender.group_commit = None


@given("an instance that appends for others goes down after {after_s:d} s")
def gatherer_goes_down(context, after_s):
    world = context.world
    holder = world.holder()
    name = next(n for n in sorted(world.instances, key=_rank) if n != holder)

    async def go_down():
        await asyncio.sleep(after_s)
        await world.kill(name)

    async def begin():
        context.going_down = asyncio.create_task(go_down())

    play(context, begin())


@when(
    "the store is at work on each append for {append_s:g} s, and {per_s:d} jobs a "
    "second are submitted for {seconds_s:d} s"
)
def submit_while_slow(context, append_s, per_s, seconds_s):
    world = context.world
    context.took_s = {}
    context.outcomes = {}

    async def submit(number):
        begun_s = asyncio.get_running_loop().time()
        name = job_id(f"ac{number:03}")
        names = list(world.instances)
        via = names[number % len(names)]
        outcome = await world.submit(name, BATCH, plain(1), via=via)
        took_s = asyncio.get_running_loop().time() - begun_s
        context.outcomes[name] = outcome
        context.took_s[name] = took_s if outcome == Accepted() else math.inf

    async def submit_all():
        world.store.append_s = append_s
        async with asyncio.TaskGroup() as group:
            for number in range(per_s * seconds_s):
                group.create_task(submit(number))
                await asyncio.sleep(1 / per_s)
        world.store.append_s = 0.0
        await asyncio.sleep(8.0)

    play(context, submit_all())


@then("{bound} {percent:d} of 100 of them were accepted within {within_s:g} s")
def accepted_within(context, bound, percent, within_s):
    in_time = sum(took_s <= within_s for took_s in context.took_s.values())
    share = 100 * in_time / len(context.took_s)
    assert share >= percent if bound == "at least" else share <= percent, share


@then('nobody was told "not run" of a job that runs')
def refusals_true(context):
    ledger = context.world.instances[context.world.holder()].ledger
    refused = [n for n, o in context.outcomes.items() if isinstance(o, NotAccepted)]
    assert not [name for name in refused if name in ledger.jobs]


@given("an instance that puts its records through a peer")
def instance_with_peer(context):
    context.loop = VirtualLoop()
    asyncio.set_event_loop(context.loop)
    context.add_cleanup(context.loop.close)
    clock = SimpleNamespace(now_s=lambda: context.loop.time())
    directory = PeerDirectory("i")
    # The names whose order puts them before this instance's.
    names = [n for n in map(str, range(100)) if _rank(n) < _rank("i")][:GATHERERS]
    for name in names:
        directory.apply(peer_record(name, Address("peer", 1), 0.0))
    context.answer = None
    context.refuses = False
    context.asked = []
    context.appends = 0
    peers = SimpleNamespace(call=lambda *ask: _answer(context, *ask))
    store = SimpleNamespace(append=lambda *_: _append(context))
    settings = InstanceSettings("i-1", "i", "dc-1", 1.0)
    appender = Appender(store, Topic.JOBS, clock, settings)
    appender.group_commit = GroupCommit(directory, peers, clock)
    appender.group_commit.told_slow()
    context.appender = appender


def _rank(name):
    return zlib.crc32(name.encode())


async def _answer(context, address, data, timeout_s):
    context.asked.append(data)
    return context.answer


async def _append(context):
    context.appends += 1
    return Unavailable("refused") if context.refuses else Appended(1)


PEER_ANSWERS = {
    "stores them and answers": encode_outcome(PutAnswer(["yes"], 0.2)),
    "stores them and does not answer": b"",
    "is gone": b"",
    "is turned away by the store": encode_outcome(Unavailable("turned away too")),
    "answers what cannot be read": b"\x91",
    "does not know what is asked": encode_outcome(
        Unavailable("request not understood")
    ),
}


@when("the peer {fault} and the store then {how} the instance")
def peer_fails(context, fault, how):
    context.answer = PEER_ANSWERS[fault]
    context.refuses = how == "refuses"

    async def put():
        running = asyncio.create_task(context.appender.run())
        deadline_s = context.loop.time() + 3.0
        context.stored = await context.appender.put(Keyed("a", b"1"), deadline_s)
        running.cancel()

    play(context, put())


@then('the caller is told that the outcome is "{outcome}"')
def told(context, outcome):
    assert context.stored.value == outcome, context.stored


@when("a caller's record waits, and a peer asks to append one of the same key")
def joined_by_peer(context):
    appender = context.appender
    record = Keyed("a", b"1")

    async def put():
        deadline_s = context.loop.time() + 3.0
        puts = (appender.put(record, deadline_s, directly=d) for d in (False, True))
        running = asyncio.create_task(appender.run())
        context.stored = await asyncio.gather(*puts)
        running.cancel()

    play(context, put())


@then("it was appended once, and put through no peer")
def appended_here(context):
    assert context.stored == [Stored.YES, Stored.YES], context.stored
    assert context.appends == 1, context.appends
    assert not context.asked, context.asked


@when(
    "its own appends take turns of {own_s:g} s and its peers' of {peers_s:g} s for "
    "{seconds_s:g} s"
)
def turns(context, own_s, peers_s, seconds_s):
    group_commit = context.appender.group_commit

    async def take_turns():
        for _ in range(int(seconds_s)):
            group_commit.note_append(peers_s)
            group_commit.note_append(own_s)
            await asyncio.sleep(1.0)

    play(context, take_turns())


@then("each peer was told once that appends are slow")
def told_once(context):
    assert len(context.asked) == GATHERERS, len(context.asked)
