"""
Measure, in virtual time, how long workers have no decider after a crash.

Entry instances run on a fake platform. One of them crashes at a random time.
Measured are the time until each of its workers has a new epoch, and the time
until its jobs have a successor.
"""

import random
import sys
from pathlib import Path

import numpy

sys.path.insert(0, str(Path(__file__).parent.parent / "features"))

from support.scene import TIMING, Scene  # noqa: E402

RUNS = 200


def _measure_takeover(seed: int, instances: int, workers: int) -> tuple[float, float]:
    """Return the seconds until all workers and until all jobs are taken over."""
    scene = Scene(instances, workers, seed=seed)
    scene.start_all()
    killed = max(scene.names, key=lambda n: len(scene.control(n).fleet.held()))
    scene.submit(killed, "job", tasks=workers, run_s=60.0)
    scene.pass_s(random.Random(seed).uniform(1.0, 3.0))
    scene.kill(killed)
    begun_s = scene.loop.time()

    def held() -> bool:
        return scene.held() == workers

    def jobs_taken_over() -> bool:
        tables = [i.control.jobs.table for i in scene.instances.values()]
        return all(not t.jobs["job"].owner.startswith(f"{killed}~") for t in tables)

    assert scene.until(held)
    held_s = scene.loop.time() - begun_s
    assert scene.until(jobs_taken_over)
    jobs_taken_over_s = scene.loop.time() - begun_s
    scene.close()
    return held_s, jobs_taken_over_s


def main() -> None:
    """Print the percentiles for several sizes."""
    print(f"an instance dies; suspicion after {TIMING['suspect_after_s']} s")
    print("instances workers runs | decider p50 p99 max s | owner p50 p99 max s")
    for instances, workers, runs in ((3, 10, RUNS), (8, 30, 20), (3, 100, 20)):
        spans = numpy.array(
            [_measure_takeover(s, instances, workers) for s in range(runs)]
        )
        cells = []
        for column in (0, 1):
            values = spans[:, column]
            p50, p99 = numpy.percentile(values, [50, 99])
            cells.append(f"{p50:.2f} {p99:.2f} {values.max():.2f}")
        print(f"{instances:9} {workers:7} {runs:4} | {cells[0]} | {cells[1]}")


if __name__ == "__main__":
    main()
