"""Explain the placement of a task, or why it does not run."""

import json
from dataclasses import dataclass
from typing import Annotated

import cappa

from ..client import OperatorOptions, operator_call


@cappa.command(help="Explain why a task is placed where it is, or why it does not run.")
@dataclass
class Explain(OperatorOptions):
    """Explain one task."""

    task: Annotated[str, cappa.Arg(help="The task, as JOB/NUMBER.")] = ""

    def __call__(self) -> None:
        """Fetch the explanation and print it."""
        value = operator_call(self, "GET", f"/v1/explain/{self.task}")
        if self.json:
            print(json.dumps(value))
            return
        print(f"{self.task}: {value['why']}")
        for name in ("attempt", "failures", "losses", "failed_on", "owner"):
            if value.get(name):
                print(f"  {name}: {value[name]}")
