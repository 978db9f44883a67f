"""
Disable the scheduler's mechanisms one at a time and print the earned credits.

Every variant runs on the same emulated days as the complete scheduler. The relay and
the store are not part of the emulator; their effect is visible only where the store
refuses instances.
"""

import argparse
import statistics
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from contextlib import AbstractContextManager, nullcontext
from unittest.mock import patch

from hornbeampaddle.cell import dispatch, moving, pacing, placing, slow_starts, urgency
from hornbeampaddle.cell.interference import PRIOR_SLOPE, Interference
from hornbeampaddle.cell.scheduler import Scheduler
from hornbeampaddle.cell.separating import Separator
from hornbeampaddle.cell.slack_forecast import SlackForecaster
from hornbeampaddle_standins.cell.demand import Demand
from hornbeampaddle_standins.cell.emulator import Emulator
from hornbeampaddle_standins.cell.loads import LOADS

PROCESSES = 2
SIMULATED_S = 40.0
SETTLE_S = 8.0
KINDS = ("urgent", "serving", "batch")


def _no_op(*_: object) -> None:
    """Replace a mechanism by one that does nothing."""


ABLATIONS: dict[str, Callable[[], AbstractContextManager[object]]] = {
    "everything as it is": nullcontext,
    "learned interference": lambda: patch.object(
        Interference, "slope", lambda *_: PRIOR_SLOPE
    ),
    "pacing": lambda: patch.object(pacing.Pacer, "_set", _no_op),
    "preemption": lambda: patch.object(dispatch, "make_room", _no_op),
    "kin": lambda: patch.object(placing, "SIMILARITY_WEIGHT_MILLIS", 0),
    "outlook, kin in its place": lambda: patch.object(Scheduler, "outlook", _no_op),
    "expected swings": lambda: patch.object(SlackForecaster, "choose", _no_op),
    "exchanges": lambda: patch.object(Separator, "separate", _no_op),
    "moves of slow fillers": lambda: patch.object(moving, "move_slow_fillers", _no_op),
    "slow starts of idle jobs": lambda: patch.object(
        slow_starts, "left_idle", lambda *_: False
    ),
    "the guard for late jobs": lambda: patch.object(urgency, "chance_of", lambda *_: 0),
}


def play(load: str, seed: int, mechanism: str) -> tuple[float, dict[str, float], float]:
    """
    Emulate one day with a mechanism disabled.

    Return the share of credits in total and by kind, and the longest time that fillers
    kept a serving task over its target, in seconds.
    """
    with ABLATIONS[mechanism]():
        emulator = Emulator(Demand(seed, LOADS[load]))
        emulator.play(SIMULATED_S)
        emulator.settle(SETTLE_S)
    earnings = emulator.earnings()
    shares = {kind: earnings[kind].ratio for kind in KINDS if kind in earnings}
    return emulator.total(), shares, emulator.longest_over_s


def main() -> None:
    """Print a row per load and disabled mechanism, with the spread over the seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--load", action="append", choices=sorted(LOADS))
    parser.add_argument("--without", action="append", choices=sorted(ABLATIONS))
    parser.add_argument("--seeds", type=int, default=4)
    options = parser.parse_args()
    seeds = range(1, options.seeds + 1)
    print("| load | without | total | spread | urgent | serving | batch | over s |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    with ProcessPoolExecutor(PROCESSES) as pool:
        for load in options.load or ["usual", "crowded", "hostile", "pressing"]:
            for name in options.without or ABLATIONS:
                days = list(
                    pool.map(play, [load] * len(seeds), seeds, [name] * len(seeds))
                )
                totals = [total for total, _, _ in days]
                cells = [f"{statistics.fmean(totals):.3f}"]
                cells.append(f"{max(totals) - min(totals):.3f}")
                for kind in KINDS:
                    share = statistics.fmean(d[1].get(kind, 0.0) for d in days)
                    cells.append(f"{share:.3f}")
                cells.append(f"{max(over_s for _, _, over_s in days):.1f}")
                print(f"| {load} | {name} | {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    main()
