"""
Define the command line of ``hornbeampaddled``.

It runs an entry instance, or checks or shows its settings.
"""

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

from hornbeampaddle_wire import background

from .instance import Instance
from .settings import Settings, effective_settings, read_settings
from .telemetry import set_up_logs

EXIT_FAILED = 1
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
    """Validates a settings file and prints each error with its location."""

    file: Annotated[Path, cappa.Arg(help="The settings file.")]

    def __call__(self) -> None:
        """Exit with 0 if the file is valid, otherwise with 2."""
        _read(self.file)
        print(f"{self.file}: no errors")


@cappa.command(name="show-settings", help="Print the effective settings as JSON.")
@dataclass
class ShowSettings:
    """Prints the effective settings of a settings file, with defaults."""

    file: Annotated[Path, cappa.Arg(help="The settings file.")]

    def __call__(self) -> None:
        """Print the settings as JSON, with secrets masked."""
        print(json.dumps(effective_settings(_read(self.file)), indent=2))


@cappa.command(
    name="hornbeampaddled",
    help="Run one entry instance of the hornbeampaddle scheduler.",
)
@dataclass
class Daemon:
    """Runs one entry instance until SIGTERM or SIGINT."""

    settings: Annotated[
        Path | None, cappa.Arg(long="--settings", help="The settings file.")
    ] = None
    command: cappa.Subcommands[CheckSettings | ShowSettings | None] = None

    def __call__(self) -> None:
        """Run the instance; exit with 3 if requests were aborted."""
        if self.settings is None:
            print("hornbeampaddled: give --settings FILE, or --help", file=sys.stderr)
            raise cappa.Exit(code=EXIT_BAD_SETTINGS)
        settings = _read(self.settings)
        set_up_logs(settings.telemetry)
        abandoned = asyncio.run(_serve(settings))
        if abandoned:
            raise cappa.Exit(code=EXIT_ABANDONED)


async def _serve(settings: Settings) -> bool:
    """
    Run until a signal, then drain; a second signal stops the instance at once.

    Return whether requests were aborted. Exits with 1 when a part has failed.
    """
    loop = asyncio.get_running_loop()
    signals: asyncio.Queue[signal.Signals] = asyncio.Queue()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.put_nowait, number)
    background.log_loop_errors(loop)
    instance = Instance(settings)
    await instance.start()
    first_signal = asyncio.create_task(signals.get())
    failing = asyncio.create_task(instance.failed.wait())
    await asyncio.wait({first_signal, failing}, return_when=asyncio.FIRST_COMPLETED)
    if instance.failed.is_set():
        # Its peers take over its jobs; half alive, it would keep them.
        log.error("instance: Ends, as a part of it has failed.")
        await instance.stop()
        raise cappa.Exit(code=EXIT_FAILED)
    draining = asyncio.create_task(instance.drain())
    second_signal = asyncio.create_task(signals.get())
    await asyncio.wait({draining, second_signal}, return_when=asyncio.FIRST_COMPLETED)
    if draining.done():
        second_signal.cancel()
        abandoned = draining.result()
        requests = abandoned.requests
    else:
        requests = instance.control.dispatcher.busy()
        draining.cancel()
        await asyncio.gather(draining, return_exceptions=True)
        await instance.stop()
    if requests:
        log.warning("instance: Aborted requests in flight.", requests=requests)
    return requests > 0


def main() -> None:
    """Run the command-line interface."""
    cappa.invoke(Daemon)
