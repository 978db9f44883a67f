"""
Choose the lasting tasks to stop where room is needed, by what their callers lose.

A lasting task that is stopped serves nobody until it has ended, found a place and
started up again. A set of tasks on one worker is judged by that loss for each place
that it makes, together with the room that is free there already.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from .progress import Run, RunPhase
from .workers import WorkerState

# Time that a lasting task takes to serve its users again once it has a place.
START_UP_S = 1.0
# Time at work up to which a task counts as just started: twice as long as it may have
# waited for its place, so that it is at work for most of the time.
JUST_STARTED_S = 12.0


@dataclass(frozen=True, slots=True)
class VictimSet:
    """
    Tasks on one worker that make places together, and what callers lose by them.

    ``loss_s`` is the time without service, summed over the tasks.
    """

    worker: WorkerState
    runs: tuple[Run, ...]
    places: int
    loss_s: float

    @property
    def loss_per_place_s(self) -> float:
        """Return the loss for each place."""
        return self.loss_s / self.places


def may_stop(run: Run, now_s: float, at_work_min_s: float) -> bool:
    """Return whether a run may be stopped to make room."""
    if not run.step.lasting or run.phase is not RunPhase.RUNNING:
        return False
    if run.step.filler or run.step.unavailable_max or run.step.gang:
        # The operator limits how many of these the scheduler may make unavailable.
        return False
    return now_s - run.confirmed_at_s > at_work_min_s


def loss_s(run: Run, stop_s: float, now_s: float) -> float:
    """Return the service that callers lose if a run is stopped, in seconds."""
    at_work_s = now_s - run.confirmed_at_s
    # The start-up is lost for nothing if the task leaves again soon after.
    return stop_s + START_UP_S + max(0.0, JUST_STARTED_S - at_work_s)


def cheapest_set(
    worker: WorkerState,
    place_millis: int,
    wanted: int,
    stoppable: Iterable[Run],
    stop_s: float,
    now_s: float,
) -> VictimSet | None:
    """
    Return the set with the lowest loss for each of up to ``wanted`` places.

    Returns None if the worker has no room for one even without all ``stoppable`` runs.
    """
    ranked = sorted(
        ((loss_s(run, stop_s, now_s), run) for run in stoppable),
        key=lambda item: (item[0] / max(1, item[1].charge.cpu_millis), item[1].key),
    )
    free_millis = worker.free().cpu_millis
    already = max(0, free_millis) // place_millis
    best: VictimSet | None = None
    lost_s = 0.0
    for count, (run_loss_s, run) in enumerate(ranked, 1):
        lost_s += run_loss_s
        free_millis += run.charge.cpu_millis
        places = min(wanted, free_millis // place_millis - already)
        if places < 1:
            continue
        runs = tuple(run for _, run in ranked[:count])
        found = VictimSet(worker, runs, places, lost_s)
        if best is None or found.loss_per_place_s < best.loss_per_place_s:
            best = found
        if places == wanted:
            break
    return best


def ranked_sets(
    workers: Iterable[WorkerState],
    place_millis: int,
    wanted: int,
    may_leave: Callable[[Run], bool],
    stop_s: float,
    now_s: float,
) -> list[VictimSet]:
    """Return the best set of each worker, the lowest loss for each place first."""
    found: list[VictimSet] = []
    for worker in workers:
        stoppable = [run for run in worker.runs.values() if may_leave(run)]
        best = cheapest_set(worker, place_millis, wanted, stoppable, stop_s, now_s)
        if best is not None:
            found.append(best)
    return sorted(found, key=lambda item: item.loss_per_place_s)
