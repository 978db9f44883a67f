"""Show the attempts on the workers whose decider is the instance."""

from dataclasses import dataclass

import cappa

from ..client import OperatorOptions, operator_call
from ..tables import print_rows

COLUMNS = ("attempt", "worker_id", "state", "work_done_s", "owner")


@cappa.command(help="List attempts on the workers whose decider is the instance.")
@dataclass
class Tasks(OperatorOptions):
    """Print one line for each attempt."""

    def __call__(self) -> None:
        """Fetch the attempts and print them."""
        value = operator_call(self, "GET", "/v1/tasks")
        print_rows(value, self.json, COLUMNS, "tasks")
