"""Steps on run times that are learned from reports and ends."""

import math
from functools import cache

import msgspec
from behave import given, then, when
from support.cell_player import BATCH, Player, step

from hornbeampaddle.cell.incarnations import WorkerId
from hornbeampaddle.cell.jobs import Job, TaskKey
from hornbeampaddle.cell.learned import RUN_TIMES_KEY
from hornbeampaddle.cell.progress import JobStatus, Run, RunPhase
from hornbeampaddle.cell.reports import EndKind
from hornbeampaddle.cell.run_times import RunTimes
from hornbeampaddle.cell.scheduler import Scheduler
from hornbeampaddle.cell.settings import CellSettings
from hornbeampaddle_standins.cell.demand import Demand, DemandSettings
from hornbeampaddle_standins.cell.emulator import Emulator
from hornbeampaddle_standins.cell.loads import LOADS as NAMED_LOADS

LOADS = NAMED_LOADS | {
    "estimates off": DemandSettings(
        batch_per_s=5.0,
        load=0.5,
        disturbing_ratio=0.8,
        estimate_spread=0.9,
        urgent_estimate_spread=0.2,
        urgent_task_spread=0.15,
        batch_task_spread=0.3,
    )
}
REPORT_EVERY_S = 0.2
# Mean work of a step, and the range of it.
ESTIMATES_S = (0.5, 0.8, 1.2, 2.0, 3.0)


def job_of(name, estimate_s, **more):
    more = {"filler": True, "saves_checkpoints": True} | more
    return Job(name, BATCH, "p", (step(4, 1000, estimate_s, **more),), 0.0)


def begin(job, position, worker, now_s, percent=0.0):
    """Return a run that a worker has confirmed."""
    key = TaskKey(job.job_id, 0, 0, position)
    run = Run(key, 1, WorkerId(worker), job.steps[0], job.steps[0].charge)
    run.phase, run.sent_at_s, run.confirmed_at_s = RunPhase.RUNNING, now_s, now_s
    run.resumed = percent > 0
    return run


def play_run(times, job, run, work_s, pace=1.0, percent=0.0, heard=lambda n: True):
    """Report a run until it ends; return what was expected of it by then."""
    now_s, number, expected = run.sent_at_s, 0, []
    run.pace_percent = round(100 * pace)
    run.used_cpu_millis = round(1000 * pace)
    end_s = now_s + work_s * (1 - percent / 100) / pace
    while (now_s := now_s + REPORT_EVERY_S) < end_s:
        number += 1
        done = percent + 100 * (now_s - run.sent_at_s) * pace / work_s
        if heard(number):
            run.progress_percent = math.floor(done)
            times.observe_progress(job, run, now_s)
            expected.append((now_s, end_s, times.remaining(job, run, now_s)))
    times.observe_done(job, run, end_s)
    return expected


def play_step(context, name, works_s, estimate_s, workers="abcd", **more):
    job = job_of(name, estimate_s)
    return [
        entry
        for position, (work_s, worker) in enumerate(zip(works_s, workers, strict=True))
        for entry in play_run(
            context.times,
            job,
            begin(job, position, worker, context.now_s, more.get("percent", 0.0)),
            work_s,
            **more,
        )
    ]


@given("a queue whose steps take {factor:f} times their estimates")
def biased_queue(context, factor):
    context.factor, context.now_s = factor, 100.0
    context.times = RunTimes(CellSettings())


@when("{count:d} steps of its jobs have ended")
def steps_end(context, count):
    for number in range(count):
        estimate_s = ESTIMATES_S[number % len(ESTIMATES_S)]
        work_s = context.factor * estimate_s
        play_step(context, f"job{number}", [work_s] * 4, estimate_s)
        context.now_s += 1.0


@when("another holder takes over with the record")
def take_over(context):
    record = context.times.encode()
    assert len(record) < 200
    cell = Scheduler(CellSettings())
    cell.inherit_learned({RUN_TIMES_KEY: record})
    context.times = cell.run_times


@then("its estimates are {trust}")
def trust(context, trust):
    assert context.times.off(BATCH) is (trust == "called off")


@then("its predictions are off by less than {error:f}")
def predictions(context, error):
    for estimate_s in ESTIMATES_S:
        task_s = context.times.task_s(BATCH, job_of("next", estimate_s).steps[0])
        off = abs(math.log(task_s / (context.factor * estimate_s)))
        assert off < math.log(error), (estimate_s, task_s)


@given("emulated days with estimates that are off and more batch jobs than room")
def pressing_days(context):
    context.load, context.seeds = "estimates off", range(1, 5)


@given("emulated days of load {load} with seeds {first:d} to {last:d}")
def days(context, load, first, last):
    context.load, context.seeds = load.strip('"'), range(first, last + 1)


@cache
def play_day(load, seed, learns, seconds=50):
    """Return the earnings of a day, and what each decision said."""
    emulator = Emulator(
        Demand(seed, LOADS[load]), CellSettings(learns_run_times=learns)
    )
    decide, said = emulator.cell.decide, []

    def noted(now_s, wall_s):
        decision = decide(now_s, wall_s)
        starts = [(run.key, run.number, run.worker_id) for run in decision.starts]
        stops = [(order.run.key, order.reason) for order in decision.stops]
        paces = [(order.run.key, order.percent) for order in decision.paces]
        said.append((now_s, starts, stops, paces, decision.records))
        return decision

    emulator.cell.decide = noted
    emulator.play(seconds)
    emulator.settle(8)
    return emulator.earnings(), said


@then('"{kind}" callers get at least {gain:f} more with learned run times than without')
def callers_get_more(context, kind, gain):
    shares = [
        sum(
            play_day(context.load, seed, learns)[0][kind].ratio
            for seed in context.seeds
        )
        / len(context.seeds)
        for learns in (False, True)
    ]
    assert shares[1] >= shares[0] + gain, shares


@then("each decision is the same with learned run times and without")
def same_decisions(context):
    for seed in context.seeds:
        _, without = play_day(context.load, seed, False, 30)
        _, learned = play_day(context.load, seed, True, 30)
        assert any(starts for _, starts, *_ in without)
        assert without == learned


@given("a step of 4 tasks that take {work_s:f} s at full speed")
def one_step(context, work_s):
    context.times, context.now_s = RunTimes(CellSettings()), 100.0
    context.work_s = work_s


@when("they run at a pace of {percent:d} percent until they end")
def paced(context, percent):
    play_step(context, "job", [context.work_s] * 4, 1.0, pace=percent / 100)


@when("they resume from a checkpoint at {percent:d} percent and end")
def resumed(context, percent):
    play_step(context, "job", [context.work_s] * 4, 1.0, percent=float(percent))


@when(
    "{count:d} of 4 runs resume at {percent:d} percent and end before their CPU use is "
    "known"
)
def end_unmeasured(context, count, percent):
    context.times = times = RunTimes(CellSettings())
    job = job_of("job", 1.0)
    for position, worker in enumerate("abcd"):
        resumed = position < count
        run = begin(job, position, worker, 100.0, percent if resumed else 0.0)
        run.progress_percent = percent if resumed else 0.0
        run.used_cpu_millis = 0 if resumed else 1000
        times.observe_progress(job, run, 100.5)
        times.observe_done(job, run, 100.9)


@then("no run time of nothing is learned")
def no_zero(context):
    for fit in context.times.fits.values():
        assert fit.sum_y / fit.weight > math.log(0.5), fit


@when("its runs are replaced after {after_s:f} s and the replaced ones end at once")
def replaced_runs_end(context, after_s):
    player = context.player
    player.play(after_s)
    replaced = list(player.cell.jobs["job"].runs())
    for run in replaced:
        player.cell.release(run, player.now_s, "not_on_worker")
    player.tick()
    for run in replaced:
        worker = player.cell.workers[run.worker_id]
        player._end(worker, run, EndKind.DONE)
    player.tick()
    assert player.cell.jobs["job"].status is JobStatus.COMPLETED
    context.times = player.cell.run_times


@then("its run time is known as {work_s:f} s")
def known(context, work_s):
    fit = context.times.fits[BATCH.name]
    seen_s = math.exp(fit.sum_y / fit.weight)
    assert abs(seen_s - work_s) < 0.15 * work_s, seen_s


@then("nothing is known of its run time")
def unknown(context):
    assert not context.times.fits


@given(
    "{count:d} steps of 4 tasks that take {work_s:f} s, each with a task on a worker "
    "{ratio:d} times slower"
)
def slow_worker(context, count, work_s, ratio):
    context.times, context.now_s = RunTimes(CellSettings()), 100.0
    context.work_s, context.ratio = work_s, ratio
    for number in range(count):
        works_s = [work_s] * 3 + [ratio * work_s]
        play_step(context, f"job{number}", works_s, 0.5)


@when("a step runs on that worker alone")
def alone(context):
    for number in range(20):
        works_s = [context.ratio * context.work_s] * 4
        play_step(context, f"slow{number}", works_s, 0.5, "dddd")


@then("its queue's prediction is still {work_s:f} s")
def prediction(context, work_s):
    assert context.times.off(BATCH)
    task_s = context.times.task_s(BATCH, job_of("next", 0.5).steps[0])
    # Eight readings outweigh the estimate of 0.5 s, but not wholly.
    assert 0.5 * work_s < task_s < 1.1 * work_s, task_s


@when("every other report on them is lost")
def lost_reports(context):
    works_s = [context.work_s] * 4
    context.expected = play_step(
        context, "job", works_s, 0.3, heard=lambda number: number % 2 == 0
    )


@then("each run is expected to end when it does")
def expected_ends(context):
    observed = [entry for entry in context.expected if entry[2].observed]
    assert len(observed) > 8
    for now_s, end_s, remaining in observed:
        assert abs(now_s + remaining.expected_s - end_s) < 0.2
        assert now_s + remaining.longest_s > end_s


def _changed(record, place, value):
    fields = msgspec.msgpack.decode(record)
    fields[1][BATCH.name][1][place] = value
    return msgspec.msgpack.encode(fields)


def bad_record(kind):
    times = RunTimes(CellSettings())
    job = job_of("job", 1.0)
    for position in range(4):
        play_run(times, job, begin(job, position, "a", 100.0), 1.0)
    good = times.encode()
    fields = msgspec.msgpack.decode(good)
    fields[1][BATCH.name][1][0] = math.nan
    return {
        "with a huge error": _changed(good, 5, 1e300),
        "with a huge sum": _changed(good, 2, 9e4),
        "with a wrong sum": _changed(good, 1, 90.0),
        "garbage": b"\xc1\xff",
        "empty": b"",
        "of another version": msgspec.msgpack.encode([99, "other"]),
        "with a sum of nan": msgspec.msgpack.encode(fields),
        "cut short": good[:-3],
    }[kind]


@when("a holder takes over with a record of run times that is {kind}")
def take_over_bad(context, kind):
    context.entries = []
    cell = Scheduler(CellSettings(), context.entries.append)
    cell.inherit_learned({RUN_TIMES_KEY: bad_record(kind)})
    context.times = cell.run_times


@then("the unusable record is logged")
def logged(context):
    events = [entry.event for entry in context.entries]
    assert events == ["learned_record_unusable"], events


@then("estimates are trusted")
def all_trusted(context):
    assert not context.times.fits


@given(
    "a cell with room for a job that is estimated at {estimate_s:f} s and takes "
    "{work_s:f} s"
)
def cell_with_job(context, estimate_s, work_s):
    context.player = Player()
    context.player.add_workers(4, 16_000)
    context.player.submit("job", BATCH, step(4, 1000, estimate_s), work_s)


@when("the job has ended")
def job_ended(context):
    context.player.play(4)


@then(
    "its line says an objective of about {objective_s:f} s and an estimated one of "
    "{estimated_s:f} s"
)
def finished_line(context, objective_s, estimated_s):
    (detail,) = [
        entry.detail
        for _, entry in context.player.notes
        if entry.event == "job_finished"
    ]
    assert abs(detail["objective_s"] - objective_s) < 0.3, detail
    assert detail["estimated_s"] == estimated_s
