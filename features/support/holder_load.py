"""
Measure a holder whose work costs processor time, in simulated cells.

Each cell stands for one of 3,000 workers: it has fewer of them, and each report,
order and ranking costs the holder more in proportion. ``python -m
support.holder_load`` prints the figures of all cases, and of those named after it.
"""

import argparse
import asyncio
import logging
from contextlib import contextmanager
from dataclasses import dataclass, replace
from itertools import product
from unittest.mock import patch

import structlog

from hornbeampaddle.cell import dispatch, sampling
from hornbeampaddle.cell.placing import Ranking
from hornbeampaddle.cell.scheduler import Scheduler
from hornbeampaddle.cell.settings import CellSettings
from hornbeampaddle.cell.waiting import WaitReason
from hornbeampaddle_cell.holder import Holder
from hornbeampaddle_standins.cell import workers as stand_in_workers
from hornbeampaddle_standins.cell.processor import ProcessorCosts
from hornbeampaddle_standins.cell.world import BATCH, URGENT, World
from support.cell_walk import build, plain
from support.holder_probe import Probe
from support.virtual_loop import VirtualLoop

LARGE_CELL_WORKERS = 3000
SEED = 7
HOLDER_CORES = 1.07
# Processor time of one core for one worker of a cell of 3,000.
REPORT_S = 0.00043
ORDER_S = 0.00043
END_S = 0.0001
LISTING_S = 0.00003
RANKED_S = 0.0000015
DECISION_S = 0.0000015
UNPLACED_S = 0.000001
# Open jobs of a large cell that has started nothing for seconds.
BACKLOG_JOBS = 112
RAMP_STEPS = 10
# Shorter than the time for which a holder keeps the cell without storing.
SUSPENDED_S = 1.0
RAMP_STEP_S = 1.0
# Longer than a case takes.
FILLER_WORK_S = 100.0
# Slack of a serving task whose users load it too much, and for how long they do.
OVER_TARGET_SLACK = 0.9
OVER_TARGET_S = 6.0


def scaled_costs(workers, report_s=REPORT_S):
    """Return the costs of a cell of ``workers`` that stands for 3,000."""
    scale = LARGE_CELL_WORKERS / workers / HOLDER_CORES
    return ProcessorCosts(
        report_s=scale * report_s,
        first_report_s=scale * report_s,
        end_s=scale * END_S,
        order_s=scale * ORDER_S,
        ranked_s=scale * RANKED_S,
        decision_s=scale * DECISION_S,
        unplaced_s=scale * UNPLACED_S,
        listing_s=scale * LISTING_S,
    )


def scaled_settings(workers):
    """Return the settings whose rates and limits are scaled down like the cell."""
    scale = workers / LARGE_CELL_WORKERS
    defaults = CellSettings()
    return replace(
        defaults,
        idle_reports_per_s=defaults.idle_reports_per_s * scale,
        busy_reports_per_s=defaults.busy_reports_per_s * scale,
        pending_starts_max=max(1, round(defaults.pending_starts_max * scale)),
        first_reports_max=max(1, round(defaults.first_reports_max * scale)),
    )


@contextmanager
def charged_decisions(loaded):
    """Charge the holder's decisions by the workers that they rank."""
    ranked = unplaced = 0
    original_fill, original_decide = Ranking.fill, Scheduler.decide
    original_iterate, original_place = Holder._iterate, dispatch._place_step

    def counting_fill(ranking, workers):
        nonlocal ranked
        workers = list(workers)
        ranked += len(workers)
        original_fill(ranking, workers)

    def counting_place(turn):
        nonlocal unplaced
        reason = original_place(turn)
        unplaced += reason is WaitReason.NO_ROOM
        return reason

    def charged_decide(cell, now_s, wall_s):
        nonlocal ranked, unplaced
        ranked = unplaced = 0
        decision = original_decide(cell, now_s, wall_s)
        processor = _processor(loaded.world, lambda holder: holder.cell is cell)
        if processor is not None:
            costs = processor.costs
            per_worker_s = costs.decision_s + unplaced * costs.unplaced_s
            cost_s = ranked * costs.ranked_s + len(cell.workers) * per_worker_s
            loaded.probe.figures.decision_s = max(
                loaded.probe.figures.decision_s, cost_s
            )
            processor.decide(cost_s)
        return decision

    async def queued_iterate(holder):
        processor = _processor(loaded.world, lambda other: other is holder)
        if processor is not None:
            await processor.turn()
        await original_iterate(holder)

    scale = loaded.workers / LARGE_CELL_WORKERS
    sample_size = max(1, round(sampling.SAMPLE_SIZE * scale))
    with (
        patch.object(Ranking, "fill", counting_fill),
        patch.object(Scheduler, "decide", charged_decide),
        patch.object(dispatch, "_place_step", counting_place),
        patch.object(Holder, "_iterate", queued_iterate),
        patch.object(sampling, "SAMPLE_SIZE", sample_size),
    ):
        yield


def _processor(world, wanted):
    for name, instance in world.instances.items():
        if instance.holder is not None and wanted(instance.holder):
            return world.processors[name]
    return None


@dataclass
class LoadedCell:
    """A cell of charged instances with a probe."""

    workers: int
    costs: ProcessorCosts
    instances: int = 3
    settings: CellSettings | None = None
    seed: int = SEED

    async def begin(self):
        settings = self.settings or scaled_settings(self.workers)
        self.world = World(self.seed, cell_settings=settings, costs=ProcessorCosts())
        self.probe = Probe(self.world)
        self.world.tasks["probe"] = asyncio.create_task(self.probe.watch())
        self.number = 0
        await build(self.world, self.instances, self.workers)
        await asyncio.sleep(5.0)

    async def charge(self):
        """
        Let work take processor time, and keep the worst figures from then on.

        The costs rise slowly: reports that come at one moment would block the holder.
        """
        for share in range(1, RAMP_STEPS + 1):
            for name in ProcessorCosts.__slots__:
                cost_s = getattr(self.costs, name) * share / RAMP_STEPS
                setattr(self.world.costs, name, cost_s)
            await asyncio.sleep(RAMP_STEP_S)
        self.probe.clear()

    async def submit(self, *steps):
        self.number += 1
        return await self.world.submit(f"{self.number:016x}", URGENT, *steps)

    async def serve(self):
        """Put a lasting task with a target on each worker."""
        return await self.occupy(image="serving", tail_target_s=0.1)

    async def occupy(self, cpu_millis=2000, **more):
        """Put a lasting task on each worker."""
        step = plain(self.workers, cpu_millis, lasting=True, per_worker_max=1, **more)
        await self.submit(step)
        return await self.world.until(
            lambda: all(w.runs for w in self.world.workers.values()), 20.0
        )

    async def load(self, duration_s, jobs_per_s, tasks=4, cpu_millis=500):
        """Submit jobs of tasks that end."""
        for _ in range(round(duration_s * jobs_per_s)):
            if self.world.instances:
                asyncio.get_running_loop().create_task(
                    self.submit(plain(tasks, cpu_millis))
                )
            await asyncio.sleep(1 / jobs_per_s)

    async def replace_holder(self, how):
        """End the holder's process, or those of all instances, and start it again."""
        world = self.world
        names = sorted(world.instances) if how == "all" else [world.holder()]
        assert all(names), "the cell has no holder"
        for name in names:
            if how == "stop":
                await world.instances[name].stop()
            await world.kill(name)
        await asyncio.sleep(0.5)
        for name in names:
            world.start_instance(name)


def play(loaded, script):
    """Run a script on a cell in simulated time and return its figures."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)

    async def run():
        await loaded.begin()
        await script(loaded)
        watching = loaded.world.tasks["probe"]
        assert not watching.done(), watching.exception()

    with charged_decisions(loaded):
        try:
            loop.run_until_complete(run())
        finally:
            loop.run_until_complete(loaded.world.close())
            loop.close()
    return loaded.probe.figures


async def idle(loaded):
    await loaded.charge()
    await loaded.load(15.0, 1.0)
    await asyncio.sleep(5.0)


async def busy_lasting(loaded):
    assert await loaded.occupy()
    await loaded.charge()
    await loaded.load(15.0, 1.0)
    await asyncio.sleep(5.0)


async def busy_fillers(loaded):
    """Put a serving task and a filler that disturbs it little on each worker."""
    world = loaded.world
    world.slope_of = lambda serving, filling: 0.3
    assert await loaded.serve()
    world.work_s = FILLER_WORK_S
    filler = plain(loaded.workers, filler=True, per_worker_max=1, image="filling")
    await world.submit("f" * 16, BATCH, filler)
    assert await world.until(
        lambda: all(len(w.runs) == 2 for w in world.workers.values()), 20.0
    )
    world.work_s = 1.0
    await loaded.charge()
    await loaded.load(20.0, 1.0)


async def wide_step(loaded):
    """Submit one lasting step with a task for each worker to an idle cell."""
    await loaded.charge()
    load = asyncio.create_task(loaded.load(20.0, 1.0))
    await asyncio.sleep(2.0)
    await loaded.submit(plain(loaded.workers, 1000, lasting=True, per_worker_max=1))
    await load


async def over_target(loaded):
    """Let the users' load hold every serving task over its target for a time."""
    assert await loaded.serve()
    await loaded.charge()
    load = asyncio.create_task(loaded.load(20.0, 1.0))
    await asyncio.sleep(4.0)
    with patch.object(stand_in_workers, "UNDISTURBED_SLACK", OVER_TARGET_SLACK):
        await asyncio.sleep(OVER_TARGET_S)
    await load


async def busy_suspended(loaded):
    assert await loaded.occupy()
    await loaded.charge()
    load = asyncio.create_task(loaded.load(20.0, 1.0))
    await asyncio.sleep(2.0)
    loaded.world.processors[loaded.world.holder()].charge(SUSPENDED_S)
    await load


def busy_short(starts_per_s):
    """Return a script with this rate of starts in the cell of 3,000 workers."""

    async def script(loaded):
        loaded.world.work_s = 0.6
        jobs_per_s = starts_per_s * loaded.workers / LARGE_CELL_WORKERS / 4
        await loaded.charge()
        await loaded.load(20.0, jobs_per_s, cpu_millis=6000)
        await asyncio.sleep(5.0)

    return script


def takeover(how, occupied=True):
    """Return a script in which the holder's process ends, or those of all."""

    async def script(loaded):
        if occupied:
            assert await loaded.occupy()
        await loaded.charge()
        load = asyncio.create_task(loaded.load(20.0, 1.0))
        await asyncio.sleep(1.0)
        await loaded.replace_holder(how)
        await load
        await asyncio.sleep(5.0)

    return script


def full(waiting_jobs):
    """Return a script of a busy cell with jobs whose tasks need whole workers."""

    async def script(loaded):
        assert await loaded.occupy(cpu_millis=4500)
        await loaded.charge()
        for _ in range(waiting_jobs):
            await loaded.submit(plain(2, 16_000))
        loaded.probe.blocked.update(loaded.world.accepted)
        await loaded.load(15.0, 1.0)

    return script


async def list_changes(loaded):
    await loaded.charge()
    load = asyncio.create_task(loaded.load(20.0, 1.0))
    await asyncio.sleep(3.0)
    for number in range(10):
        for name in sorted(loaded.world.workers):
            loaded.world.resize_worker(name, 15_000 + number)
        await asyncio.sleep(1.0)
    await load


async def worker_restarts(loaded):
    """Restart every worker under its id while all are busy."""
    assert await loaded.occupy()
    await loaded.charge()
    load = asyncio.create_task(loaded.load(20.0, 1.0))
    await asyncio.sleep(3.0)
    world = loaded.world
    restarts = [world.restart_worker(name) for name in sorted(world.workers)]
    await asyncio.gather(*restarts)
    await load


def takeovers(how):
    """Return a script in which three holders end one after another."""

    async def script(loaded):
        assert await loaded.occupy()
        await loaded.charge()
        load = asyncio.create_task(loaded.load(25.0, 1.0))
        for _ in range(3):
            await loaded.replace_holder(how)
            await loaded.world.until(lambda: loaded.world.holder() is not None, 10.0)
        await load

    return script


def takeover_backlog(how, cpu_millis, occupied):
    """
    Return a script in which jobs arrive while a cell has no holder.

    As many as in the cell of 3,000 workers: orders and ends cost what they cost there.
    """

    async def script(loaded):
        costs = loaded.costs
        scale = LARGE_CELL_WORKERS / loaded.workers
        loaded.costs = replace(
            costs, order_s=costs.order_s / scale, end_s=costs.end_s / scale
        )
        if occupied:
            assert await loaded.occupy()
        await loaded.charge()
        load = asyncio.create_task(loaded.load(10.0, BACKLOG_JOBS / 10, 1, cpu_millis))
        await asyncio.sleep(1.0)
        await loaded.replace_holder(how)
        await load
        await asyncio.sleep(10.0)

    return script


CASES = {
    "idle": idle,
    "busy-lasting": busy_lasting,
    "busy-fillers": busy_fillers,
    "wide-step": wide_step,
    "over-target": over_target,
    "busy-suspended": busy_suspended,
    "busy-short-600": busy_short(600),
    "busy-short-3000": busy_short(3000),
    "takeover-idle-kill": takeover("kill", occupied=False),
    "takeover-kill": takeover("kill"),
    "takeover-stop": takeover("stop"),
    "takeover-all": takeover("all"),
    "takeovers-kill": takeovers("kill"),
    "takeovers-stop": takeovers("stop"),
    "backlog-idle": takeover_backlog("all", 4000, occupied=False),
    "backlog-busy": takeover_backlog("all", 4000, occupied=True),
    "worker-restarts": worker_restarts,
    "full-20": full(20),
    "full-100": full(100),
    "list-changes": list_changes,
}
WORKERS = 60


def parse_arguments():
    parser = argparse.ArgumentParser(prog="support.holder_load", description=__doc__)
    parser.add_argument("cases", nargs="*", help="all by default")
    parser.add_argument("--vary", action="store_true", help="leave out each cost")
    parser.add_argument("--report-ms", type=float, default=REPORT_S * 1000)
    parser.add_argument("--reports-per-s", type=float, help="of 3,000 busy workers")
    parser.add_argument("--workers", type=int, default=WORKERS)
    parser.add_argument("--seeds", type=int, nargs="+", default=[SEED])
    return parser.parse_args()


def main():
    """Print the figures of the named cases, by seed and by cost that is left out."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    chosen = parse_arguments()
    settings = scaled_settings(chosen.workers)
    if chosen.reports_per_s:
        scaled = chosen.reports_per_s * chosen.workers / LARGE_CELL_WORKERS
        settings = replace(settings, busy_reports_per_s=scaled)
    free_costs = ("", "all", *ProcessorCosts.__slots__) if chosen.vary else ("",)
    for name, seed, free in product(chosen.cases or CASES, chosen.seeds, free_costs):
        costs = scaled_costs(chosen.workers, chosen.report_ms / 1000)
        if free == "all":
            costs = ProcessorCosts()
        elif free:
            costs = replace(costs, **{free: 0.0})
        cell = LoadedCell(chosen.workers, costs, settings=settings, seed=seed)
        try:
            figures = play(cell, CASES[name])
        except AssertionError as error:
            figures = f"did not begin: {error!r}"
        print(f"{name}, seed {seed}, {free or 'nothing'} free: {figures}", flush=True)


if __name__ == "__main__":
    main()
