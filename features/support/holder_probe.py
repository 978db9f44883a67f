"""Watch a simulated cell and keep the worst moments of its holder and its jobs."""

import asyncio
from dataclasses import dataclass, field

from hornbeampaddle_standins.cell.world import URGENT

PROBE_S = 0.05
# A pending count is compared with the jobs that were accepted this long before.
COUNTED_AFTER_S = 5.0


@dataclass
class Figures:
    """The worst moments of a cell since the figures were cleared, in seconds."""

    list_age_s: float = 0.0
    stored_age_s: float = 0.0
    lag_s: float = 0.0
    without_start_s: float = 0.0
    without_run_s: float = 0.0
    task_away_s: float = 0.0
    # The epochs of the holders.
    terms: set = field(default_factory=set)
    usable_min: int = 10**9
    count_ratio: float = 1.0
    counts: int = 0
    used_ratio: float = 0.0
    # Largest share of the cell's processors that its tasks had reserved.
    reserved_ratio: float = 0.0
    decision_s: float = 0.0
    # Runs that ended because their worker's lease expired.
    lapsed: int = 0

    def __str__(self):
        return (
            f"list {self.list_age_s:.2f} s old, stored {self.stored_age_s:.2f} s ago, "
            f"lag {self.lag_s:.2f} s, a decision {self.decision_s:.2f} s, "
            f"no start for {self.without_start_s:.2f} s, "
            f"a job without a run for {self.without_run_s:.2f} s, a lasting task away "
            f"for {self.task_away_s:.2f} s, cell lost {max(0, len(self.terms) - 1)} "
            f"times, usable workers down to {self.usable_min}, "
            f"count at {self.count_ratio:.2f} of the jobs that wait "
            f"({self.counts} compared), "
            f"processor {100 * self.used_ratio:.0f} %, "
            f"reserved {100 * self.reserved_ratio:.0f} %, "
            f"{self.lapsed} runs lapsed"
        )


class Probe:
    """Watches a world and keeps the worst figures."""

    def __init__(self, world):
        self.world = world
        self.figures = Figures()
        self.accepted_at_s = {}
        self.last_run_at_s = {}
        self.begun = set()
        self.finished = set()
        self.away_since_s = {}
        # Jobs for which there is no room.
        self.blocked = set()
        self.started_s = 0.0
        self.used_before_s = 0.0
        self.lapsed_before = 0

    def clear(self):
        """Forget the figures so far."""
        self.figures = Figures()
        self.started_s = asyncio.get_running_loop().time()
        self.used_before_s = self._used_s()
        self.lapsed_before = self.world.checker.lapsed

    def _used_s(self):
        return sum(p.used_s for p in self.world.processors.values())

    async def watch(self):
        while True:
            await asyncio.sleep(PROBE_S)
            now_s = asyncio.get_running_loop().time()
            self._watch_holder(now_s)
            self._watch_jobs(now_s)
            self._watch_counts(now_s)
            passed_s = max(PROBE_S, now_s - self.started_s)
            self.figures.used_ratio = (self._used_s() - self.used_before_s) / passed_s
            self.figures.lapsed = self.world.checker.lapsed - self.lapsed_before

    def _watch_holder(self, now_s):
        figures = self.figures
        for name, instance in self.world.instances.items():
            holder = instance.holder
            if holder is None:
                continue
            figures.terms.add(holder.epoch)
            if holder.lost.is_set():
                continue
            stored_age_s = now_s - holder.log.stored_at_s
            figures.stored_age_s = max(figures.stored_age_s, stored_age_s)
            list_age_s = now_s - holder.list_complete_at_s()
            if list_age_s < float("inf"):
                figures.list_age_s = max(figures.list_age_s, list_age_s)
            lag_s = self.world.processors[name].lag_s()
            figures.lag_s = max(figures.lag_s, lag_s)
            usable = sum(w.usable(now_s) for w in holder.cell.workers.values())
            figures.usable_min = min(figures.usable_min, usable)

    def _watch_jobs(self, now_s):
        figures, checker = self.figures, self.world.checker
        running = {key for w in self.world.workers.values() for key in w.runs}
        running_jobs = {key.job_id for key in running}
        self.begun |= running_jobs | {span.key.job_id for span in checker.spans}
        ended = {s.key for s in checker.spans if s.ended_at_s < float("inf")}
        reserved = sum(
            live.run.step.need.cpu_millis
            for worker in self.world.workers.values()
            for live in worker.runs.values()
        )
        capacity = sum(
            w.listing.capacity.cpu_millis for w in self.world.workers.values()
        )
        figures.reserved_ratio = max(figures.reserved_ratio, reserved / capacity)
        waiting = False
        for job_id, job in self.world.accepted.items():
            self.accepted_at_s.setdefault(job_id, now_s)
            tasks = sum(step.count for step in job.steps)
            if job.lasting:
                at_work = sum(key.job_id == job_id for key in running)
                if at_work == tasks:
                    self.away_since_s[job_id] = now_s
                away_s = now_s - self.away_since_s.get(job_id, now_s)
                figures.task_away_s = max(figures.task_away_s, away_s)
                waiting = waiting or away_s > 0
                continue
            if sum(key.job_id == job_id for key in ended) >= tasks:
                self.finished.add(job_id)
            if job_id in self.finished or job_id in self.blocked:
                continue
            if job_id in running_jobs:
                self.last_run_at_s[job_id] = now_s
            last_s = self.last_run_at_s.get(job_id, self.accepted_at_s[job_id])
            without_s = now_s - last_s
            figures.without_run_s = max(figures.without_run_s, without_s)
            waiting = waiting or without_s > 0
        last_start_s = max(checker.started_at_s, default=now_s)
        if waiting:
            without_start_s = now_s - max(last_start_s, self.started_s)
            figures.without_start_s = max(figures.without_start_s, without_start_s)

    def _watch_counts(self, now_s):
        pending = sum(
            1
            for job_id, at_s in self.accepted_at_s.items()
            if job_id not in self.begun and now_s - at_s > COUNTED_AFTER_S
        )
        if not pending:
            return
        for name, instance in self.world.instances.items():
            count = instance.callers.pending(URGENT.name)
            if count is not None and name != self.world.holder():
                ratio = count / pending
                self.figures.counts += 1
                self.figures.count_ratio = min(self.figures.count_ratio, ratio)
