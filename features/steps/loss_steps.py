"""Steps on the time that late jobs lose in each stage."""

import json

from behave import given, then, when
from steps.trace_steps import LINES
from support.cell_player import BATCH, prepared, step

from hornbeampaddle_cli.losses import WORK_STAGES, losses
from hornbeampaddle_cli.story import parse

JOB = "00000000000000aa"


def line(at_s, event, job=JOB, **fields):
    return {"event": event, "timestamp": 1000.0 + at_s, "job": job, **fields}


def accepted(at_s, job=JOB):
    return line(at_s, "submit: answered", job, queue="batch", stored="yes")


def start(at_s, step, run=1, waited_s=0.0):
    task = [JOB, 0, step, 0]
    return line(at_s, "start", task=task, run=run, waited_s=waited_s)


def done(at_s, step, run=1):
    return line(at_s, "run_done", task=[JOB, 0, step, 0], run=run)


def finished(at_s, age_s, objective_s, status="completed", job=JOB):
    fields = {"status": status, "age_s": age_s, "objective_s": objective_s}
    return line(at_s, "job_finished", job, **fields)


@given("the log of a job of two steps whose second was moved and slowed")
def moved_and_slowed(context):
    task = [JOB, 0, 1, 0]
    context.lines = [
        accepted(0.0),
        start(1.0, 0, waited_s=0.5),
        done(2.0, 0),
        start(3.0, 1, waited_s=1.0),
        line(5.0, "run_ended", task=task, run=1, how="stopped", asked="moves_away"),
        start(6.0, 1, run=2, waited_s=4.0),
        line(6.0, "pace", task=task, percent=50),
        done(10.0, 1, run=2),
        finished(10.0, 10.0, 8.0),
    ]


@given(
    "the log of a job that waited for 2 s, as its last line says for no_room "
    "and no_spare"
)
def short_waits(context):
    context.lines = [
        accepted(0.0),
        start(2.0, 0, waited_s=2.0),
        done(3.0, 0),
        finished(3.0, 3.0, 2.0) | {"waited_s": {"no_room": 1.5, "no_spare": 0.5}},
    ]


@when(
    "a batch job of {tasks:d} x {cores:d} cores comes and the lasting tasks are "
    "cancelled {after_s:d} s later"
)
def wait_for_lasting(context, tasks, cores, after_s):
    context.player = player = prepared(context)
    player.submit("batch", BATCH, step(tasks, cores * 1000), 1.0)
    player.play(after_s)
    player.cell.cancel("lasting", player.now_s)
    player.play(5.0)


@then("the last line of the batch job says that it waited {seconds_s:d} s for {reason}")
def last_line(context, seconds_s, reason):
    notes = [note for _, note in context.player.notes if note.event == "job_finished"]
    waited_s = next(n.detail["waited_s"] for n in notes if n.job_id == "batch")
    # A stop takes 0.3 s, and a decision comes each tenth of a second.
    assert list(waited_s) == [reason], waited_s
    assert seconds_s - 0.1 <= waited_s[reason] <= seconds_s + 0.6, waited_s


@given("the log of a job that waited for 6 s, 3 s of them while nobody held the cell")
def without_holder(context):
    state = {"event": "cell: state"}
    began = {"event": "holder: began"}
    context.lines = [
        accepted(0.0),
        state | {"timestamp": 1002.0},
        line(1.5, "job_waits", reason="no_room"),
        began | {"timestamp": 1005.0},
        line(5.9, "job_waits", reason="no_room"),
        start(6.0, 0, waited_s=6.0),
        done(7.0, 0),
        finished(7.0, 7.0, 3.0),
    ]


@given("the log of a job that was accepted 1 s before a holder was lost for 3 s")
def accepted_before_loss(context):
    context.lines = [
        accepted(0.0),
        {"event": "cell: state", "timestamp": 1001.0},
        {"event": "holder: began", "timestamp": 1004.0},
        start(4.5, 0),
        done(5.5, 0),
        finished(5.5, 5.5, 3.0),
    ]


@given("the log of a job that was on time and of one that was cancelled")
def on_time(context):
    other = "00000000000000bb"
    context.lines = [
        accepted(0.0),
        accepted(0.0, other),
        start(0.1, 0),
        done(1.0, 0),
        finished(1.0, 1.0, 3.0),
        finished(9.0, 9.0, 3.0, "cancelled", other),
    ]


def compute_losses(context):
    # With a prefix, as log collectors deliver them.
    texts = ["12.5 node-1 " + json.dumps(entry) for entry in context.lines]
    return losses(parse(texts))


@then("its time is attributed as")
def time_attributed(context):
    spent = {row.stage: round(row.seconds, 3) for row in compute_losses(context).rows}
    assert spent == {row["stage"]: float(row["seconds"]) for row in context.table}


@then("it counts as one late job")
def one_late(context):
    result = compute_losses(context)
    assert result.late == {"batch": 1}, result.late
    shares = sum(row.jobs for row in result.rows)
    assert round(shares, 6) == 1.0, shares
    assert not [r for r in result.rows if r.stage in WORK_STAGES and r.jobs]


@then("no job is late and no stage costs anything")
def none_late(context):
    result = compute_losses(context)
    assert result.ended == {"batch": 1}, result.ended
    assert not result.late
    assert not result.rows


@then("its losses name {count:d} jobs that ended, and stages for each that was late")
def losses_of_simulated_cell(context, count):
    result = losses(parse(LINES))
    assert sum(result.ended.values()) == count, result.ended
    late = sum(result.late.values())
    assert late, "no job was late: the holder's death cost nothing"
    shares = sum(row.jobs for row in result.rows)
    assert round(shares, 3) == late, (shares, late)
