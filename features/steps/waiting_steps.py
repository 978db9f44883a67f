"""Steps on waiting jobs and on what may start meanwhile."""

from collections import Counter
from dataclasses import replace
from itertools import pairwise

from behave import given, then, when
from support.cell_player import BATCH, GIB, LASTING, URGENT, prepared, step

from hornbeampaddle.cell.advice import Allowance
from hornbeampaddle.cell.incarnations import WorkerId
from hornbeampaddle.cell.jobs import Advice, StepKey
from hornbeampaddle.cell.workers import WorkerListing
from hornbeampaddle.machines import Address
from hornbeampaddle.resources import Resources


def reserve_all_cpu(player, serving=False):
    """Reserve all CPU for lasting tasks."""
    more = {"image": "site", "tail_target_s": 0.1} if serving else {}
    player.submit("full", LASTING, step(16, 4_000, lasting=True, **more), 1e9)
    player.play(1.0)


def unlabelled(player):
    return BATCH, step(1, 4_000, worker_label="nowhere")


def unadvised(player):
    return replace(BATCH, name="advised", advice=Advice(0.01, 0.001)), step(1, 4_000)


def without_free(player):
    reserve_all_cpu(player)
    return BATCH, step(1, 4_000)


def without_spare(player):
    reserve_all_cpu(player)
    fillers = step(4, 8_000, filler=True, image="night")
    player.submit("fillers", BATCH, fillers, 1e9)
    player.play(1.0)
    return BATCH, step(1, 8_000, filler=True, image="night")


def disturbing(player):
    reserve_all_cpu(player, serving=True)
    return BATCH, step(1, 8_000, filler=True, image="night")


def wide_gang(player):
    return BATCH, step(5, 16_000, gang=True)


WAITS = {
    "no worker has its label": unlabelled,
    "nobody answers its question for advice": unadvised,
    "lasting tasks hold all processors": without_free,
    "fillers use all spare processors": without_spare,
    "it would disturb whoever serves there": disturbing,
    "fewer workers are free than it has members": wide_gang,
}


@when("a job waits in a cell where {case} for {seconds:g} s")
def job_waits(context, case, seconds):
    context.player = player = prepared(context)
    queue, make_step = WAITS[case](player)
    player.submit("waits", queue, make_step, 1.0)
    player.play(seconds)


def waits_of(player, job_id):
    return [
        (at_s, note.detail)
        for at_s, note in player.notes
        if note.event == "job_waits" and note.job_id == job_id
    ]


@then("its wait is logged once, with the reason {reason}")
def logged_once(context, reason):
    logged = waits_of(context.player, "waits")
    assert [detail["reason"] for _, detail in logged] == [reason], logged
    assert 3.0 <= logged[0][1]["waited_s"] < 4.0, logged


@when("{count:d} batch jobs wait for {seconds:g} s")
def many_wait(context, count, seconds):
    context.player = player = prepared(context)
    context.waiting = [f"waits{number}" for number in range(count)]
    for job_id in context.waiting:
        player.submit(job_id, BATCH, step(1, 4_000), 1.0)
    player.play(seconds)


@then("every one of them has logged why it waits")
def all_logged(context):
    silent = [j for j in context.waiting if not waits_of(context.player, j)]
    assert not silent, silent


@then(
    "no decision logged more than {most:d} waits and no job more than one "
    "in {pause_s:g} s"
)
def few_log_entries(context, most, pause_s):
    player = context.player
    logged_at_s = [at_s for at_s, note in player.notes if note.event == "job_waits"]
    assert max(Counter(logged_at_s).values()) <= most
    for job_id in context.waiting:
        times_s = [at_s for at_s, _ in waits_of(player, job_id)]
        gaps_s = [b - a for a, b in pairwise(times_s)]
        assert all(gap_s >= pause_s - 0.01 for gap_s in gaps_s), (job_id, gaps_s)


@given("fillers of other jobs use all spare processors for {work_s:g} s")
def spare_used(context, work_s):
    def fill(player):
        for number in range(4):
            filler = step(2, 8_000, work_s, filler=True, image="night")
            player.submit(f"night{number}", BATCH, filler, work_s)
        player.play(1.0)

    context.setup.append(fill)


@when("a filler job of {count:d} x {cpu_millis:d} thousandths of a core is handed in")
def filling_job(context, count, cpu_millis):
    context.player = player = prepared(context)
    filler = step(count, cpu_millis, filler=True, image="day")
    player.submit("late", BATCH, filler, 60.0)


@when(
    "a lasting filler job of {count:d} x {cpu_millis:d} thousandths of a core "
    "is handed in"
)
def lasting_filling_job(context, count, cpu_millis):
    context.player = player = prepared(context)
    filler = step(count, cpu_millis, filler=True, lasting=True, image="day")
    player.submit("late", LASTING, filler, 1e9)


@given("fillers use the processors of the only worker in the rack of some data")
def rack_used(context):
    def fill(player):
        for name, worker in player.cell.workers.items():
            rack = "r-0" if name == "w0" else "r-1"
            listing = replace(worker.listing, labels=frozenset({rack}))
            player.cell.list_worker(listing, player.now_s)
        filler = step(2, 8_000, filler=True, image="night", worker_label="r-0")
        player.submit("night", BATCH, filler, 1e9)
        player.play(1.0)

    context.setup.append(fill)


@when("a filler job with that data is handed in")
def filling_job_with_data(context):
    context.player = player = prepared(context)
    filler = step(1, 4_000, filler=True, image="day", data_rack="r-0")
    player.submit("late", BATCH, filler, 60.0)


@then("it has a task at work within {within_s:g} s")
def at_work(context, within_s):
    player = context.player
    player.play(within_s)
    logged = waits_of(player, "late")
    assert player.cell.jobs["late"].runs(), logged


@then("it runs at no more than {percent:d} % of its speed while the others run")
def slow_start(context, percent):
    player = context.player
    paces = set()
    while "night0" not in player.finished_s:
        player.tick()
        paces |= {run.pace_percent for run in player.cell.jobs["late"].runs()}
    assert max(paces) <= percent, paces


@then("it runs at full speed once they are done")
def full_speed(context):
    context.player.play(4.0)
    runs = context.player.cell.jobs["late"].runs()
    assert [run.pace_percent for run in runs] == [100] * 6, runs


@given("{count:d} workers of another service that lasting tasks fill")
def other_service(context, count):
    def fill(player):
        room = Resources(16_000, 512 * GIB, 0)
        address = Address("127.0.0.1", 1)
        for number in range(count):
            name = WorkerId(f"other{number}")
            listing = WorkerListing(name, "other", address, "dc-1", room)
            player.cell.list_worker(listing, player.now_s)
            player.ends[name] = []
        player.tick()
        full = step(count, 16_000, lasting=True)
        queue = replace(LASTING, name="other", service="other")
        player.submit("other", queue, full, 1e9)
        player.play(1.0)
        assert len(player.cell.jobs["other"].runs()) == count

    context.setup.append(fill)


@given("a serving task of {cores:d} cores on each of them")
def serve_everywhere(context, cores):
    def serve(player):
        serving = step(
            len(player.cell.workers),
            cores * 1000,
            lasting=True,
            per_worker_max=1,
            image="site",
            tail_target_s=0.1,
        )
        player.submit("site", LASTING, serving, 1e9)
        player.play(1.0)

    context.setup.append(serve)


@when("a filler gang of {count:d} x {cores:d} cores is handed in")
def filling_gang(context, count, cores):
    context.player = player = prepared(context)
    gang = step(count, cores * 1000, filler=True, image="day", gang=True)
    player.submit("late", BATCH, gang, 60.0)


@then("all of its {count:d} tasks started at a reduced pace")
def gang_pace(context, count):
    runs = context.player.cell.jobs["late"].runs()
    assert len(runs) == count, runs
    assert all(run.first_pace_percent < 50 for run in runs), runs


@when("a filler of {cores:d} cores of an advised queue is handed in")
def advised_filler(context, cores):
    context.player = player = prepared(context)
    advised = replace(BATCH, name="advised", advice=Advice(0.01, 0.001))
    player.submit("late", advised, step(1, cores * 1000, filler=True, image="day"), 9.0)
    tickets = dict.fromkeys(player.cell.workers, "ticket")
    allowance = Allowance(tickets, player.now_s + 60)
    player.cell.advice.answer(StepKey("late", 0, 0), allowance, player.now_s)


@then("its start carries a ticket")
def carries_ticket(context):
    runs = context.player.cell.jobs["late"].runs()
    assert [run.ticket for run in runs] == ["ticket"], runs


@given("advice allows only the worker that was listed last")
def allows_last(context):
    def allow(player):
        player.allowed = {list(player.cell.workers)[-1]}

    context.setup.append(allow)


@when("a job of a queue with advice is handed in")
def advised_job(context):
    context.player = player = prepared(context)
    context.asked = Counter()
    decide = player.cell.decide

    def counting_decide(now_s, wall_s):
        decision = decide(now_s, wall_s)
        for question in decision.questions:
            context.asked.update(question.worker_ids)
        return decision

    player.cell.decide = counting_decide
    advised = replace(BATCH, name="advised", advice=Advice(0.01, 0.001))
    player.submit("late", advised, step(1, 4_000), 9.0)


@then("no worker was asked about twice")
def asked_once(context):
    assert max(context.asked.values()) == 1, context.asked


@when(
    "a filler step of {count:d} tasks, of which a worker may have {most:d}, "
    "waits for {seconds:g} s"
)
def limited_filler(context, count, most, seconds):
    context.player = player = prepared(context)
    filler = step(count, 1_000, filler=True, image="day", per_worker_max=most)
    player.submit("late", BATCH, filler, 60.0)
    player.play(seconds)


@then("no worker has more than {most:d} of its tasks")
def within_limit(context, most):
    runs = context.player.cell.jobs["late"].runs()
    counts = Counter(run.worker_id for run in runs)
    assert max(counts.values()) <= most, counts


@then("{count:d} of its tasks are at work")
def tasks_at_work(context, count):
    runs = context.player.cell.jobs["late"].runs()
    assert len(runs) == count, runs


@when("newer jobs are handed in for {seconds:d} s")
def newer_jobs(context, seconds):
    for number in range(seconds):
        newer = step(1, 1_000, filler=True, image="day")
        context.player.submit(f"newer{number}", BATCH, newer, 1.0)
        context.player.play(1.0)


@then("it has nothing at work")
def nothing_at_work(context):
    assert not context.player.cell.jobs["late"].runs()


@given("lasting tasks of {cores:d} cores fill all but a quarter of them")
def fill_most(context, cores):
    fill_most_from_queue(context, cores, LASTING)


@given(
    "lasting tasks of {cores:d} cores and priority {priority:d} "
    "fill all but a quarter of them"
)
def fill_most_with_priority(context, cores, priority):
    fill_most_from_queue(context, cores, replace(LASTING, priority=priority))


def fill_most_from_queue(context, cores, queue):
    def lasting(player):
        player.submit("lasting", queue, step(24, cores * 1000, lasting=True), 1e9)
        player.play(3.0)

    context.setup.append(lasting)


@when(
    "urgent jobs of {tasks:d} x {cores:d} cores come {per_s:d} times a second "
    "for {for_s:d} s"
)
def urgent_pressure(context, tasks, cores, per_s, for_s):
    player = context.player = prepared(context)
    stopped_since_s = {}
    context.stopped_s = []

    def watch(player):
        for step_state in player.cell.jobs["lasting"].occurrences[0]:
            for task in step_state.tasks:
                if task.run is None:
                    stopped_since_s.setdefault(task.key, player.now_s)
                elif task.key in stopped_since_s:
                    context.stopped_s.append(
                        player.now_s - stopped_since_s.pop(task.key)
                    )

    begun_at_s = player.now_s
    count = 0
    while player.now_s < begun_at_s + for_s:
        if player.now_s >= begun_at_s + count / per_s:
            player.submit(f"urgent{count}", URGENT, step(tasks, cores * 1000), 1.0)
            count += 1
        player.tick()
        watch(player)
    # Tasks that are still stopped count with the time until now.
    context.stopped_s += [
        player.now_s - since_s for since_s in stopped_since_s.values()
    ]


@then("no lasting task was stopped for longer than {most_s:g} s")
def not_stopped_long(context, most_s):
    longest_s = max(context.stopped_s, default=0.0)
    assert longest_s <= most_s, longest_s


@then("lasting tasks were preempted for urgent jobs")
def lasting_preempted(context):
    assert context.stopped_s


VIEWS = {
    "the list of workers": "list_complete_at_s",
    "the operator's log": "evacuations_complete_at_s",
}


@when("{view} is {age_s:g} s old as an urgent job of {tasks:d} x {cores:d} cores comes")
def urgent_by_old_view(context, view, age_s, tasks, cores):
    context.player = player = prepared(context)
    setattr(player.cell, VIEWS[view], player.now_s - age_s)
    player.submit("urgent", URGENT, step(tasks, cores * 1000), 1.0)
    player.tick()


@then("{count} lasting tasks are stopped for it")
def stopped_for_it(context, count):
    stopped = [run for _, run in context.player.stops if run.step.lasting]
    assert bool(stopped) is (count == "some"), stopped
