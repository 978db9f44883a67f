"""Show the workers of an instance's data centre."""

from dataclasses import dataclass

import cappa

from ..client import OperatorOptions, operator_call
from ..tables import print_rows

COLUMNS = (
    "worker_id",
    "rack",
    "standing",
    "draining",
    "evacuated",
    "decider",
    "epoch",
    "attempts",
    "sick",
)


@cappa.command(help="List the workers of the instance's data centre.")
@dataclass
class Workers(OperatorOptions):
    """Print one line for each worker."""

    def __call__(self) -> None:
        """Fetch the workers and print them."""
        value = operator_call(self, "GET", "/v1/workers")
        print_rows(value, self.json, COLUMNS, "workers")
