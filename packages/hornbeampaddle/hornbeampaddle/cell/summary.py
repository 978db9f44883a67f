"""Summarize a cell for the log: waiting and running tasks, free capacity."""

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .jobs import Step

if TYPE_CHECKING:
    from .scheduler import Scheduler


# A stop takes effect within 0.9 s, and one without an answer is repeated within 1.6 s.
OVERDUE_STOP_S = 3.0


@dataclass(frozen=True, slots=True)
class Summary:
    """
    A snapshot of a cell.

    ``waiting`` and ``running`` count tasks by kind: ``lasting``, ``filler`` or
    ``plain``. Free and spare CPU are thousandths of a core; they are totals over all
    usable workers, except for ``widest_free_cpu_millis``, the largest of one worker.
    ``overdue_stops`` counts the runs that were ordered to stop over ``OVERDUE_STOP_S``
    ago and whose end is still unknown. ``kept_places`` are those for urgent tasks on
    the kept workers, ``kept_places_wanted`` those that the forecast asks for.
    """

    open_jobs: int
    waiting: dict[str, int]
    running: dict[str, int]
    slow_fillers: int
    free_cpu_millis: int
    spare_cpu_millis: int
    widest_free_cpu_millis: int
    usable_workers: int
    silent_workers: int
    resting_workers: int
    over_target_workers: int
    evacuated_workers: int
    overdue_stops: int
    kept_workers: int
    kept_places: int
    kept_places_wanted: int


def kind_of(step: Step) -> str:
    """Return the kind of a step's tasks: lasting, filler or plain."""
    if step.lasting:
        return "lasting"
    return "filler" if step.filler else "plain"


def summary(cell: "Scheduler", now_s: float) -> Summary:
    """Return the summary of a cell."""
    waiting: Counter[str] = Counter()
    for state in cell.open_jobs.values():
        if state.status.final:
            continue
        for steps in state.occurrences.values():
            for step in steps:
                if all(steps[number].done for number in step.step.after):
                    waiting[kind_of(step.step)] += len(step.waiting())
    workers = list(cell.workers.values())
    runs = [run for worker in workers for run in worker.runs.values()]
    usable = [worker for worker in workers if worker.usable(now_s)]
    kept_rooms = cell.kept_room.services.values()
    return Summary(
        open_jobs=len(cell.open_jobs),
        waiting=dict(waiting),
        running=dict(Counter(kind_of(run.step) for run in runs)),
        slow_fillers=sum(run.slow_since_s is not None for run in runs),
        free_cpu_millis=sum(worker.free().cpu_millis for worker in usable),
        spare_cpu_millis=int(sum(worker.spare_cpu_millis() for worker in usable)),
        widest_free_cpu_millis=max((w.free().cpu_millis for w in usable), default=0),
        usable_workers=len(usable),
        silent_workers=sum(worker.silent for worker in workers),
        resting_workers=sum(worker.resting(now_s) for worker in workers),
        over_target_workers=sum(w.over_since_s is not None for w in workers),
        evacuated_workers=sum(worker.evacuated for worker in workers),
        overdue_stops=sum(
            now_s - run.stop_first_sent_at_s > OVERDUE_STOP_S for run in runs
        ),
        kept_workers=sum(len(room.kept) for room in kept_rooms),
        kept_places=sum(room.places for room in kept_rooms),
        kept_places_wanted=sum(room.places_wanted for room in kept_rooms),
    )
