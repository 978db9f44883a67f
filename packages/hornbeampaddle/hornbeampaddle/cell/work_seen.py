"""
Account the work of runs at full speed, and compare the tasks of a step.

Work is the time that a task takes alone at full speed, in seconds.
"""

import math
import statistics
from dataclasses import dataclass, field

from .progress import Run

# CPU use below this share of what the pace allows counts as a lack of CPU; above it is
# the error of the reading.
CPU_SHORT_BELOW = 0.85
# A worker reports no CPU use until it has measured it for half a second.
CPU_MEASURED_AFTER_S = 0.6
# Progress, in percent, over which the work of a run is projected: below, a step of a
# whole percent and the age of the report are too large a part of it.
PROJECTED_FROM_PERCENT = 10.0
# Part of its time for which a run was at work, below which it teaches nothing.
SPEED_MIN = 0.5


@dataclass(slots=True)
class RunSeen:
    """
    What the reports on one run have said.

    ``elapsed_s`` and ``worked_s`` count from ``since_s``, the latter at the run's
    speed. Progress counts from ``from_percent``, at ``from_worked_s``.
    """

    number: int
    since_s: float
    seen_at_s: float
    whole: bool
    elapsed_s: float = 0.0
    worked_s: float = 0.0
    from_percent: float = math.nan
    from_worked_s: float = 0.0
    percent: float = 0.0
    percent_worked_s: float = 0.0

    @classmethod
    def begin(cls, run: Run, now_s: float) -> "RunSeen":
        """Begin with a run's start, or now if another holder sent that."""
        whole = math.isfinite(run.sent_at_s) and not run.resumed
        since_s = run.sent_at_s if math.isfinite(run.sent_at_s) else now_s
        seen = cls(run.number, since_s, since_s, whole)
        if whole:
            seen.from_percent = 0.0
        return seen

    def observe(self, run: Run, now_s: float) -> None:
        """Count the time since the last report, and take the progress."""
        elapsed_s = max(0.0, now_s - self.seen_at_s)
        self.seen_at_s = now_s
        self.elapsed_s += elapsed_s
        self.worked_s += elapsed_s * speed(run, now_s)
        if run.progress_percent <= self.percent and self.percent:
            return
        if run.progress_percent <= 0:
            return
        if math.isnan(self.from_percent):
            self.from_percent = run.progress_percent
            self.from_worked_s = self.worked_s
        self.percent = run.progress_percent
        self.percent_worked_s = self.worked_s

    @property
    def telling(self) -> bool:
        """Return whether the run was at work for enough of its time."""
        return self.worked_s >= SPEED_MIN * self.elapsed_s > 0

    @property
    def projected_s(self) -> float | None:
        """Return the work of the whole task by its progress, None if too little."""
        gained = self.percent - self.from_percent
        if not gained >= PROJECTED_FROM_PERCENT or not self.telling:
            return None
        return 100 * (self.percent_worked_s - self.from_worked_s) / gained

    def total_s(self) -> float | None:
        """Return the work of a task whose run has just ended, None if unknown."""
        if not self.telling:
            return None
        if self.whole:
            return self.worked_s
        left = 100 - self.from_percent
        worked_s = self.worked_s - self.from_worked_s
        # Without work since, its progress came from before or its speed is unknown.
        if not left >= 100 * SPEED_MIN or worked_s <= 0:
            return None
        return 100 * worked_s / left


def speed(run: Run, now_s: float) -> float:
    """
    Return the share of its full speed at which a run works.

    Only fillers are paced and short of CPU: other tasks have theirs reserved, and
    their CPU use tells what they need of it.
    """
    pace = run.pace_percent / 100
    if not run.step.filler or run.used_cpu_millis < 0 or not pace:
        return pace
    if run.used_cpu_millis == 0 and now_s - run.sent_at_s < CPU_MEASURED_AFTER_S:
        return pace
    share = run.used_cpu_millis / max(1, run.step.need.cpu_millis)
    return share if share < CPU_SHORT_BELOW * pace else pace


@dataclass(slots=True)
class StepSeen:
    """
    What was seen of one step at work.

    ``ended`` holds the work of tasks that are done, by position, with the worker;
    ``failed_s`` the work of runs that failed before, ``runs`` the runs in progress.
    """

    ended: dict[int, tuple[float, str]] = field(default_factory=dict)
    runs: dict[int, RunSeen] = field(default_factory=dict)
    failed_s: dict[int, float] = field(default_factory=dict)
    done: set[int] = field(default_factory=set)
    # The median of what is known, and of how many tasks, until the next report.
    _median_s: float | None = None
    _known: int = 0
    _fresh: bool = False

    def run(self, run: Run, now_s: float) -> RunSeen:
        """Return what was seen of a run, from its beginning if it is new."""
        self._fresh = False
        seen = self.runs.get(run.key.position)
        if seen is None or seen.number != run.number:
            seen = self.runs[run.key.position] = RunSeen.begin(run, now_s)
        return seen

    def end(self, run: Run, now_s: float) -> None:
        """Take the end of a run that succeeded."""
        seen = self.run(run, now_s)
        seen.observe(run, now_s)
        total_s = seen.total_s()
        if total_s is not None:
            self.ended[run.key.position] = (total_s, run.worker_id.name)
        self.done.add(run.key.position)
        del self.runs[run.key.position]

    def fail(self, run: Run, now_s: float) -> None:
        """Take the end of a run that failed by itself."""
        seen = self.run(run, now_s)
        seen.observe(run, now_s)
        position = run.key.position
        self.failed_s[position] = self.failed_s.get(position, 0.0) + seen.worked_s
        del self.runs[position]

    @property
    def known(self) -> int:
        """Return the number of tasks whose work is known."""
        self._refresh()
        return self._known

    @property
    def longest_s(self) -> float | None:
        """Return the work of the longest task that is done, with its failed runs."""
        return max(
            (
                work_s + self.failed_s.get(position, 0.0)
                for position, (work_s, _) in self.ended.items()
            ),
            default=None,
        )

    def _works_s(self) -> list[float]:
        """Return the work of each task of which it is known."""
        works = [work_s for work_s, _ in self.ended.values()]
        for seen in self.runs.values():
            projected_s = seen.projected_s
            if projected_s is not None:
                works.append(projected_s)
        return works

    @property
    def median_s(self) -> float | None:
        """Return the median of the tasks' work, None if nothing is known."""
        self._refresh()
        return self._median_s

    def _refresh(self) -> None:
        if not self._fresh:
            works_s = self._works_s()
            self._known = len(works_s)
            self._median_s = statistics.median(works_s) if works_s else None
            self._fresh = True
