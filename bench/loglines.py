"""Print the time per log line, kept and dropped, in microseconds."""

import os
import statistics
import time

import structlog

from hornbeampaddle_cell import logs

ROUNDS = 9
# Fewer lines than the writer keeps of one event between two flushes, so that the first
# half of a round is kept; twice as many exceed that limit, so that lines of the second
# half are dropped. All rounds together fit the writer's buffer.
LINES_PER_ROUND = 100
FIELDS = {
    "job": "5c0e7a21d94b36f8",
    "epoch": 7,
    "task": ("5c0e7a21d94b36f8", 0, 1, 17),
    "run": 2,
    "worker": "i-eff2f21e3c",
    "waited_s": 0.012,
    "report_age_s": 0.2,
    "free_cpu_millis": 12_000,
}


def _cost_per_line_us(log: structlog.stdlib.BoundLogger) -> float:
    begun_s = time.perf_counter()
    for _ in range(LINES_PER_ROUND):
        log.info("start", **FIELDS)
    return (time.perf_counter() - begun_s) / LINES_PER_ROUND * 1e6


def main() -> None:
    """Print the median over the rounds, of kept and of dropped lines."""
    # The pipe has no reader: the writer drops what the pipe does not take.
    _, write_end = os.pipe()
    writer = logs.set_up("i0", write_end)
    log = structlog.get_logger()
    kept, dropped = [], []
    for _ in range(ROUNDS):
        writer.flush()
        kept.append(_cost_per_line_us(log))
        dropped.append(_cost_per_line_us(log))
    print(f"kept {statistics.median(kept):.1f} us, ", end="")
    print(f"dropped {statistics.median(dropped):.1f} us")


if __name__ == "__main__":
    main()
