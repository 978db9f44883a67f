"""Steps on reports of workers, and on what they leave out."""

from behave import given, then, when
from support.cell_player import BATCH, Player, step

from hornbeampaddle.cell.incarnations import WorkerId
from hornbeampaddle.cell.progress import RunPhase
from hornbeampaddle.cell.reports import Done, EndedRow, EndKind, Report

JOB_ID = "reported"
WORKER_ID = WorkerId("w0")


def report(context, running=(), ended=()):
    player = context.player
    player.now_s += 0.1
    now_s = player.now_s
    row = Report(now_s, now_s, now_s, tuple(running), tuple(ended))
    return player.cell.intake.report(WORKER_ID, row)


def start_all(context):
    """Make a decision, and let the worker carry out its starts."""
    player = context.player
    decision = player.cell.decide(player.now_s, player.now_s)
    for run in decision.starts:
        run.phase = RunPhase.SENDING
        run.sent_at_s = player.now_s
        player.cell.orders.start_answered(run, Done(player.now_s), player.now_s)
    return decision.starts


def entries(context, event):
    return [log.detail for _, log in context.player.notes if log.event == event]


@given("a holder that has released a run of a task, and started it {starts}")
def released_run(context, starts):
    context.player = player = Player()
    player.add_workers(1, 64_000)
    player.submit(JOB_ID, BATCH, step(1, 1_000), 1.0)
    (context.run,) = start_all(context)
    report(context)
    if starts == "twice":
        (again,) = start_all(context)
        assert again.number == 2


@when("the worker lists that the released run is done")
def list_released(context):
    run = context.run
    report(context, ended=[EndedRow(1, run.key, run.number, EndKind.DONE, "")])


@then("the log names run 1 as done, released, beside run {newest:d} as the newest")
def released_logged(context, newest):
    done = {"task": context.run.key, "run": 1, "worker": WORKER_ID}
    assert entries(context, "run_done") == [done]
    assert entries(context, "released_run_done") == [done | {"newest_run": newest}]
