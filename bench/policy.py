"""
Run the scheduler alone against random loads and print the earned credits.

The emulated day of a seed is the same for every policy, so the effect of a changed
threshold can be compared seed by seed. ``--set placing.SIMILARITY_WEIGHT_MILLIS=0``
sets a constant of a module of ``hornbeampaddle.cell``, ``--set
settings.pace_below_slack=1.3`` a field of the cell's settings.
"""

import argparse
import importlib
import statistics
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from typing import Any

from hornbeampaddle.cell.settings import CellSettings
from hornbeampaddle_standins.cell.demand import Demand
from hornbeampaddle_standins.cell.emulator import Emulator
from hornbeampaddle_standins.cell.loads import LOADS

PROCESSES = 4
SIMULATED_S = 50.0
SETTLE_S = 8.0
KINDS = ("urgent", "serving", "batch")


@dataclass(frozen=True)
class Change:
    """An override of a module constant or a setting."""

    module: str
    name: str
    value: float


@dataclass(frozen=True)
class DayResult:
    """The result of one emulated day: shares of the credits due, and durations."""

    load: str
    seed: int
    total: float
    by_kind: dict[str, float]
    longest_over_s: float
    decision_ms: float
    # Runs that failed by their worker's fault, and the sum over sound workers of the
    # time for which they were set aside.
    failed_by_workers: int
    sound_rest_s: float


def change(text: str) -> Change:
    """Parse ``MODULE.NAME=VALUE``."""
    path, _, value = text.partition("=")
    module, _, name = path.partition(".")
    return Change(module, name, float(value))


def _settings(changes: list[Change]) -> CellSettings:
    settings = CellSettings()
    for item in changes:
        if item.module == "settings":
            value: Any = item.value
            settings = replace(settings, **{item.name: value})
            continue
        module = importlib.import_module(f"hornbeampaddle.cell.{item.module}")
        kind = type(getattr(module, item.name))
        setattr(module, item.name, kind(item.value))
    return settings


def play(load: str, seed: int, changes: list[Change]) -> DayResult:
    """Emulate one day under the given overrides."""
    emulator = Emulator(Demand(seed, LOADS[load]), _settings(changes))
    took_s: list[float] = []
    decide = emulator.cell.decide

    def timed(now_s: float, wall_s: float):  # type: ignore[no-untyped-def]
        begun_s = time.perf_counter()
        decision = decide(now_s, wall_s)
        took_s.append(time.perf_counter() - begun_s)
        return decision

    emulator.cell.decide = timed  # type: ignore[method-assign]
    emulator.play(SIMULATED_S)
    emulator.settle(SETTLE_S)
    earnings = emulator.earnings()
    return DayResult(
        load,
        seed,
        emulator.total(),
        {kind: earnings[kind].ratio for kind in KINDS if kind in earnings},
        emulator.longest_over_s,
        1000 * statistics.fmean(took_s),
        emulator.failed_by_workers,
        emulator.sound_rest_s,
    )


def _row(load: str, days: list[DayResult]) -> str:
    shares = [statistics.fmean(day.total for day in days)]
    for kind in KINDS:
        shares.append(statistics.fmean(day.by_kind.get(kind, 0.0) for day in days))
    cells = [f"{share:.3f}" for share in shares]
    longest_s = max(day.longest_over_s for day in days)
    decision_ms = statistics.fmean(day.decision_ms for day in days)
    failed = statistics.fmean(day.failed_by_workers for day in days)
    sound_rest_s = statistics.fmean(day.sound_rest_s for day in days)
    return (
        f"| {load} | {len(days)} | {' | '.join(cells)} | {longest_s:.1f} "
        f"| {decision_ms:.1f} | {failed:.1f} | {sound_rest_s:.1f} |"
    )


def main() -> None:
    """Print a row per selected load, averaged over the seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--load", action="append", choices=sorted(LOADS))
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--set", action="append", type=change, default=[])
    options = parser.parse_args()
    loads = options.load or ["usual", "tight", "pressing"]
    print(
        "| load | days | total | urgent | serving | batch | longest over s | ms "
        "| lost to workers | sound aside s |"
    )
    print(f"|{10 * ' --- |'}")
    with ProcessPoolExecutor(PROCESSES) as pool:
        for load in loads:
            days = pool.map(
                play,
                [load] * options.seeds,
                range(1, options.seeds + 1),
                [options.set] * options.seeds,
            )
            print(_row(load, list(days)), flush=True)


if __name__ == "__main__":
    main()
