"""Steps on the CPU open to fillers over a period of the users' load."""

from behave import given, then, when
from support.cell_player import GIB, step

from hornbeampaddle.cell.incarnations import WorkerId
from hornbeampaddle.cell.interference import Interference
from hornbeampaddle.cell.jobs import TaskKey
from hornbeampaddle.cell.outlook import Outlook
from hornbeampaddle.cell.placing import Ranking
from hornbeampaddle.cell.progress import Run
from hornbeampaddle.cell.workers import WorkerListing, WorkerState
from hornbeampaddle.clocks import RemoteClock
from hornbeampaddle.machines import Address
from hornbeampaddle.resources import Resources

SERVING_STEP = step(4, 13_000, lasting=True, image="serve", tail_target_s=0.1)


@given("fillers that interfere with all of them")
def disturbing(context):
    model = Interference()
    model.inherit({"serve": {"fill": 6.0}})
    model.forecaster = context.forecaster
    context.model = model
    context.outlook = Outlook(model, {"fill": 1.0}, context.load.now_s)


@then(
    "a worker with tasks whose loads are in phase opens at least {ratio:g} times as "
    "much to fillers as one whose loads are not"
)
def opens_more(context, ratio):
    in_phase = [(f"job{n}", "serve") for n in (0, 1, 2)]
    apart = [(f"job{n}", "serve") for n in (0, 4, 7)]
    opened = context.outlook.value_millis(in_phase, 64_000, 39_000)
    closed = context.outlook.value_millis(apart, 64_000, 39_000)
    assert opened >= ratio * closed > 0, (opened, closed)


def worker_with(name, job_id):
    room = Resources(64_000, 256 * GIB, 0)
    listing = WorkerListing(
        WorkerId(name), "compute", Address("127.0.0.1", 1), "dc-1", room
    )
    worker = WorkerState(listing, RemoteClock(0.02))
    for position in range(3):
        key = TaskKey(job_id, 0, 0, position)
        worker.add(Run(key, 1, WorkerId(name), SERVING_STEP, SERVING_STEP.charge))
    return worker


@when(
    "another task of the first job is to be placed beside tasks in phase "
    "or beside others"
)
def place_beside(context):
    workers = [worker_with("like", "job1"), worker_with("other", "job7")]
    ranking = Ranking("job0", SERVING_STEP, context.model, {}, outlook=context.outlook)
    ranking.fill(workers)
    context.chosen = ranking.choose(TaskKey("job0", 0, 0, 0), "")


@then("it goes beside tasks in phase")
def beside_in_phase(context):
    assert context.chosen.worker_id.name == "like", context.chosen.worker_id
