"""Measure an idle data centre: memory, CPU usage, traffic and start-up time."""

import time

from .processes import entries, measure, standins, wait_for_workers

WORKERS = 30
INSTANCES = 3
MEASUREMENT_S = 10.0
LIMITS = "limits: 64 MB, 2.5% of a core, 18 KB/s"


def main() -> None:
    """Print the usage of one entry instance of three, with 30 workers."""
    with standins(WORKERS) as standin_addresses:
        begun_s = time.monotonic()
        with entries(INSTANCES, standin_addresses["platform"]) as started:
            up_s = time.monotonic() - begun_s
            wait_for_workers(started, WORKERS)
            held_s = time.monotonic() - begun_s
            time.sleep(3.0)
            usage = measure(started[0], MEASUREMENT_S)
    print(f"at rest: {WORKERS} workers, {INSTANCES} instances; {LIMITS}")
    print(f"  start-up: {up_s:.2f} s until all answer, {held_s:.2f} s until all held")
    print(f"  memory:   {usage.memory_mb:.1f} MB")
    print(f"  cpu:      {usage.cpu_percent:.2f} % of a core")
    print(f"  traffic:  {usage.bytes_per_s / 1000:.1f} KB/s both ways")
    print(f"  messages: {usage.messages_per_s:.1f} a second")


if __name__ == "__main__":
    main()
