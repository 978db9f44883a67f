"""
Measure, in virtual time, how long a confirmed change takes to apply everywhere.

Entry instances run on a fake platform with the default timings but for a call timeout
of 1 s: once with the log reachable by all, once by one instance only.
"""

import sys
from pathlib import Path

import numpy

from hornbeampaddle.intents import ChangeQuota
from hornbeampaddle.records import Needs

sys.path.insert(0, str(Path(__file__).parent.parent / "features"))

from support.scene import Scene  # noqa: E402

CHANGES = 20


def _measure_propagation(
    instances: int, log_cut_off: bool
) -> tuple[list[float], float]:
    """Return each change's time until applied everywhere, and peer messages/s each."""
    scene = Scene(instances, workers=4, timing={"call_timeout_s": 1.0})
    scene.start_all()
    scene.pass_s(3.0)
    if log_cut_off:
        for name in scene.names[1:]:
            scene.network.cut_both(name, "log")
    sent_before = _peer_messages_sent(scene)
    begun_s = scene.loop.time()
    spans = []
    for number in range(CHANGES):
        plan = scene.plan("e0", ChangeQuota("team", Needs(number + 1, 0, 0)))
        confirmed_s = scene.loop.time()
        status, verdict = scene.confirm("e0", plan)
        assert status == 200, verdict
        offset = verdict["offset"]
        applied_everywhere = _applied_everywhere(scene, offset)
        assert scene.until(applied_everywhere)
        spans.append(scene.loop.time() - confirmed_s)
        scene.pass_s(0.37)
    rate = (
        (_peer_messages_sent(scene) - sent_before)
        / (scene.loop.time() - begun_s)
        / instances
    )
    scene.close()
    return spans, rate


def _applied_everywhere(scene: Scene, offset: int):  # type: ignore[no-untyped-def]
    contexts = [instance.context for instance in scene.instances.values()]
    return lambda: all(c.configuration.offset >= offset for c in contexts)


def _peer_messages_sent(scene: Scene) -> int:
    return sum(i.peers.traffic.sent for i in scene.instances.values())


def main() -> None:
    """Print the times from confirmation until applied by every instance."""
    print("from confirmation until in force everywhere, s (limit 3)")
    print("instances  log in reach of   p50   max   peer messages/s each")
    for instances in (3, 8, 24):
        for log_cut_off in (False, True):
            spans, rate = _measure_propagation(instances, log_cut_off)
            p50 = numpy.percentile(spans, 50)
            reach = "one" if log_cut_off else "all"
            print(
                f"{instances:9}  {reach:15}  {p50:5.2f} {max(spans):5.2f}   {rate:6.1f}"
            )


if __name__ == "__main__":
    main()
