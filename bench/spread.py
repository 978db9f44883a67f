"""
Measure, in virtual time, how long a confirmed change takes to be in force.

Real entry instances on fakes with the product's default timings: once with the
log within everybody's reach, once with all but one instance cut off from it.
"""

import sys
from pathlib import Path

import numpy

from hornbeampaddle.intents import ChangeQuota
from hornbeampaddle.records import Needs

sys.path.insert(0, str(Path(__file__).parent.parent / "features"))

from support.scene import Scene  # noqa: E402

CHANGES = 20


def _spread(instances: int, cut: bool) -> tuple[list[float], float]:
    """Return each change's time until all have it, and peer messages a second."""
    scene = Scene(instances, workers=4, timing={"call_timeout_s": 1.0})
    scene.start_all()
    scene.pass_s(3.0)
    if cut:
        for name in scene.names[1:]:
            scene.network.cut_both(name, "log")
    sent_before = _sent(scene)
    begun_s = scene.loop.time()
    spans = []
    for number in range(CHANGES):
        plan = scene.plan("e0", ChangeQuota("team", Needs(number + 1, 0, 0)))
        confirmed_s = scene.loop.time()
        status, verdict = scene.confirm("e0", plan)
        assert status == 200, verdict
        offset = verdict["offset"]
        everywhere = _reached(scene, offset)
        assert scene.until(everywhere)
        spans.append(scene.loop.time() - confirmed_s)
        scene.pass_s(0.37)
    rate = (_sent(scene) - sent_before) / (scene.loop.time() - begun_s) / instances
    scene.close()
    return spans, rate


def _reached(scene: Scene, offset: int):  # type: ignore[no-untyped-def]
    contexts = [instance.context for instance in scene.instances.values()]
    return lambda: all(c.configuration.offset >= offset for c in contexts)


def _sent(scene: Scene) -> int:
    return sum(i.peers.traffic.sent for i in scene.instances.values())


def main() -> None:
    """Print percentiles from the confirmation until every instance has it."""
    print("from confirmation until in force everywhere, s (limit 3)")
    print("instances  log in reach of   p50   max   peer messages/s each")
    for instances in (3, 8, 24):
        for cut in (False, True):
            spans, rate = _spread(instances, cut)
            p50 = numpy.percentile(spans, 50)
            reach = "one" if cut else "all"
            print(
                f"{instances:9}  {reach:15}  {p50:5.2f} {max(spans):5.2f}   {rate:6.1f}"
            )


if __name__ == "__main__":
    main()
