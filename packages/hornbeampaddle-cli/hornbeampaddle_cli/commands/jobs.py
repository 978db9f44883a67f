"""Show the jobs of an instance's data centre."""

from dataclasses import dataclass

import cappa

from ..client import OperatorOptions, operator_call
from ..tables import print_rows

COLUMNS = ("job_id", "team", "kind", "tasks", "state", "ended", "owner")


@cappa.command(help="List the jobs of the instance's data centre.")
@dataclass
class Jobs(OperatorOptions):
    """Print one line for each job."""

    def __call__(self) -> None:
        """Fetch the jobs and print them."""
        value = operator_call(self, "GET", "/v1/jobs")
        print_rows(value, self.json, COLUMNS, "jobs")
