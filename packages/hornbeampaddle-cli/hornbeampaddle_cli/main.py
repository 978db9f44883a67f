"""Entry point of ``hornbeampaddle``, the operators' and callers' command line."""

import os
import sys
from dataclasses import dataclass

import cappa

from .commands.budget import Budget
from .commands.config import Config
from .commands.confirm import Confirm
from .commands.demo import Demo
from .commands.events import Events
from .commands.explain import Explain
from .commands.jobs import Jobs
from .commands.losses import LossesCommand
from .commands.plan import PlanCommand
from .commands.request import RequestCommand
from .commands.status import Status
from .commands.submit import CancelJob, Submit
from .commands.tasks import Tasks
from .commands.trace import Trace
from .commands.workers import Workers
from .errors import UserError

HELP = """Operate and use the hornbeampaddle scheduler.

Exit codes: 0 success, 2 invalid arguments, 3 refused without effect, 4 may have
taken effect, 5 instance unreachable.
"""


@cappa.command(name="hornbeampaddle", help=HELP)
@dataclass
class Main:
    """The subcommands."""

    command: cappa.Subcommands[
        PlanCommand
        | Confirm
        | Status
        | Workers
        | Tasks
        | Jobs
        | Explain
        | Config
        | Events
        | RequestCommand
        | Submit
        | CancelJob
        | Trace
        | LossesCommand
        | Budget
        | Demo
    ]


def main() -> None:
    """Run the command line."""
    try:
        cappa.invoke(Main)
    except UserError as error:
        print(f"hornbeampaddle: {error}", file=sys.stderr)
        sys.exit(error.code)
    except KeyboardInterrupt:
        sys.exit(130)
    except BrokenPipeError:
        # The reader has closed the pipe, as ``head`` does. Buffered output must not
        # be written at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(141)
