"""Steps that judge jobs by what they cost."""

from types import SimpleNamespace

from behave import given, then, when

from hornbeampaddle.cell.jobs import Job, Queue, Step
from hornbeampaddle.machines import Address
from hornbeampaddle.resources import Resources
from hornbeampaddle_cell.job_costs import Cost, CostGate, JobCosts, excess
from hornbeampaddle_cell.ledger import job_record
from hornbeampaddle_cell.peers import PeerDirectory, peer_record
from hornbeampaddle_cell.settings import InstanceSettings

MIB = 2**20
STEPS_MAX = 4000
QUEUE = Queue("checks", "compute")
CLOCK = SimpleNamespace(now_s=lambda: 0.0)


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
        "i-1", "i", "dc-1", 1.0, record_bytes=262_144, memory_bytes=300 * MIB
    )
    context.excess = excess(context.job, job_record(context.job), settings)


@then("it is kept")
def check_kept(context):
    assert context.excess is None, context.excess


@then("it is refused for its {what}")
def check_refused(context, what):
    assert context.excess.what == what, context.excess
    assert context.excess.size > context.excess.limit, context.excess


@given(
    "an instance with {own:d} MB for jobs, among {count:d}, "
    "of which the smallest has {least:d} MB"
)
def make_gate(context, own, count, least):
    directory = PeerDirectory("i0")
    for number in range(1, count):
        memory_bytes = (least if number == 1 else own) * MIB
        address = Address("127.0.0.1", number)
        directory.apply(peer_record(f"i{number}", address, 0.0, "dc-1", memory_bytes))
    context.costs = JobCosts()
    context.gate = CostGate(
        CLOCK,
        context.costs,
        lambda: Cost(directory.least_jobs_memory_bytes(own * MIB), STEPS_MAX),
        lambda: len(directory) + 1,
    )
    context.numbers = iter(range(1000))
    context.stored = []


@when("callers hand in {count:d} jobs of {tasks:d} tasks at once")
def hand_in(context, count, tasks):
    context.admitted = []
    for _ in range(count):
        job = _job(next(context.numbers), 1, tasks)
        if context.gate.admits(job):
            context.gate.storing(job)
            context.admitted.append(job)


@when("callers hand in {count:d} jobs of {tasks:d} tasks in {steps:d} steps at once")
def hand_in_steps(context, count, tasks, steps):
    earlier = getattr(context, "admitted", [])
    context.admitted = []
    for _ in range(count):
        job = _job(next(context.numbers), steps, tasks)
        if context.gate.admits(job):
            context.gate.storing(job)
            context.admitted.append(job)
    context.earlier = earlier


@when("the log shows that all have ended, and {count:d} such jobs are handed in")
def end_and_hand_in(context, count):
    for job in [*context.earlier, *context.admitted]:
        context.costs.add(job)
        context.costs.end(job.job_id)
    hand_in_steps(context, count, 1, 400)


@then("{count:d} of them find room")
def check_admitted(context, count):
    assert len(context.admitted) == count, len(context.admitted)


@when("the log shows them, and {count:d} further jobs are handed in")
def read_and_hand_in(context, count):
    _read(context)
    hand_in(context, count, 4000)


def _read(context):
    for job in context.admitted:
        context.costs.add(job)
    context.stored += context.admitted


@when("the log shows them, and the first is forgotten")
def read_and_forget(context):
    _read(context)
    context.costs.remove(context.stored[0].job_id)


@then("a job of {tasks:d} tasks finds room")
def check_room(context, tasks):
    assert context.gate.admits(_job(next(context.numbers), 1, tasks))
