"""Run the whole system with a simulated platform, in one process on loopback."""

import asyncio
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa


@cappa.command(help="Run the whole system on a simulated platform for half a minute.")
@dataclass
class Demo:
    """Run the demonstration."""

    json: Annotated[
        bool, cappa.Arg(long="--json", help="Print the result as one line of JSON.")
    ] = False
    seed: Annotated[int, cappa.Arg(long="--seed", help="Seed of the random load.")] = 1
    out: Annotated[
        Path | None,
        cappa.Arg(long="--out", help="Directory for settings, logs and traces."),
    ] = None

    def __call__(self) -> None:
        """Run the demonstration; exit with 1 if a guarantee was violated."""
        # Only this command needs the packages of the simulators and the daemon.
        from ..demo import run_demo

        good = asyncio.run(run_demo(self.seed, self.out, self.json))
        if not good:
            raise cappa.Exit(code=1)
