"""Print one request's log lines from log files, the cause of its outcome first."""

import json
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from ..logfiles import read_texts
from ..story import build_story, format_line, parse


@cappa.command(help="Trace a request through logs (files, or standard input).")
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
        """Derive the cause and print it with the log lines."""
        story = build_story(parse(read_texts(self.files)), self.job_id)
        if self.json:
            print(json.dumps(asdict(story)))
            return
        print(f"{story.job_id}: {story.cause}")
        lines = sorted(story.lines + story.around, key=lambda x: x["timestamp"])
        for line in lines:
            print(format_line(line, lines[0]["timestamp"]))
