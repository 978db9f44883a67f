"""Run a cell under random load and random faults, drawn from one seed."""

import asyncio
from random import Random

from hornbeampaddle.cell.jobs import Step, TaskKey
from hornbeampaddle.cell.progress import JobStatus
from hornbeampaddle.resources import Resources
from hornbeampaddle_standins.cell.store import StoreFault
from hornbeampaddle_standins.cell.world import BATCH, MIB, URGENT, World

INSTANCES = 4
WORKERS = 8
DATA_CENTRES = 3
LOAD_S = 30.0


def plain(count, cpu_millis=2000, after=(), **more):
    return Step(count, Resources(cpu_millis, 512 * MIB, 0), 1.0, after, **more)


async def build(world, instances, workers):
    """Start the instances and workers of a world, and wait until they have settled."""
    world.configure(URGENT, BATCH)
    for number in range(workers):
        world.add_worker(f"w{number}", data_centre=f"dc-{1 + number % DATA_CENTRES}")
    for number in range(instances):
        world.start_instance(f"i{number}")
    await asyncio.sleep(2.0)


async def _load(world, random):
    deadline_s = asyncio.get_running_loop().time() + LOAD_S
    number = 0
    while asyncio.get_running_loop().time() < deadline_s:
        await asyncio.sleep(random.uniform(0.1, 0.8))
        number += 1
        job_id = f"{number:016x}"
        steps = [plain(random.randint(1, 6), random.choice([500, 2000, 6000]))]
        if random.random() < 0.5:
            saves = random.random() < 0.5
            steps.append(plain(3, after=(0,), saves_checkpoints=saves))
        if world.instances:
            asyncio.create_task(_submit(world, random, job_id, steps))


async def _submit(world, random, job_id, steps):
    queue = random.choice([URGENT, BATCH])
    via = random.choice(sorted(world.instances))
    await world.submit(job_id, queue, *steps, via=via)
    if random.random() < 0.1 and job_id in world.accepted and world.instances:
        await asyncio.sleep(random.uniform(0, 2))
        via = random.choice(sorted(world.instances))
        await world.cancel(job_id, via)


async def _restart_instance(world, random):
    if len(world.instances) < 2:
        return
    name = random.choice(sorted(world.instances))
    await world.kill(name)
    await asyncio.sleep(random.uniform(0.2, 3.0))
    world.start_instance(name)


async def _restart_holder(world, random):
    name = world.holder()
    if name is None or len(world.instances) < 2:
        return
    await world.kill(name)
    await asyncio.sleep(random.uniform(0.2, 3.0))
    world.start_instance(name)


async def _fail_store(world, random):
    kind = random.choice([f for f in StoreFault if f is not StoreFault.NONE])
    who = random.choice(["", world.holder() or "", *sorted(world.instances)])
    world.store.faults[who] = kind
    await asyncio.sleep(random.uniform(0.5, 5.0))
    world.store.faults.pop(who, None)


async def _lose_orders(world, random):
    world.faults.late_ratio = random.uniform(0, 0.1)
    world.faults.lost_ratio = random.uniform(0, 0.2)
    await asyncio.sleep(random.uniform(1, 5))
    world.faults.late_ratio = world.faults.lost_ratio = 0.0


async def _cut_connections(world, random):
    names = sorted(world.workers)
    pairs = {(i, w) for i in world.instances for w in random.sample(names, 2)}
    world.faults.partitioned |= pairs
    await asyncio.sleep(random.uniform(1, 14))
    world.faults.partitioned -= pairs


async def _compact(world, random):
    world.store.forget_history()


async def _relist_worker(world, random):
    name = random.choice(sorted(world.workers))
    world.unlist_worker(name)
    await asyncio.sleep(random.uniform(1, 6))
    if world.workers[name].alive:
        world.list_worker(world.workers[name])


async def _lose_worker(world, random):
    alive = [name for name, w in world.workers.items() if w.alive]
    if len(alive) <= WORKERS - 2:
        return
    name = random.choice(sorted(alive))
    world.workers[name].die()
    await asyncio.sleep(3.3)
    world.unlist_worker(name)


async def _restart_worker(world, random):
    """Start a worker again under its id, up to three times in a row."""
    name = random.choice(sorted(world.workers))
    world.workers[name].drops_ends_ahead = random.random() < 0.5
    for _ in range(random.randint(1, 3)):
        down_s = random.choice([0.0, 0.05, random.uniform(0.1, 2.0), 4.0])
        await world.restart_worker(name, down_s)
        await asyncio.sleep(random.choice([0.0, 0.3, random.uniform(0.5, 6.0)]))


async def _restart_in_trouble(world, random):
    """Start workers again while orders are late and the holder changes."""
    losing = asyncio.create_task(_lose_orders(world, random))
    await asyncio.sleep(random.uniform(0.0, 1.0))
    restarting = [
        asyncio.create_task(_restart_worker(world, random))
        for _ in range(random.randint(1, 4))
    ]
    if random.random() < 0.5:
        await asyncio.sleep(random.uniform(0.0, 1.0))
        await _restart_holder(world, random)
    await asyncio.gather(losing, *restarting)


async def _refuse_orders(world, random):
    """Make workers lose answers, then refuse what is sent again, one by one."""
    for _ in range(4):
        worker = world.workers[random.choice(sorted(world.workers))]
        world.faults.lost_ratio = random.uniform(0, 0.3)
        await asyncio.sleep(random.uniform(0.1, 1.0))
        worker.unwell = True
        await asyncio.sleep(random.uniform(0.5, 4))
        worker.unwell = False
    world.faults.lost_ratio = 0.0


async def _resize(world, random):
    """Reduce the capacity of a worker for a while."""
    alive = sorted(name for name, w in world.workers.items() if w.alive)
    name = random.choice(alive)
    whole = world.workers[name].listing.capacity.cpu_millis
    world.resize_worker(name, round(whole * random.uniform(0.1, 0.7)))
    await asyncio.sleep(random.uniform(2, 10))
    if world.workers[name].alive:
        world.resize_worker(name, whole)


async def _submit_crashing_job(world, random):
    """Submit a job with a task that crashes its workers, at once or after a while."""
    job_id = f"{len(world.crashing):08x}".rjust(16, "f")
    tasks = random.randint(1, 4)
    key = TaskKey(job_id, 0, 0, random.randrange(tasks))
    world.crashing[key] = random.choice([0.001, 0.01, 0.1, 1.0])
    if world.instances:
        await _submit(world, random, job_id, [plain(tasks)])


async def _evacuate(world, random):
    """Evacuate a data centre for a while: nothing may start there."""
    name = f"dc-{random.randint(1, DATA_CENTRES)}"
    world.evacuate(name)
    await asyncio.sleep(random.uniform(1, 15))
    world.end_evacuation(name)


FAULTS = [
    _restart_instance,
    _restart_holder,
    _fail_store,
    _lose_orders,
    _cut_connections,
    _compact,
    _relist_worker,
    _lose_worker,
]
# Workers refuse orders as often as two other faults occur together.
FAULTS_REFUSING = [*FAULTS, _refuse_orders, _refuse_orders]
# Workers shrink, and tasks crash them, as often as four other faults together.
FAULTS_BREAKING = [
    *FAULTS,
    _resize,
    _resize,
    _submit_crashing_job,
    _submit_crashing_job,
]
# Data centres are evacuated, workers shrink and tasks crash them, as often as four
# other faults together.
FAULTS_EVACUATING = [*FAULTS, _evacuate, _evacuate, _resize, _submit_crashing_job]


# Workers start again under their ids, as often as all other faults together.
FAULTS_RESTARTING = [*FAULTS, *[_restart_worker] * 4, *[_restart_in_trouble] * 4]


async def walk(world, faults=FAULTS):
    """Run a world under load and several faults at a time, then let it recover."""
    random = Random(world.seed)
    await build(world, INSTANCES, WORKERS)
    load = asyncio.create_task(_load(world, random))
    breaking = set()
    while not load.done():
        await asyncio.sleep(random.uniform(0.5, 3.0))
        breaking.add(asyncio.create_task(random.choice(faults)(world, random)))
    await asyncio.gather(load, *breaking)
    for name in [f"i{number}" for number in range(INSTANCES)]:
        if name not in world.instances:
            world.start_instance(name)
    await asyncio.sleep(40.0)


def given_up(world):
    """
    Return the jobs that failed because of crashes but have no crashing task.

    Jobs whose attempts are used up are excluded.
    """
    cell = world.instances[world.holder()].holder.cell
    crashing = {key.job_id for key in world.crashing}
    return [
        job_id
        for job_id, state in cell.jobs.items()
        if state.status is JobStatus.FAILED
        and job_id not in crashing
        and not _attempts_used_up(state)
    ]


def _attempts_used_up(state):
    limit = state.job.queue.attempts_max
    tasks = (t for steps in state.occurrences.values() for s in steps for t in s.tasks)
    return any(len(task.failed_runs) >= limit for task in tasks)


def new_world(seed):
    """Return the world of a seed; with even seeds, instances relay for each other."""
    return World(seed, work_s=1.5, fail_ratio=0.02, relays=seed % 2 == 0)
