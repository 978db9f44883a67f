"""Show one entry instance: its peers, services, authority and outcomes."""

import json
from dataclasses import dataclass

import cappa

from ..client import OperatorOptions, operator_call
from ..tables import table

SERVICE_COLUMNS = (
    "service",
    "repeat",
    "workers",
    "free_slots",
    "waiting",
    "in_flight",
)


@cappa.command(help="Show an entry instance, its peers and its services.")
@dataclass
class Status(OperatorOptions):
    """Print the status of an instance."""

    def __call__(self) -> None:
        """Fetch the status and print it."""
        status = operator_call(self, "GET", "/v1/status")
        if self.json:
            print(json.dumps(status))
            return
        plain = {k: v for k, v in status.items() if not isinstance(v, list | dict)}
        print(table(("what", "value"), plain.items()))
        print()
        peers = status["peers"]
        columns = ("instance_id", "live", "leaving", "config_offset", "log_reachable")
        print(table(columns, [[p[c] for c in columns] for p in peers]))
        print()
        of_service = (
            "service",
            "repeat",
            "workers",
            "free_slots",
            "waiting",
            "in_flight",
        )
        print(
            table(of_service, [[s[c] for c in of_service] for s in status["services"]])
        )
        print()
        print(table(("outcome", "count"), status["outcomes"].items()))
