"""Submit and cancel jobs, as a caller would."""

import asyncio
from dataclasses import dataclass, field
from typing import Annotated

import cappa
import msgspec

from hornbeampaddle.records import JobSpec

from ..client import Client, decode_response, parse_address
from .plan import NeedsOptions
from .request import CallerOptions


@cappa.command(help="Submit a job; it is accepted once it is stored durably.")
@dataclass
class Submit(CallerOptions):
    """Submit one job."""

    job_id: str = ""
    team: Annotated[str, cappa.Arg(long="--team")] = "default"
    kind: Annotated[str, cappa.Arg(long="--kind")] = "batch"
    tasks: Annotated[int, cappa.Arg(long="--tasks")] = 1
    run_s: Annotated[float, cappa.Arg(long="--run-s")] = 1.0
    needs: cappa.Destructured[NeedsOptions] = field(default_factory=NeedsOptions)

    def __call__(self) -> None:
        """Send the job and print the response."""
        spec = JobSpec(
            job_id=self.job_id,
            team=self.team,
            kind=self.kind,
            tasks=self.tasks,
            needs=self.needs.needs(),
            run_s=self.run_s,
        )
        client = Client(parse_address(self.instance))
        body = msgspec.json.encode(spec)
        answer = decode_response(asyncio.run(client.call("POST", "/v1/jobs", body)))
        print(f"Accepted {answer['job_id']}, owned by {answer['owner']}.")


@cappa.command(help="Cancel a job; its running tasks are stopped.")
@dataclass
class CancelJob(CallerOptions):
    """Cancel one job."""

    job_id: str = ""

    def __call__(self) -> None:
        """Send the cancellation and print the response."""
        client = Client(parse_address(self.instance))
        response = asyncio.run(client.call("DELETE", f"/v1/jobs/{self.job_id}"))
        answer = decode_response(response)
        print(f"Cancelled {answer['job_id']}.")
