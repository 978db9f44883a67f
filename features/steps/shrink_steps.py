"""Steps on workers whose capacity changes while they run."""

from behave import step, then, when
from support.cell_scene import act, job_id, play
from support.cell_walk import plain

from hornbeampaddle_cell.ports import Topic
from hornbeampaddle_standins.cell.world import URGENT


@step("every worker {how} to {cores:d} cores")
def resize_workers(context, how, cores):
    assert how in ("shrinks", "grows")
    for name in context.world.workers:
        act(context, context.world.resize_worker, name, 1000 * cores)


@when('a job "{name}" of {tasks:d} tasks that take {cores:d} cores each is handed in')
def hand_in_wide(context, name, tasks, cores):
    step_ = plain(tasks, 1000 * cores)
    context.outcome = play(context, context.world.submit(job_id(name), URGENT, step_))


@when(
    'a job "{name}" of {tasks:d} tasks that take {cores:d} cores each is handed in '
    "while no worker is reached"
)
def hand_in_wide_cut_off(context, name, tasks, cores):
    world = context.world
    world.faults.partitioned |= {(i, w) for i in world.instances for w in world.workers}
    hand_in_wide(context, name, tasks, cores)


LOGS = {
    "the list of workers": Topic.WORKERS,
    "the operator's log": Topic.OPERATOR,
}


@when("{what} cannot be read by anyone")
def unread_log(context, what):
    world = context.world
    world.store.unanswered_reads |= {(name, LOGS[what]) for name in world.instances}


@when("{what} can be read again")
def read_log(context, what):
    context.world.store.unanswered_reads.clear()


@then('nothing of "{name}" has started')
def none_started(context, name):
    begun = context.world.checker.begun_at_s
    started = [key for key in begun if key.job_id == job_id(name)]
    assert not started, started
