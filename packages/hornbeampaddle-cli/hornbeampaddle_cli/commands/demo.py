"""Run the whole system on stand-ins, in one process on loopback."""

import asyncio
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa


@cappa.command(help="Run the whole system on stand-ins for half a minute.")
@dataclass
class Demo:
    """Run the demonstration."""

    json: Annotated[
        bool, cappa.Arg(long="--json", help="End with one line of JSON.")
    ] = False
    seed: Annotated[int, cappa.Arg(long="--seed", help="Seed of the load.")] = 1
    out: Annotated[
        Path | None,
        cappa.Arg(long="--out", help="Keep settings, logs and traces here."),
    ] = None

    def __call__(self) -> None:
        """Run it, and exit with 1 if a promise was broken."""
        # Only this command needs the stand-ins and the daemon's packages.
        from ..demo import run_demo

        good = asyncio.run(run_demo(self.seed, self.out, self.json))
        if not good:
            raise cappa.Exit(code=1)
