"""
Measure, in virtual time, how long workers go without a decider.

Real entry instances on fakes: an instance dies at a random moment, and the
span until every one of its workers has a new epoch is taken. Also the span
until its jobs have a successor, and the log's appends.
"""

import random
import sys
from pathlib import Path

import numpy

sys.path.insert(0, str(Path(__file__).parent.parent / "features"))

from support.scene import TIMING, Scene  # noqa: E402

RUNS = 200


def _one(seed: int, instances: int, workers: int) -> tuple[float, float]:
    """Return seconds until all workers, and until all jobs, are taken over."""
    scene = Scene(instances, workers, seed=seed)
    scene.start_all()
    victim = max(scene.names, key=lambda n: len(scene.control(n).fleet.held()))
    scene.submit(victim, "job", tasks=workers, run_s=60.0)
    scene.pass_s(random.Random(seed).uniform(1.0, 3.0))
    scene.kill(victim)
    begun_s = scene.loop.time()

    def held() -> bool:
        return scene.held() == workers

    def succeeded() -> bool:
        tables = [i.control.jobs.table for i in scene.instances.values()]
        return all(not t.jobs["job"].owner.startswith(f"{victim}~") for t in tables)

    assert scene.until(held)
    held_s = scene.loop.time() - begun_s
    assert scene.until(succeeded)
    succeeded_s = scene.loop.time() - begun_s
    scene.close()
    return held_s, succeeded_s


def main() -> None:
    """Print percentiles for several sizes."""
    print(f"an instance dies; suspicion after {TIMING['suspect_after_s']} s")
    print("instances workers runs | decider p50 p99 max s | owner p50 p99 max s")
    for instances, workers, runs in ((3, 10, RUNS), (8, 30, 20), (3, 100, 20)):
        spans = numpy.array([_one(s, instances, workers) for s in range(runs)])
        cells = []
        for column in (0, 1):
            values = spans[:, column]
            p50, p99 = numpy.percentile(values, [50, 99])
            cells.append(f"{p50:.2f} {p99:.2f} {values.max():.2f}")
        print(f"{instances:9} {workers:7} {runs:4} | {cells[0]} | {cells[1]}")


if __name__ == "__main__":
    main()
