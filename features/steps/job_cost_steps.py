"""Steps that judge jobs by what they cost."""

from behave import given, then

from hornbeampaddle.cell.jobs import Job, Queue, Step
from hornbeampaddle.resources import Resources
from hornbeampaddle_cell.job_costs import excess
from hornbeampaddle_cell.ledger import job_record
from hornbeampaddle_cell.settings import InstanceSettings

MIB = 2**20
QUEUE = Queue("checks", "compute")


def _job(number, steps, tasks, occurrences=0, interval_s=0.0):
    step = Step(tasks, Resources(1000, 64 * MIB, 0), 1.0)
    return Job(
        f"{number:016x}",
        QUEUE,
        "work",
        steps * (step,),
        1.0,
        occurrences,
        0.0,
        interval_s,
    )


@given(
    "a job of {steps:d} steps of {tasks:d} tasks, {occurrences:d} times "
    "each {interval:d} s"
)
def make_job(context, steps, tasks, occurrences, interval):
    context.job = _job(1, steps, tasks, occurrences, float(interval))
    settings = InstanceSettings(
        "i-1", "i", "dc-1", 1.0, record_bytes=262_144, jobs_memory_bytes=64 * MIB
    )
    context.excess = excess(context.job, job_record(context.job), settings)


@then("it is kept")
def check_kept(context):
    assert context.excess is None, context.excess


@then("it is refused for its {what}")
def check_refused(context, what):
    assert context.excess.what == what, context.excess
    assert context.excess.size > context.excess.limit, context.excess
