"""Steps that run several emulated days with and without a decision."""

from contextlib import nullcontext
from functools import cache
from unittest.mock import patch

from behave import given, then, when

from hornbeampaddle.cell import crashes, dispatch, separating, slow_starts, urgency
from hornbeampaddle.cell.kept_room import KeptRoom
from hornbeampaddle.cell.progress import JobStatus
from hornbeampaddle.cell.scheduler import Scheduler
from hornbeampaddle_standins.cell.demand import Demand, DemandSettings
from hornbeampaddle_standins.cell.emulator import Emulator
from hornbeampaddle_standins.cell.loads import (
    BREAKING,
    EVACUATED,
    FILLER_OVERLOAD,
    HOSTILE,
    SHORT,
)

DAYS = {
    "fillers that all disturb somebody": DemandSettings(
        disturbing_ratio=1.0, batch_per_s=4.0
    ),
    "more for fillers than fits": FILLER_OVERLOAD,
    "fillers that disturb most images": HOSTILE,
    "tasks that crash and workers that shrink": BREAKING,
    "data centres that are evacuated": EVACUATED,
    "room that is short at times": SHORT,
}


def due_order(state, usual, now_s):
    """Sort jobs by due time instead of by their value per remaining work."""
    shared = urgency.job_urgency(state, usual, now_s)
    return shared._replace(order=state.accepted_at_s + state.job.objective_s())


def waited_long(step, now_s):
    """Let finite fillers start at a reduced pace as well."""
    return now_s - (step.ready_at_s or now_s) >= slow_starts.SLOW_AFTER_S


def move_out(cell, worker, original=Scheduler._take_evacuation):
    """Stop the lasting tasks of a data centre as soon as it is evacuated."""
    was_evacuated = worker.evacuated
    original(cell, worker)
    if worker.evacuated and not was_evacuated:
        for run in list(worker.runs.values()):
            if run.step.lasting:
                cell.stop(run, "moves_out")


CHANGES = {
    "as it is": nullcontext,
    "without exchanges": lambda: patch.object(
        separating.Separator, "separate", lambda self, now_s: None
    ),
    "in the order of due times": lambda: patch.object(
        dispatch, "job_urgency", due_order
    ),
    "without giving up": lambda: patch.object(crashes, "count", lambda *_: []),
    "with lasting tasks moved out": lambda: patch.object(
        Scheduler, "_take_evacuation", move_out
    ),
    "without kept room": lambda: patch.object(
        KeptRoom, "active", lambda self, service, now_s: False
    ),
    "with slow starts": lambda: patch.object(slow_starts, "waits_enough", waited_long),
}


@cache
def play_days(kind, count, seconds_s, change):
    """Return the days of seeds 1 to ``count``; a run is deterministic, so cached."""
    emulators = [Emulator(Demand(n + 1, DAYS[kind])) for n in range(count)]
    with CHANGES[change]():
        for emulator in emulators:
            emulator.play(seconds_s)
    return emulators


# The emulator's name of each kind of callers.
KINDS = {"urgent": "urgent", "lasting": "serving", "batch": "batch"}


def share_of(kind, emulators):
    """Return the share of the value of all jobs of a kind that callers received."""
    days = [emulator.earnings()[KINDS[kind]] for emulator in emulators]
    return sum(day.earned for day in days) / sum(day.owed for day in days)


def crashing_jobs(emulator):
    """Return the jobs with a task that crashes its workers."""
    jobs = emulator.cell.jobs
    return {job_id for job_id in jobs if emulator.demand.crashes(job_id)}


def largest_served(emulators):
    """Return how many of the largest tenth of the batch jobs are done."""
    count = 0
    for emulator in emulators:
        batch = [s for s in emulator.submitted.values() if s.kind == "batch"]
        batch.sort(key=lambda s: s.job.work_millis_s(), reverse=True)
        largest = batch[: len(batch) // 10]
        count += sum(s.job.job_id in emulator.done_at_s for s in largest)
    return count


@given("{count:d} emulated days with {kind}")
def several_days(context, count, kind):
    context.count, context.kind = count, kind


@when("{seconds:d} s of each pass")
def pass_days(context, seconds):
    context.days = lambda change: play_days(
        context.kind, context.count, seconds, change
    )


@then("a fifth more cores are open to fillers over a load period than {change}")
def more_open_cores(context, change):
    got, other = (
        sum(emulator.usable_filler_cores() for emulator in context.days(name))
        for name in ("as it is", change)
    )
    assert got >= 1.2 * other, (got, other)


@then("{kind} callers receive {more:g} more of the value of their jobs than {change}")
def more_for_kind(context, kind, more, change):
    got, other = (share_of(kind, context.days(name)) for name in ("as it is", change))
    assert got >= other + more, (got, other)


@then("{kind} callers receive no more than {most:g} less than {change}")
def little_less(context, kind, most, change):
    got, other = (share_of(kind, context.days(name)) for name in ("as it is", change))
    assert got >= other - most, (got, other)


@then("the largest tenth of the batch jobs is served no less than {change}")
def largest_no_less(context, change):
    got, other = (largest_served(context.days(name)) for name in ("as it is", change))
    assert got >= other, (got, other)


@then("on no day fillers kept a serving task over its target for {seconds:d} s")
def not_over_target_on_days(context, seconds):
    longest_s = max(emulator.longest_over_s for emulator in context.days("as it is"))
    assert longest_s < seconds, longest_s


@then("nothing starts on a worker that has become too small")
def no_overruns(context):
    assert not sum(emulator.overruns for emulator in context.days("as it is"))


@then("nothing starts in an evacuated data centre")
def no_evacuated_starts(context):
    days = context.days("as it is")
    assert not sum(emulator.evacuated_starts for emulator in days)


@then("only jobs that crash workers are given up, each after {most:d} crashes at most")
def given_up(context, most):
    for emulator in context.days("as it is"):
        jobs = emulator.cell.jobs
        failed = {name for name, state in jobs.items() if failed_for_crashes(state)}
        assert failed <= crashing_jobs(emulator), failed
        assert emulator.crashes <= most * len(crashing_jobs(emulator))
        assert failed


def failed_for_crashes(state):
    """Return whether a job failed without using up its limit of attempts."""
    if state.status is not JobStatus.FAILED:
        return False
    tasks = (t for steps in state.occurrences.values() for s in steps for t in s.tasks)
    limit = state.job.queue.attempts_max
    return all(len(task.failed_runs) < limit for task in tasks)


@then("callers receive {more:g} more of the value of their jobs than {change}")
def more_for_all(context, more, change):
    got, other = (
        sum(emulator.total() for emulator in context.days(name)) / context.count
        for name in ("as it is", change)
    )
    assert got >= other + more, (got, other)
