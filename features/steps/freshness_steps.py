"""Steps on the age of an instance's view of a log."""

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

# Routes in the configuration that no scenario uses.
UNUSED_QUEUES = [Queue(f"other-{number:04}", "compute") for number in range(500)]
# How often the instance is queried for its queues.
QUERY_INTERVAL_S = 0.1
# How long the operator goes on adding queues after the store is back.
ADD_AFTER_RETURN_S = 6.0
# Time within which a stored configuration has to be in force.
IN_FORCE_S = 2.0


@given("one instance has a link of {mbit_per_s:g} Mbit/s")
def set_slow_link(context, mbit_per_s):
    world = context.world
    context.observed_instance = next(
        name for name in world.instances if name != world.holder()
    )
    world.store.links[context.observed_instance] = Link(mbit_per_s * 1e6 / 8)


async def count_answer(world, name, queue):
    """Return the status of the answer to a count of a queue's jobs."""
    request = Request("GET", f"/{queue.name}/", {"host": ROUTE_HOST}, b"")
    response = await Ingress(world.instances[name]).handle(request)
    return response.status


@when(
    "the store {how} for it for {outage_s:g} s while a queue is added "
    "{per_s:d} times a second"
)
def change_while_away(context, how, outage_s, per_s):
    world = context.world
    context.answers = []
    added = []

    async def operate():
        deadline_s = loop_time_s() + outage_s + ADD_AFTER_RETURN_S
        while loop_time_s() < deadline_s:
            queue = Queue(f"added-{len(added):03}", "compute")
            added.append((loop_time_s(), queue))
            queues = [queue for _, queue in added]
            world.configure(URGENT, BATCH, *UNUSED_QUEUES, *queues)
            await asyncio.sleep(1 / per_s)

    async def query():
        while True:
            asked_s = loop_time_s()
            for added_s, queue in added:
                status = await count_answer(world, context.observed_instance, queue)
                context.answers.append((asked_s, added_s, status))
            await asyncio.sleep(QUERY_INTERVAL_S)

    async def both():
        asking = asyncio.create_task(query())
        world.store.faults[context.observed_instance] = STORE_FAULTS[how]
        operating = asyncio.create_task(operate())
        await asyncio.sleep(outage_s)
        del world.store.faults[context.observed_instance]
        context.back_s = loop_time_s()
        await operating
        asking.cancel()

    play(context, both())


def loop_time_s():
    return asyncio.get_running_loop().time()


@then("it never answers that a queue added {age_s:g} s before or earlier is unknown")
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


@given("a store whose answers take {answer_s:g} s to return")
def slow_store(context, answer_s):
    new_loop(context)

    async def begin():
        context.world = World(7)
        context.store = DelayedStore(context.world.store.port("reader"), answer_s)
        clock = SkewedClock(asyncio.get_running_loop(), 0.0)
        context.records_read = []
        context.follower = Follower(
            context.store, Topic.JOBS, clock, context.records_read.extend
        )
        context.world.tasks["reader"] = asyncio.create_task(context.follower.run())
        await asyncio.sleep(10 * answer_s)

    play(context, begin())


class DelayedStore:
    """A store port that delays its answers, so that they show an earlier state."""

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


@when("a record is stored and the log is then read to its end")
def store_and_read(context):
    context.missed = []

    async def read_repeatedly():
        for number in range(20):
            await asyncio.sleep(0.137)
            key = f"{number:016x}"
            context.world.store.write(Topic.JOBS, Keyed(key, b"work"))
            assert await context.follower.catch_up(3.0)
            if all(record.key != key for record in context.records_read):
                context.missed.append(key)

    play(context, read_repeatedly())


@then("the records read included it in each of 20 attempts")
def none_missed(context):
    assert not context.missed, f"{len(context.missed)} of 20 records were missed"


@when("the process is suspended for {gone_s:g} s while an answer is on its way")
def suspend(context, gone_s):
    async def until_asked():
        await asyncio.sleep(0.05)

    play(context, until_asked())
    # The answer has reached the machine; the process reads it after the resume.
    context.loop.now_s += gone_s

    async def wake():
        before_s = context.follower.complete_at_s
        while context.follower.complete_at_s == before_s:
            await asyncio.sleep(0.001)
        context.age_s = context.follower.age_s()

    play(context, wake())


@then("it considers its view at least {age_s:g} s old when that answer is read")
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
    "one instance that gets no answers from the operator's log "
    'once "kept" has run there'
)
def no_operator_log(context):
    world = context.world
    world.configure(URGENT, BATCH, Queue("closed", "compute"))
    context.observed_instance = next(
        name for name in world.instances if name != world.holder()
    )

    async def run_kept():
        await asyncio.sleep(1.0)
        await world.submit(KEPT_ID, URGENT, plain(1), via=context.observed_instance)
        assert await world.until_done(KEPT_ID, 8.0)
        world.store.unanswered_reads.add((context.observed_instance, Topic.OPERATOR))

    play(context, run_kept())


@when('the queue "closed" is closed, and "opened" and "urgent/nested" are added')
def change_queues(context):
    opened = [Queue(name, "compute") for name in ("opened", "urgent/nested")]
    context.world.configure(URGENT, BATCH, *opened)


@then("that instance answers {what} with {status:d}")
def answers_with(context, what, status):
    method, path, body = REQUESTS[what]
    request = Request(method, path, {"host": ROUTE_HOST}, body)
    ingress = Ingress(context.world.instances[context.observed_instance])
    response = play(context, ingress.handle(request))
    assert response.status == status, response


@then("it is not ready")
def not_ready(context):
    assert not context.world.instances[context.observed_instance].ready()


class InterruptibleStore(DelayedStore):
    """A store port with delayed answers that can be put out of reach."""

    away = False

    async def read(self, *args):
        if self.away:
            return Unavailable("out of reach")
        return await super().read(*args)


@given(
    "a reader that waits {wait_s:g} s on a store that answers after {answer_s:g} s "
    "and was out of reach"
)
def relayed_reader(context, wait_s, answer_s):
    new_loop(context)

    async def begin():
        context.world = World(7)
        context.store = InterruptibleStore(context.world.store.port("reader"), answer_s)
        clock = SkewedClock(asyncio.get_running_loop(), 0.0)
        context.relay = Relay(context.store, PeerDirectory("reader"), None, clock)
        context.records_read = []
        context.follower = Follower(
            context.relay, Topic.JOBS, clock, context.records_read.extend
        )
        context.follower.wait_s = wait_s
        context.world.tasks["reader"] = asyncio.create_task(context.follower.run())
        await asyncio.sleep(5.0)

    play(context, begin())


@when(
    "a record is stored and the log is then read to its end, just as the store is back"
)
def store_and_read_on_return(context):
    context.missed = []

    async def read_repeatedly():
        for number in range(20):
            context.store.away = True
            while not context.relay.away:
                await asyncio.sleep(0.01)
            context.store.away = False
            await asyncio.sleep(0.45 + 0.02 * number)
            key = f"{number:016x}"
            context.world.store.write(Topic.JOBS, Keyed(key, b"work"))
            assert await context.follower.catch_up(5.0)
            if all(record.key != key for record in context.records_read):
                context.missed.append(key)
            await asyncio.sleep(2.0)

    play(context, read_repeatedly())


@when("a record is stored every {every_s:g} s for {for_s:g} s")
def store_often(context, every_s, for_s):
    context.ages_s = []

    async def store():
        deadline_s = loop_time_s() + for_s
        while loop_time_s() < deadline_s:
            context.world.store.write(Topic.JOBS, Keyed("key", b"work"))
            for _ in range(round(every_s / 0.01)):
                await asyncio.sleep(0.01)
                context.ages_s.append(context.follower.age_s())

    play(context, store())


@then("the view was never considered older than {age_s:g} s")
def never_older(context, age_s):
    assert max(context.ages_s) <= age_s, max(context.ages_s)


@when("a reload is requested while a read is in progress")
def reload_meanwhile(context):
    context.reloads = []
    context.follower.on_reload = context.reloads.append
    context.follower.wait_s = 0.0

    async def query():
        await asyncio.sleep(1.0)
        reads = context.world.store.reads
        while context.world.store.reads == reads:
            await asyncio.sleep(0.01)
        # The read that has just begun is answered after 0.24 s.
        await asyncio.sleep(0.05)
        context.follower.offset = None
        await asyncio.sleep(2.0)

    play(context, query())


@then("the newest records are read again")
def read_again(context):
    assert len(context.reloads) == 1, context.reloads


async def store_jobs(world, kb_per_s, seconds_s):
    """Write records of 20 kB each into the log of jobs."""
    for _ in range(round(seconds_s * kb_per_s / 20)):
        await asyncio.sleep(20 / kb_per_s)
        world.store.write(Topic.JOBS, Keyed("unreadable", b"x" * 20_000))


@when(
    "the store is silent for it for {outage_s:d} s while {kb_per_s:d} kB/s of jobs are "
    "stored"
)
def missed_jobs(context, outage_s, kb_per_s):
    world = context.world
    world.store.faults[context.observed_instance] = STORE_FAULTS["is silent"]
    play(context, store_jobs(world, kb_per_s, outage_s))
    world.store.faults.clear()


@when(
    "the store is silent for it for {outage_s:d} s while {kb_per_s:d} kB/s of jobs are "
    "stored, and go on being stored"
)
def missed_jobs_and_on(context, outage_s, kb_per_s):
    missed_jobs(context, outage_s, kb_per_s)

    async def begin():
        world = context.world
        task = asyncio.create_task(store_jobs(world, kb_per_s, 60))
        world.tasks["stores jobs"] = task

    play(context, begin())


@then("its view of the jobs is up to date within {within_s:d} s")
def view_up_to_date(context, within_s):
    instance = context.world.instances[context.observed_instance]

    def whole():
        return instance.jobs.age_s() < 1.0

    assert play(context, context.world.until(whole, within_s)), instance.jobs.age_s()


@given("the configuration has {count:d} queues")
def many_queues(context, count):
    world = context.world
    world.configure(URGENT, BATCH, *UNUSED_QUEUES[:count])
    play(context, asyncio.sleep(2.0))


@when("the store is silent for the holder for {outage_s:d} s")
def silent_for_holder(context, outage_s):
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
    play(context, asyncio.sleep(outage_s))
    world.store.faults.clear()
    play(context, asyncio.sleep(2.0))


@then("it has not read the whole operator's log again")
def not_loaded(context):
    assert context.world.instances[context.holder].operator.age_s() < 2.0
    assert context.loads == 0, context.loads
