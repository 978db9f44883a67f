"""Print an instance's events, once or continuously."""

import json
import time
from dataclasses import dataclass
from typing import Annotated

import cappa

from ..client import OperatorOptions, operator_call

FOLLOW_INTERVAL_S = 1.0


@cappa.command(help="Print events; with --follow, until interrupted.")
@dataclass
class Events(OperatorOptions):
    """Print events of one instance."""

    follow: Annotated[
        bool, cappa.Arg(long="--follow", help="Keep printing new events.")
    ] = False

    def __call__(self) -> None:
        """Fetch and print events; with ``follow``, poll for new ones."""
        number = 0
        while True:
            value = operator_call(self, "GET", f"/v1/events?from={number}")
            number = value["next"]
            for event in value["events"]:
                if self.json:
                    print(json.dumps(event), flush=True)
                else:
                    line = f"{event['at_s']:9.2f}s {event['part']}: {event['text']}"
                    print(line, flush=True)
            if not self.follow:
                return
            time.sleep(FOLLOW_INTERVAL_S)
