"""Steps on one emulated day of a cell."""

from collections import Counter
from dataclasses import replace
from unittest.mock import patch

from behave import given, then, when
from support.cell_player import LASTING, step

from hornbeampaddle.cell import placing, separating
from hornbeampaddle.cell import workers as workers_module
from hornbeampaddle.cell.advice import Allowance
from hornbeampaddle.cell.jobs import Advice, Job, StepKey
from hornbeampaddle_standins.cell.demand import (
    SERVING,
    Demand,
    DemandSettings,
    Submission,
)
from hornbeampaddle_standins.cell.emulator import Emulator
from hornbeampaddle_standins.cell.loads import LARGE


@given("an emulated day with seed {seed:d} and fillers that all disturb somebody")
def pressing_day(context, seed):
    context.day = lambda: Emulator(
        Demand(seed, DemandSettings(disturbing_ratio=1.0, batch_per_s=4.0))
    )


@given(
    "an emulated day with seed {seed:d} where all fillers interfere with "
    "all serving images"
)
def all_interfering_day(context, seed):
    settings = DemandSettings(
        disturbing_ratio=1.0, two_resource_ratio=1.0, batch_per_s=4.0
    )
    context.day = lambda: Emulator(Demand(seed, settings))


@when("{seconds:d} s of it pass")
def pass_day(context, seconds):
    def play():
        emulator = context.day()
        emulator.play(seconds)
        return emulator

    context.play = play
    context.emulator = play()


@then("at least {count:d} of {total:d} pairs of images are classified correctly")
def pairs(context, count, total):
    emulator = context.emulator
    demand = emulator.demand
    right = sum(
        emulator.cell.model.harmless(serving, filling)
        is (demand.slope(serving, filling) == 0)
        for serving, filling in demand.pairs()
    )
    assert len(list(demand.pairs())) == total
    assert right >= count, right


@then("fillers kept no serving task over its target for {seconds:d} s")
def not_over_target(context, seconds):
    longest_s = context.emulator.longest_over_s
    assert longest_s < seconds, longest_s


@then("batch callers receive at least {ratio:g} of the value of their jobs")
def batch_ratio(context, ratio):
    got = context.emulator.earnings()["batch"].ratio
    assert got >= ratio, got


@then(
    "no more than {ratio:g} if fillers wait for workers where they interfere "
    "with no task"
)
def batch_ratio_without_interference(context, ratio):
    with patch.object(workers_module, "PLACE_SLACK", float("inf")):
        got = context.play().earnings()["batch"].ratio
    assert got <= ratio, got


@given("an emulated day of {count:d} workers with more for fillers than fits")
def large_day(context, count):
    settings = replace(LARGE, workers=count, disturbing_ratio=1.0, batch_per_s=30.0)
    context.scored = Counter()

    def day():
        emulator = Emulator(Demand(1, settings))
        decide, score = emulator.cell.decide, placing.filler_score

        def counted_decide(now_s, wall_s):
            context.scored["decisions"] += 1
            with patch.object(placing, "filler_score", counted_score):
                return decide(now_s, wall_s)

        def counted_score(step, worker, model):
            context.scored["places"] += 1
            return score(step, worker, model)

        emulator.cell.decide = counted_decide
        return emulator

    context.day = day


@then(
    "a decision scores no more than {ratio:d} times as many places as there are workers"
)
def few_scores(context, ratio):
    workers_count = len(context.emulator.workers)
    mean = context.scored["places"] / context.scored["decisions"]
    assert 0 < mean <= ratio * workers_count, mean


@given("a lasting task that needs {what} comes after {at_s:d} s")
def lasting_waits(context, what, at_s):
    make = context.day
    context.exchanged_at_s = []
    need_millis = {"more than is free": 47_000, "more than any worker has": 49_000}
    job = Job("wide", LASTING, "", (step(1, need_millis[what], lasting=True),), 0.0)

    def day():
        emulator = make()
        decide, stop = emulator.cell.decide, emulator.cell.stop

        def decide_with_it(now_s, wall_s):
            if now_s >= emulator.begun_at_s + at_s and "wide" not in emulator.submitted:
                emulator._submit(Submission(at_s, job, "serving", 0.0, (0.0,)))
            return decide(now_s, wall_s)

        def noting_stop(run, reason):
            if reason == separating.REASON:
                context.exchanged_at_s.append(emulator.now_s - emulator.begun_at_s)
            stop(run, reason)

        emulator.cell.decide = decide_with_it
        emulator.cell.stop = noting_stop
        return emulator

    context.day = day


@then("{count} exchanges were made after {since_s:d} s")
def exchanged_after(context, count, since_s):
    later_s = [at_s for at_s in context.exchanged_at_s if at_s > since_s]
    assert bool(later_s) is (count == "some"), later_s


@given("its serving jobs are of a queue with {what}")
def bounded_queue(context, what):
    make = context.day
    context.exchanges = []

    def day():
        emulator = make()
        if what == "advice":
            limited = replace(SERVING, advice=Advice(0.01, 0.001))
            give_advice(emulator, limited)
        stop = emulator.cell.stop

        def counting_stop(run, reason):
            if reason == separating.REASON:
                context.exchanges.append(run.key)
            stop(run, reason)

        emulator.cell.stop = counting_stop
        return emulator

    context.day = day


def give_advice(emulator, queue):
    """Move serving jobs to a queue with advice that allows every worker."""
    tickets = dict.fromkeys(emulator.cell.workers, "ticket")
    add_job = emulator.cell.add_job

    def add(job, progress, accepted_at_s, now_s):
        if job.queue.name == SERVING.name:
            job = replace(job, queue=queue)
            allowance = Allowance(tickets, now_s + 1e6)
            emulator.cell.advice.answer(StepKey(job.job_id, 0, 0), allowance, now_s)
        add_job(job, progress, accepted_at_s, now_s)

    emulator.cell.add_job = add


@then("{count} exchanges were made")
def exchanges(context, count):
    assert bool(context.exchanges) is (count == "some"), context.exchanges
