"""Print one request's story from log files, the cause first."""

import json
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from ..logfiles import read_texts
from ..story import one_line, parse, tell


@cappa.command(help="Tell a request's story from logs (files, or standard input).")
@dataclass
class Trace:
    """Read logs of any number of instances, in any order."""

    job_id: Annotated[str, cappa.Arg(help="The id of the request.")]
    files: Annotated[list[Path], cappa.Arg(help="Log files; none: standard input.")] = (
        field(default_factory=list)
    )
    json: Annotated[bool, cappa.Arg(long="--json", help="Print one JSON object.")] = (
        False
    )

    def __call__(self) -> None:
        """Read, derive the cause, print."""
        story = tell(parse(read_texts(self.files)), self.job_id)
        if self.json:
            print(json.dumps(asdict(story)))
            return
        print(f"{story.job_id}: {story.cause}")
        lines = sorted(story.lines + story.around, key=lambda x: x["timestamp"])
        for line in lines:
            print(one_line(line, lines[0]["timestamp"]))
