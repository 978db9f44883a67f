"""Print the delays of late jobs by stage, from log files."""

import json
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from ..logfiles import read_texts
from ..losses import TIME_BIN_S, Losses, losses
from ..story import parse
from ..tables import table


@cappa.command(name="losses", help="Sum up the delays of late jobs by queue and stage.")
@dataclass
class LossesCommand:
    """Read logs of any number of instances, in any order."""

    files: Annotated[list[Path], cappa.Arg(help="Log files; none: standard input.")] = (
        field(default_factory=list)
    )
    json: Annotated[bool, cappa.Arg(long="--json", help="Print one JSON object.")] = (
        False
    )

    def __call__(self) -> None:
        """Sum up the delays and print the tables and the plot by time."""
        found = losses(parse(read_texts(self.files)))
        if self.json:
            print(json.dumps(asdict(found)))
            return
        queues = [
            [name, found.ended[name], found.late.get(name, 0)] for name in found.ended
        ]
        print(table(["queue", "ended", "late"], sorted(queues)))
        print()
        rows = [
            [row.queue, row.stage, f"{row.jobs:.1f}", f"{row.seconds:.1f}"]
            for row in found.rows
        ]
        print(table(["queue", "stage", "jobs lost", "seconds"], rows))
        print()
        print(_plot(found))


def _plot(found: Losses) -> str:
    """Return a bar for each time bin: the late jobs that were accepted in it."""
    last = max(found.by_slot, default=-1)
    bars = [found.by_slot.get(slot, 0) for slot in range(last + 1)]
    lines = [f"{TIME_BIN_S * n:6.0f} s  {'#' * count}" for n, count in enumerate(bars)]
    return "\n".join(["late jobs by the time at which they were accepted", *lines])
