"""Show the applied configuration, lagging instances and the history of plans."""

import json
from dataclasses import dataclass
from typing import Annotated, Literal

import cappa

from ..client import OperatorOptions, operator_call
from ..tables import table


@cappa.command(help="Show the configuration: status (lagging instances) or history.")
@dataclass
class Config(OperatorOptions):
    """Print the applied offsets or the verdicts on plans."""

    what: Annotated[
        Literal["status", "history"], cappa.Arg(help="status or history.")
    ] = "status"

    def __call__(self) -> None:
        """Fetch the configuration and print it."""
        value = operator_call(self, "GET", "/v1/config")
        if self.json:
            print(json.dumps(value))
            return
        if self.what == "history":
            columns = ("offset", "record_id", "applied", "reason")
            rows = [[row[c] for c in columns] for row in value["history"]]
            print(table(columns, rows))
            return
        rows = [["(this instance)", value["offset"], 0]]
        for name, offset in value["peers"].items():
            rows.append([name, offset, max(0, value["offset"] - offset)])
        print(table(("instance", "offset", "behind"), rows))
