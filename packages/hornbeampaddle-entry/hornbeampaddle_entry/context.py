"""Define the state that all control components of one entry instance share."""

import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from hornbeampaddle.configuration import Configuration
from hornbeampaddle.defaults import Limits, Timing
from hornbeampaddle.machines import Worker
from hornbeampaddle.membership import Membership
from hornbeampaddle.messages import Message
from hornbeampaddle.owners import Owners

from .events import EventRing
from .ports import WorkerPort
from .settings import Settings
from .telemetry import Metrics


@dataclass(slots=True)
class Context:
    """
    The settings, shared state and outgoing interfaces of the control components.

    ``send`` sends a message to a peer, or drops it and returns False. ``spawn`` runs
    a coroutine in its own task, which is cancelled when the instance stops.
    """

    settings: Settings
    incarnation: str
    clock: Callable[[], float]
    rng: random.Random
    send: Callable[[str, Message], bool]
    spawn: Callable[[Coroutine[Any, Any, None]], None]
    post: Callable[[Any], None]
    port_of: Callable[[Worker], WorkerPort]
    metrics: Metrics
    events: EventRing
    membership: Membership
    timing: Timing
    limits: Limits
    owners: Owners = field(default_factory=Owners)
    configuration: Configuration = field(default_factory=Configuration)
    workers: dict[str, Worker] = field(default_factory=dict)
    started_s: float = 0.0
    leaving: bool = False

    def now_s(self) -> float:
        """Return the time of the instance's clock in seconds."""
        return self.clock()

    def usable(self, worker: Worker) -> bool:
        """Tell whether a worker may be given new work."""
        listed = self.workers.get(worker.worker_id)
        if listed is None or listed.standing.value != "live":
            return False
        return self.configuration.takes_work(listed)

    def may_keep_attempts(self, worker: Worker) -> bool:
        """Tell whether the attempts that run on a worker may continue."""
        listed = self.workers.get(worker.worker_id)
        if listed is None or listed.standing.value != "live":
            return False
        return not self.configuration.is_draining(listed)
