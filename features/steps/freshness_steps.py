"""Steps on how old an instance's view of a log is."""

import asyncio

from behave import given, then, when
from border_steps import Ingress
from support.cell_scene import STORE_FAULTS, job_id, new_loop, play
from support.cell_walk import plain

from hornbeampaddle.cell.jobs import Queue
from hornbeampaddle_cell.follower import Follower
from hornbeampaddle_cell.peers import PeerDirectory
from hornbeampaddle_cell.ports import Keyed, Topic, Unavailable
from hornbeampaddle_cell.relay import Relay
from hornbeampaddle_standins.cell.store import Link
from hornbeampaddle_standins.cell.world import (
    BATCH,
    ROUTE_HOST,
    URGENT,
    SkewedClock,
    World,
)
from hornbeampaddle_wire.http_messages import Request

# Routes that stand in a configuration beside the ones in use.
OTHER_QUEUES = [Queue(f"other-{number:04}", "compute") for number in range(500)]
# How often the instance is asked for its queues.
ASK_EVERY_S = 0.1
# How long the operator goes on after the store is back.
AFTER_S = 6.0
# Within this a stored configuration has to be in force.
IN_FORCE_S = 2.0


@given("one instance has a link of {mbit_per_s:g} Mbit/s")
def narrow_link(context, mbit_per_s):
    world = context.world
    context.narrow = next(name for name in world.instances if name != world.holder())
    world.store.links[context.narrow] = Link(mbit_per_s * 1e6 / 8)


async def count_answer(world, name, queue):
    """Return the status of the answer to a count of a queue's jobs."""
    request = Request("GET", f"/{queue.name}/", {"host": ROUTE_HOST}, b"")
    response = await Ingress(world.instances[name]).handle(request)
    return response.status


@when(
    "the store {how} for it for {away_s:g} s while a queue is added "
    "{per_s:d} times a second"
)
def change_while_away(context, how, away_s, per_s):
    world = context.world
    context.answers = []
    added = []

    async def operate():
        deadline_s = world_s() + away_s + AFTER_S
        while world_s() < deadline_s:
            queue = Queue(f"added-{len(added):03}", "compute")
            added.append((world_s(), queue))
            queues = [queue for _, queue in added]
            world.configure(URGENT, BATCH, *OTHER_QUEUES, *queues)
            await asyncio.sleep(1 / per_s)

    async def ask():
        while True:
            asked_s = world_s()
            for added_s, queue in added:
                status = await count_answer(world, context.narrow, queue)
                context.answers.append((asked_s, added_s, status))
            await asyncio.sleep(ASK_EVERY_S)

    async def both():
        asking = asyncio.create_task(ask())
        world.store.faults[context.narrow] = STORE_FAULTS[how]
        operating = asyncio.create_task(operate())
        await asyncio.sleep(away_s)
        del world.store.faults[context.narrow]
        context.back_s = world_s()
        await operating
        asking.cancel()

    play(context, both())


def world_s():
    return asyncio.get_running_loop().time()


@then(
    "it never answers that a queue is unknown which was added {age_s:g} s before "
    "or earlier"
)
def never_unknown(context, age_s):
    wrong = [
        (round(asked_s - context.back_s, 2), round(asked_s - added_s, 2))
        for asked_s, added_s, status in context.answers
        if status == 404 and asked_s - added_s >= age_s
    ]
    assert context.answers
    assert not wrong, (
        f"{len(wrong)} of {len(context.answers)} answers; (s after the return, age of "
        f"the queue in s) of the first {wrong[0]}, of the last {wrong[-1]}"
    )


@then("it serves the newest queue within {within_s:g} s of the store's return")
def serves_newest(context, within_s):
    late = [
        (round(asked_s - context.back_s, 2), status)
        for asked_s, added_s, status in context.answers
        if asked_s - context.back_s >= within_s
        and asked_s - added_s >= IN_FORCE_S
        and status != 200
    ]
    after = [a for a in context.answers if a[0] - context.back_s >= within_s]
    assert after
    assert not late, late[:5]


@given("a store whose answers take {answer_s:g} s on their way back")
def slow_store(context, answer_s):
    new_loop(context)

    async def begin():
        context.world = World(7)
        context.store = SlowAnswers(context.world.store.port("reader"), answer_s)
        clock = SkewedClock(asyncio.get_running_loop(), 0.0)
        context.taken = []
        context.follower = Follower(
            context.store, Topic.JOBS, clock, context.taken.extend
        )
        context.world.tasks["reader"] = asyncio.create_task(context.follower.run())
        await asyncio.sleep(10 * answer_s)

    play(context, begin())


class SlowAnswers:
    """A store port whose answers show the state of a while ago."""

    def __init__(self, port, answer_s):
        self.port = port
        self.answer_s = answer_s

    async def read(self, *args):
        outcome = await self.port.read(*args)
        await asyncio.sleep(self.answer_s)
        return outcome

    async def newest(self, topic):
        outcome = await self.port.newest(topic)
        await asyncio.sleep(self.answer_s)
        return outcome


@when("a record is stored and the log is read whole after it")
def store_and_look(context):
    context.missed = []

    async def look_often():
        for number in range(20):
            await asyncio.sleep(0.137)
            key = f"{number:016x}"
            context.world.store.write(Topic.JOBS, Keyed(key, b"work"))
            assert await context.follower.catch_up(3.0)
            if all(record.key != key for record in context.taken):
                context.missed.append(key)

    play(context, look_often())


@then("the record was among what was read, each time of 20")
def none_missed(context):
    assert not context.missed, f"{len(context.missed)} of 20 records were missed"


@when("the process is suspended for {gone_s:g} s while an answer is on its way")
def suspend(context, gone_s):
    async def until_asked():
        await asyncio.sleep(0.05)

    play(context, until_asked())
    # The answer has reached the machine; the process reads it when it wakes.
    context.loop.now_s += gone_s

    async def wake():
        before_s = context.follower.complete_at_s
        while context.follower.complete_at_s == before_s:
            await asyncio.sleep(0.001)
        context.age_s = context.follower.age_s()

    play(context, wake())


@then("its view is taken to be at least {age_s:g} s old when that answer is read")
def view_age(context, age_s):
    assert context.age_s >= age_s, context.age_s


KEPT_ID = job_id("cafe")
NEW_ID = job_id("f00d")
BODY = b'{"spec":"work","phases":[{"count":1,"cpu":500,"memMb":64}]}'
REQUESTS = {
    "a count of the opened queue": ("GET", "/opened/", b""),
    "a count of the nested queue": ("GET", "/urgent/nested/", b""),
    "a count of the closed queue": ("GET", "/closed/", b""),
    "a new job for the closed queue": ("POST", f"/closed/{NEW_ID}", BODY),
    "the same job as before once more": ("POST", f"/urgent/{KEPT_ID}", BODY),
    "a query for that job": ("GET", f"/urgent/{KEPT_ID}", b""),
}


@given(
    'one instance that gets no answers from the operator\'s log after "kept" ran there'
)
def no_operator_log(context):
    world = context.world
    world.configure(URGENT, BATCH, Queue("closed", "compute"))
    context.narrow = next(name for name in world.instances if name != world.holder())

    async def run_kept():
        await asyncio.sleep(1.0)
        await world.submit(KEPT_ID, URGENT, plain(1), via=context.narrow)
        assert await world.until_done(KEPT_ID, 8.0)
        world.store.unanswered_reads.add((context.narrow, Topic.OPERATOR))

    play(context, run_kept())


@when('the queue "closed" is closed, and "opened" and "urgent/nested" are added')
def change_queues(context):
    opened = [Queue(name, "compute") for name in ("opened", "urgent/nested")]
    context.world.configure(URGENT, BATCH, *opened)


@then("that instance answers {what} with {status:d}")
def answers_with(context, what, status):
    method, path, body = REQUESTS[what]
    request = Request(method, path, {"host": ROUTE_HOST}, body)
    ingress = Ingress(context.world.instances[context.narrow])
    response = play(context, ingress.handle(request))
    assert response.status == status, response


@then("it is not ready")
def not_ready(context):
    assert not context.world.instances[context.narrow].ready()


class AwayAtTimes(SlowAnswers):
    """A store port with slow answers that can be out of reach."""

    away = False

    async def read(self, *args):
        if self.away:
            return Unavailable("out of reach")
        return await super().read(*args)


@given(
    "a reader that waits {wait_s:g} s, of a store that answers after {answer_s:g} s "
    "and was out of reach"
)
def relayed_reader(context, wait_s, answer_s):
    new_loop(context)

    async def begin():
        context.world = World(7)
        context.store = AwayAtTimes(context.world.store.port("reader"), answer_s)
        clock = SkewedClock(asyncio.get_running_loop(), 0.0)
        context.relay = Relay(context.store, PeerDirectory("reader"), None, clock)
        context.taken = []
        context.follower = Follower(
            context.relay, Topic.JOBS, clock, context.taken.extend
        )
        context.follower.wait_s = wait_s
        context.world.tasks["reader"] = asyncio.create_task(context.follower.run())
        await asyncio.sleep(5.0)

    play(context, begin())


@when(
    "a record is stored and the log is read whole after it, just as the store is back"
)
def store_and_look_back(context):
    context.missed = []

    async def look_often():
        for number in range(20):
            context.store.away = True
            while not context.relay.away:
                await asyncio.sleep(0.01)
            context.store.away = False
            await asyncio.sleep(0.45 + 0.02 * number)
            key = f"{number:016x}"
            context.world.store.write(Topic.JOBS, Keyed(key, b"work"))
            assert await context.follower.catch_up(5.0)
            if all(record.key != key for record in context.taken):
                context.missed.append(key)
            await asyncio.sleep(2.0)

    play(context, look_often())


@when("a record is stored every {every_s:g} s for {for_s:g} s")
def store_often(context, every_s, for_s):
    context.ages_s = []

    async def store():
        deadline_s = world_s() + for_s
        while world_s() < deadline_s:
            context.world.store.write(Topic.JOBS, Keyed("key", b"work"))
            for _ in range(round(every_s / 0.01)):
                await asyncio.sleep(0.01)
                context.ages_s.append(context.follower.age_s())

    play(context, store())


@then("the view was never taken to be older than {age_s:g} s")
def never_older(context, age_s):
    assert max(context.ages_s) <= age_s, max(context.ages_s)


@when("a reload is asked for while a read is under way")
def reload_meanwhile(context):
    context.reloads = []
    context.follower.on_reload = context.reloads.append
    context.follower.wait_s = 0.0

    async def ask():
        await asyncio.sleep(1.0)
        reads = context.world.store.reads
        while context.world.store.reads == reads:
            await asyncio.sleep(0.01)
        # The read that has just begun answers after 0.24 s.
        await asyncio.sleep(0.05)
        context.follower.offset = None
        await asyncio.sleep(2.0)

    play(context, ask())


@then("the newest records are read again")
def read_again(context):
    assert len(context.reloads) == 1, context.reloads


async def store_jobs(world, kb_per_s, seconds_s):
    """Write records into the log of jobs, 20 kB each."""
    for _ in range(round(seconds_s * kb_per_s / 20)):
        await asyncio.sleep(20 / kb_per_s)
        world.store.write(Topic.JOBS, Keyed("unreadable", b"x" * 20_000))


@when(
    "the store is silent for it for {away_s:d} s while {kb_per_s:d} kB/s of jobs are "
    "stored"
)
def missed_jobs(context, away_s, kb_per_s):
    world = context.world
    world.store.faults[context.narrow] = STORE_FAULTS["is silent"]
    play(context, store_jobs(world, kb_per_s, away_s))
    world.store.faults.clear()


@when(
    "the store is silent for it for {away_s:d} s while {kb_per_s:d} kB/s of jobs are "
    "stored, and go on"
)
def missed_jobs_and_on(context, away_s, kb_per_s):
    missed_jobs(context, away_s, kb_per_s)

    async def begin():
        world = context.world
        task = asyncio.create_task(store_jobs(world, kb_per_s, 60))
        world.tasks["stores jobs"] = task

    play(context, begin())


@then("its view of the jobs is whole within {within_s:d} s")
def whole_again(context, within_s):
    instance = context.world.instances[context.narrow]

    def whole():
        return instance.jobs.age_s() < 1.0

    assert play(context, context.world.until(whole, within_s)), instance.jobs.age_s()


@given("the configuration has {count:d} queues")
def many_queues(context, count):
    world = context.world
    world.configure(URGENT, BATCH, *OTHER_QUEUES[:count])
    play(context, asyncio.sleep(2.0))


@when("the store is silent for the holder for {away_s:d} s")
def silent_for_holder(context, away_s):
    world = context.world
    context.holder = world.holder()
    context.loads = 0
    follower = world.instances[context.holder].operator
    load = follower._read_newest

    async def counted():
        context.loads += 1
        return await load()

    follower._read_newest = counted
    world.store.faults[context.holder] = STORE_FAULTS["is silent"]
    play(context, asyncio.sleep(away_s))
    world.store.faults.clear()
    play(context, asyncio.sleep(2.0))


@then("it has not read the whole operator's log again")
def not_loaded(context):
    assert context.world.instances[context.holder].operator.age_s() < 2.0
    assert context.loads == 0, context.loads
