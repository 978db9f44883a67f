"""Show the attempts on the workers that an instance decides for."""

from dataclasses import dataclass

import cappa

from ..client import OperatorOptions, operator_call
from ..tables import show

COLUMNS = ("attempt", "worker_id", "state", "work_done_s", "owner")


@cappa.command(help="List attempts on the workers that the instance decides for.")
@dataclass
class Tasks(OperatorOptions):
    """Print one line for each attempt."""

    def __call__(self) -> None:
        """Ask and print."""
        value = operator_call(self, "GET", "/v1/tasks")
        show(value, self.json, COLUMNS, "tasks")
