"""Print latency statistics of each queue's jobs by stage, from log files."""

import json
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from ..budget import budget
from ..logfiles import read_texts
from ..story import parse
from ..tables import table

COLUMNS = ("queue", "stage", "count", "median_s", "p95_s")


@cappa.command(help="Print how long each queue's jobs spend in each stage.")
@dataclass
class Budget:
    """Read logs of any number of instances, in any order."""

    files: Annotated[list[Path], cappa.Arg(help="Log files; none: standard input.")] = (
        field(default_factory=list)
    )
    json: Annotated[bool, cappa.Arg(long="--json", help="Print one JSON object.")] = (
        False
    )

    def __call__(self) -> None:
        """Compute the stages and print them."""
        stages = budget(parse(read_texts(self.files)))
        if self.json:
            print(json.dumps({"stages": [asdict(stage) for stage in stages]}))
            return
        rows = [(s.queue, s.stage, s.count, s.median_s, s.tail_s) for s in stages]
        print(table(COLUMNS, rows))
