"""Be the binary ``hornbeampaddled``: run, check or show one instance's settings."""

import asyncio
import json
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import structlog
from result import Err, Ok

from .instance import Instance
from .settings import Settings, in_force, read_settings
from .telemetry import set_up_logs

EXIT_BAD_SETTINGS = 2
EXIT_ABANDONED = 3

log = structlog.get_logger()


def _read(path: Path) -> Settings:
    match read_settings(path):
        case Ok(settings):
            return settings
        case Err(faults):
            for fault in faults:
                print(f"{path}: {fault}", file=sys.stderr)
            raise cappa.Exit(code=EXIT_BAD_SETTINGS)


@cappa.command(name="check-settings", help="Check a settings file; print all errors.")
@dataclass
class CheckSettings:
    """Check a settings file and print each error with its place."""

    file: Annotated[Path, cappa.Arg(help="The settings file.")]

    def __call__(self) -> None:
        """Exit with 0 if the file is good, with 2 if not."""
        _read(self.file)
        print(f"{self.file}: no errors")


@cappa.command(name="show-settings", help="Print the settings in force, as JSON.")
@dataclass
class ShowSettings:
    """Print what a settings file puts in force, defaults included."""

    file: Annotated[Path, cappa.Arg(help="The settings file.")]

    def __call__(self) -> None:
        """Print JSON; secrets are masked."""
        print(json.dumps(in_force(_read(self.file)), indent=2))


@cappa.command(
    name="hornbeampaddled",
    help="Run one entry instance of the hornbeampaddle scheduler.",
)
@dataclass
class Daemon:
    """Run one entry instance until SIGTERM or SIGINT."""

    settings: Annotated[
        Path | None, cappa.Arg(long="--settings", help="The settings file.")
    ] = None
    command: cappa.Subcommands[CheckSettings | ShowSettings | None] = None

    def __call__(self) -> None:
        """Run the instance."""
        if self.settings is None:
            print("hornbeampaddled: give --settings FILE, or --help", file=sys.stderr)
            raise cappa.Exit(code=EXIT_BAD_SETTINGS)
        settings = _read(self.settings)
        set_up_logs(settings.telemetry)
        abandoned = asyncio.run(_serve(settings))
        if abandoned:
            raise cappa.Exit(code=EXIT_ABANDONED)


async def _serve(settings: Settings) -> bool:
    """Run until told to stop; return whether work was abandoned."""
    loop = asyncio.get_running_loop()
    signals: asyncio.Queue[signal.Signals] = asyncio.Queue()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.put_nowait, number)
    instance = Instance(settings)
    await instance.start()
    await signals.get()
    draining = asyncio.create_task(instance.drain())
    second = asyncio.create_task(signals.get())
    await asyncio.wait({draining, second}, return_when=asyncio.FIRST_COMPLETED)
    if draining.done():
        second.cancel()
        abandoned = draining.result()
        requests = abandoned.requests
    else:
        requests = instance.control.desk.busy()
        draining.cancel()
        await asyncio.gather(draining, return_exceptions=True)
        await instance.stop()
    if requests:
        log.warning("instance: Abandoned requests.", requests=requests)
    return requests > 0


def main() -> None:
    """Run the command line."""
    cappa.invoke(Daemon)
