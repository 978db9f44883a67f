"""Steps on jobs that are refused for load."""

import asyncio
from collections import Counter
from dataclasses import replace
from random import Random
from types import SimpleNamespace
from unittest.mock import patch

from behave import given, then, when
from support.cell_scene import STORE_FAULTS, job_id, play
from support.cell_walk import plain
from support.refusing_day import RefusingDay
from support.virtual_loop import VirtualLoop

from hornbeampaddle.cell.backlog import QueueBacklog
from hornbeampaddle.cell.jobs import Job
from hornbeampaddle.cell.settings import CellSettings
from hornbeampaddle_cell.admission import Admission, Admit, Competitors, Refuse
from hornbeampaddle_cell.appender import Appender
from hornbeampaddle_cell.backlog_record import BACKLOG_KEY, backlog_record
from hornbeampaddle_cell.callers import Accepted, Gone, NotAccepted, Unknown
from hornbeampaddle_cell.ledger import job_record
from hornbeampaddle_cell.ports import Appended, Keyed, Topic
from hornbeampaddle_cell.settings import InstanceSettings
from hornbeampaddle_standins.cell.demand import Demand
from hornbeampaddle_standins.cell.emulator import Emulator
from hornbeampaddle_standins.cell.loads import LOADS, UNEVEN
from hornbeampaddle_standins.cell.world import BATCH, URGENT

# A job of the usual size: 4 tasks of a second on 2 cores.
USUAL = plain(4)
USUAL_MILLIS_S = 8_000.0
JOBS_PER_S = 2.0
# Far more than the one worker of the crowd's cell can serve, two jobs a second.
CROWD_JOBS = 200
CROWD_EVERY_S = 0.05


def backlog_of(drained_s):
    """Return a backlog whose work all precedes jobs of the usual size."""
    rate = JOBS_PER_S * USUAL_MILLIS_S
    ahead = ((USUAL_MILLIS_S, drained_s * rate),)
    return QueueBacklog(ahead, rate, USUAL_MILLIS_S, 1.0, 1.0)


def batch_job(name, step=USUAL, queue=BATCH, **more):
    return Job(name, queue, "", (step,), 0.0, **more)


JOBS = {
    "a job that may still be worth something": batch_job("a"),
    "a job without a chance": batch_job("a"),
    "a long job that may still be worth something": batch_job(
        "a", replace(USUAL, estimate_s=10.0)
    ),
    "a small job, which is placed first": batch_job("a", plain(1)),
    "a lasting job": batch_job("a", replace(USUAL, lasting=True)),
    "a repeated job": batch_job("a", repeat_count=2),
    "a job of a queue without a latency target": batch_job(
        "a", queue=replace(BATCH, latency_target_s=0.0)
    ),
}


@given("a queue that has work for {drained_s:g} s before a job of the usual size")
def queue_with_work(context, drained_s):
    queue = backlog_of(drained_s)
    context.backlog = {BATCH.name: queue, URGENT.name: queue}
    context.drained_s = drained_s
    context.admission = Admission()


def refused_until(context, job, now_s, admission=None, competitors=None):
    """Return when the caller of a job that has to be refused may come back."""
    admission = admission or context.admission
    decision = admission.decide(job, context.backlog, now_s)
    assert isinstance(decision, Refuse), decision
    return now_s + admission.retry_after_s(
        job, decision.queue, competitors or Competitors(), now_s
    )


@when("room is asked for by {who}")
def ask(context, who):
    context.decision = context.admission.decide(JOBS[who], context.backlog, 0.0)


@then("the job is {told} by load")
def told(context, told):
    kind = {"accepted": Admit, "refused": Refuse}[told]
    assert isinstance(context.decision, kind), context.decision


@when("{count:d} callers without a chance ask within {seconds:d} s")
def crowd_asks(context, count, seconds):
    context.returns_s = [
        refused_until(context, batch_job(str(n)), n * seconds / count)
        for n in range(count)
    ]


@then("they come back in order, no more in a second than the queue serves")
def in_order(context):
    returns_s = context.returns_s
    # Whole seconds: a later caller may be told a moment that is less than one earlier.
    assert all(
        later > earlier - 1
        for earlier, later in zip(returns_s, returns_s[1:], strict=False)
    ), returns_s
    most = max(Counter(int(at_s) for at_s in returns_s).values())
    assert most <= JOBS_PER_S + 1, most


@then("with returns at random times some come back before others refused 3 s earlier")
def random_order(context):
    count = len(context.returns_s)
    random = Random(1)
    returns_s = [
        context.drained_s + random.uniform(0, count / JOBS_PER_S) for _ in range(count)
    ]
    assert any(
        returns_s[later] < returns_s[earlier]
        for earlier in range(count)
        for later in range(earlier + count // 2, count)
    )


@when("10 callers of an urgent queue ask, then 10 of the batch queue")
def two_queues(context):
    context.urgent_s, context.batch_s = (
        [refused_until(context, batch_job(f"{queue.name}{n}", queue=queue), 0.0)
         for n in range(10)]
        for queue in (URGENT, BATCH)
    )  # fmt: skip


@then("all callers of the urgent queue come back first")
def urgent_first(context):
    assert max(context.urgent_s) <= min(context.batch_s)


@when("the first of them asks again at once")
def asks_again(context):
    context.again_s = refused_until(context, batch_job("0"), 6.0)


@then("its wait reaches the time at which there is room, and no further")
def reaches_room(context):
    assert 0 <= context.again_s - (6.0 + context.drained_s) < 1, context.again_s


@given("{large:d} instances of one data centre and {small:d} of another")
def two_data_centres(context, large, small):
    queue_with_work(context, 100)
    context.instances = [Competitors(2, large)] * large + [
        Competitors(2, small)
    ] * small


@when("each of them refuses 10 callers")
def all_refuse(context):
    context.last_s = Counter()
    for competitors in context.instances:
        admission = Admission()
        returns_s = [
            refused_until(context, batch_job(str(n)), 0.0, admission, competitors)
            for n in range(10)
        ]
        # Nine spaces between ten callers of each of the instances.
        rate = competitors.instances * 9 / (returns_s[-1] - returns_s[0])
        context.last_s[competitors.instances] = rate


@then("the callers of both data centres come back at the same rate")
def same_rate(context):
    for rate in context.last_s.values():
        assert abs(rate - JOBS_PER_S / 2) <= 0.1 * JOBS_PER_S, context.last_s


# Emulated days


def emulated(demand_settings, settings=None):
    return RefusingDay(Emulator(Demand(1, demand_settings), settings))


@when("a day of uneven demand is played with and without the part")
def play_uneven(context):
    context.pair = [
        emulated(UNEVEN, CellSettings(publishes_backlog=on)) for on in (True, False)
    ]
    context.published = []
    cell = context.pair[0].emulator.cell
    decide = cell.decide

    def noting(now_s, wall_s):
        decision = decide(now_s, wall_s)
        if decision.backlog is not None:
            context.published.append(decision.backlog)
        return decision

    cell.decide = noting
    for day in context.pair:
        day.emulator.play(20)


@then("both days are the same, and no backlog was published")
def same_days(context):
    done, other = (day.emulator.done_at_s for day in context.pair)
    assert done == other
    assert done
    assert not context.published, context.published
    assert not context.pair[0].refused


CROWD = replace(
    LOADS["usual"],
    workers=12,
    serving_jobs=8,
    urgent_per_s=0.5,
    burst=30.0,
    batch_per_s=1.6,
)


@when("thirty times the usual batch callers come for 6 s")
def play_crowd(context):
    context.without = emulated(CROWD, CellSettings(publishes_backlog=False))
    context.day = emulated(CROWD)
    context.by_all_work = emulated(CROWD)
    for day in (context.without, context.day):
        day.emulator.play(20)
    with patch.object(QueueBacklog, "wait_s", lambda self, order: self.drained_s):
        context.by_all_work.emulator.play(20)
    context.without.emulator.settle(60)


def wrongly_refused(context, day):
    """Return how many of a day's refused jobs were worth something without it."""
    # Three times the objective is the time after which nothing is earned.
    return sum(context.without.served_in_time(name, 3.0) for name in day.refused)


@then("at most {most:d} of those who are refused would have been served in time")
def truly_refused(context, most):
    assert wrongly_refused(context, context.day) <= most, len(context.day.refused)


@then("by all work that waits over {count:d} of them would have been")
def refused_by_all_work(context, count):
    wrong = wrongly_refused(context, context.by_all_work)
    assert wrong > count, (wrong, len(context.by_all_work.refused))


# Cells


def followers(context):
    world = context.world
    return [name for name in sorted(world.instances) if name != world.holder()]


def clock_of(context):
    return context.world.instances[followers(context)[0]].clock


def publish(context, drained_s, age_s=0.0, epochs_ago=0, change=None):
    """Write a backlog of the batch queue into the log of progress."""
    holder = context.world.instances[context.world.holder()].holder
    record = backlog_record(
        {BATCH.name: backlog_of(drained_s)},
        holder.epoch - epochs_ago,
        clock_of(context).wall_s() - age_s,
    )
    if change is not None:
        record = Keyed(record.key, change(record.value))

    async def write():
        context.world.store.write(Topic.PROGRESS, record)

    play(context, write())


@given("the holder has published that the batch queue has work for {drained_s:g} s")
def has_published(context, drained_s):
    publish(context, drained_s)
    play(context, asyncio.sleep(0.5))


@when("the holder publishes that the batch queue has work for {drained_s:g} s")
def publishes(context, drained_s):
    publish(context, drained_s)

    # The followers read this at once, but not the log of jobs.
    async def read():
        for name in followers(context):
            await context.world.instances[name].progress.catch_up(1.0)

    play(context, read())


RECORDS = {
    "is 2.1 s old": {"age_s": 2.1},
    # By a holder whose wall clock is ahead.
    "was read 2.1 s ago": {"age_s": -1.1},
    "is from the future": {"age_s": -4.0},
    "cannot be read": {"change": lambda value: value[:-3]},
    # The version is the first entry of the array.
    "has another version": {"change": lambda value: value[:1] + b"\x02" + value[2:]},
    "holds impossible numbers": {
        "change": lambda value: value.replace(b"\xcd\x1f\x40", b"\xcd\x00\x00")
    },
    "is of an ended epoch": {"epochs_ago": 1},
}


@given("the log has a backlog of the batch queue of {drained_s:g} s that {kind}")
def has_record(context, drained_s, kind):
    # After one that refuses, which it replaces.
    publish(context, drained_s)
    publish(context, drained_s, **RECORDS[kind])
    play(context, asyncio.sleep(2.1 if kind == "was read 2.1 s ago" else 0.5))


@given("callers of the urgent queue hand in a job every {every_s:g} s")
def urgent_callers(context, every_s):
    world = context.world

    async def ask():
        for number in range(1000):
            via = world.holder()
            await world.submit(job_id(f"0a{number:04}"), URGENT, plain(1, 50), via=via)
            await asyncio.sleep(every_s)

    async def begin():
        world.tasks["urgent callers"] = asyncio.create_task(ask())

    play(context, begin())


def hand_in(context, name, via):
    context.outcome = play(
        context, context.world.submit(job_id(name), BATCH, USUAL, via=via)
    )


@when('a batch job "{name}" is handed in through a follower')
def hand_in_via_follower(context, name):
    hand_in(context, name, followers(context)[0])


@when('a batch job "{name}" is handed in through another follower')
def hand_in_via_another(context, name):
    hand_in(context, name, followers(context)[-1])


@when('the store {how} for a follower, through which "{name}" is handed in')
def hand_in_with_fault(context, how, name):
    fault_at(context, how, name, followers(context)[0])


@when('the store {how} for another follower, through which "{name}" is handed in')
def hand_in_with_fault_at_another(context, how, name):
    fault_at(context, how, name, followers(context)[-1])


@when("that follower dies")
def that_follower_dies(context):
    play(context, context.world.kill(followers(context)[-1]))


def fault_at(context, how, name, via):
    world = context.world

    async def ask():
        world.store.faults[via] = STORE_FAULTS[how]
        asking = asyncio.create_task(world.submit(job_id(name), BATCH, USUAL, via=via))
        # The caller gives up; the instance goes on.
        await asyncio.sleep(0.2)
        asking.cancel()

    play(context, ask())


@when("the follower cannot read the log of jobs")
def cannot_read_jobs(context):
    name = followers(context)[0]
    context.world.store.unanswered_reads.add((name, Topic.JOBS))


@when("the follower can read it again")
def can_read_jobs(context):
    context.world.store.unanswered_reads.clear()


@when("the follower dies")
def follower_dies(context):
    play(context, context.world.kill(followers(context)[0]))


@then("the job was refused for load")
def refused_for_load(context):
    assert isinstance(context.outcome, NotAccepted), context.outcome
    assert context.outcome.reason == "no_chance", context.outcome
    assert context.outcome.retry_after_s >= 500, context.outcome


@then("the follower has accepted it")
def accepted(context):
    assert context.outcome == Accepted(), context.outcome


@when('a follower begins to store "{name}" while it reads the log for another try')
def stores_while_reading(context, name):
    world = context.world
    via = followers(context)[0]
    instance = world.instances[via]
    catch_up = instance.jobs.catch_up

    async def read_and_store(timeout_s):
        known = await catch_up(timeout_s)
        world.store.faults[via] = STORE_FAULTS["acts late"]
        record = job_record(batch_job(job_id(name)))
        deadline_s = instance.clock.now_s() + 3.0
        world.tasks["put"] = asyncio.create_task(
            instance.appender.put(record, deadline_s)
        )
        await asyncio.sleep(0.1)
        return known

    with patch.object(instance.jobs, "catch_up", read_and_store):
        hand_in(context, name, via)


@given("a log of jobs that is at work on an append for {append_s:g} s")
def busy_log(context, append_s):
    context.loop = VirtualLoop()
    asyncio.set_event_loop(context.loop)
    context.add_cleanup(context.loop.close)

    async def append(*_):
        await asyncio.sleep(append_s)
        return Appended(1)

    clock = SimpleNamespace(now_s=context.loop.time)
    settings = InstanceSettings("i-1", "i", "dc-1", 1.0)
    store = SimpleNamespace(append=append)
    context.appender = Appender(store, Topic.JOBS, clock, settings)


@when("a record is put for {first_s:g} s, and again for {second_s:g} s")
def put_twice(context, first_s, second_s):
    async def put():
        now_s = context.loop.time()
        running = asyncio.create_task(context.appender.run())
        busy = asyncio.create_task(context.appender.put(Keyed("b", b"1"), now_s + 5))
        await asyncio.sleep(0.1)
        puts = [
            context.appender.put(Keyed("a", b"1"), now_s + after_s)
            for after_s in (first_s, second_s)
        ]
        context.stored = await asyncio.gather(*puts)
        await busy
        running.cancel()

    play(context, put())


@then('the first is told "{first}", the second "{second}"')
def both_told(context, first, second):
    told = [stored.value for stored in context.stored]
    assert told == [first, second], told


@then("the follower says that it cannot know yet")
def cannot_know(context):
    assert isinstance(context.outcome, Unknown), context.outcome


@then('the job "{name}" is not known')
def not_known(context, name):
    via = followers(context)[0]
    assert play(context, context.world.status(job_id(name), via)) == Gone()


@when("a crowd of equal batch jobs comes that takes minutes to serve")
def real_crowd(context):
    world = context.world
    context.refused, context.published = [], []

    async def crowd():
        for number in range(CROWD_JOBS):
            name = job_id(f"fb{number:04}")
            outcome = await world.submit(name, BATCH, USUAL)
            if outcome != Accepted():
                assert outcome.reason == "no_chance", outcome
                context.refused.append(name)
            await asyncio.sleep(CROWD_EVERY_S)
            context.published.append(published_value(context))

    play(context, crowd())


def published_value(context):
    return context.world.store.logs[Topic.PROGRESS].newest.get(BACKLOG_KEY)


@then("some of it is refused, and nothing of those jobs runs")
def some_refused(context):
    assert context.refused
    assert any(context.published), "nothing was published"
    started = {
        key.job_id for w in context.world.workers.values() for key in w.runs
    } | set(context.world.accepted)
    assert not started & set(context.refused), started & set(context.refused)
    assert len(context.refused) < CROWD_JOBS / 2, len(context.refused)


@then("what was published is deleted when the crowd has been served")
def deleted(context):
    play(context, asyncio.sleep(10.0))
    assert published_value(context) is None
