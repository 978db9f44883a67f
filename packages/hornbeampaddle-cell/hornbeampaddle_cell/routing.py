"""
Find the queue that a request names, or say what keeps this instance from knowing.

"No such queue" is final for a caller, so it is only said by a configuration that is
known to be recent. With an older one the request is refused, to be repeated elsewhere.
"""

from dataclasses import dataclass

import structlog

from .callers import FRESH_READ_S, NotAccepted
from .follower import Follower
from .ports import Configuration, QueueRoute
from .settings import InstanceSettings

log = structlog.get_logger()

# Another instance most likely knows; a second is what the balancer needs to look away.
RETRY_CONFIGURATION_S = 1


@dataclass(frozen=True, slots=True)
class Routed:
    """
    The queue that a request names, and the rest of its path: a job id, if there is one.

    Unless the configuration is ``recent``, the queue may have been closed in time, and
    the rest of the path may name a queue that was added.
    """

    route: QueueRoute
    job_id: str
    recent: bool


@dataclass(frozen=True, slots=True)
class NoSuchQueue:
    """No queue is reached there, by a recent configuration."""


Found = Routed | NoSuchQueue | NotAccepted


def route_of(configuration: Configuration, host: str, path: str) -> QueueRoute | None:
    """Find the longest prefix among the routes of a host."""
    best: QueueRoute | None = None
    for route in configuration.routes:
        if route.host != host or not path.startswith(route.path_prefix):
            continue
        if best is None or len(route.path_prefix) > len(best.path_prefix):
            best = route
    return best


class Routing:
    """The operator's configuration as this instance knows it, and how recent it is."""

    def __init__(self, settings: InstanceSettings, operator: Follower) -> None:
        """Start without a configuration; ``operator`` follows the operator's log."""
        self.settings = settings
        self.operator = operator
        self.configuration: Configuration | None = None
        # True while the newest configuration cannot be decoded. The previous one stays
        # in force, but does not show which queues have since been added or removed.
        self.configuration_unreadable = False

    def take(self, configuration: Configuration) -> bool:
        """Take in a configuration; tell whether it is newer than the one in force."""
        self.configuration_unreadable = False
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        return True

    def recent(self) -> bool:
        """Tell whether a missing queue is certain not to have been added in time."""
        return self.operator.age_s() < self.settings.configuration_recent_s

    async def find(self, host: str, path: str) -> Found:
        """Return the queue of a request; waits briefly if a fresh read may help."""
        if self.configuration is None:
            return NotAccepted("no_configuration", RETRY_CONFIGURATION_S)
        if not self.recent() and not self.operator.lost:
            # The process was suspended, and its first read since is under way.
            await self.operator.catch_up(FRESH_READ_S)
        recent = self.recent() and not self.configuration_unreadable
        route = route_of(self.configuration, host, path)
        if route is not None:
            return Routed(route, path[len(route.path_prefix) :], recent)
        if recent:
            return self._unknown(self.configuration, host, path)
        return self.too_old(host, path)

    def too_old(self, host: str, path: str) -> NotAccepted:
        """
        Refuse what only a recent configuration can answer.

        Guards against final answers from a configuration that was replaced while this
        instance was suspended or out of the store's reach: callers of a queue added
        long ago were told that there is none until it had caught up.
        """
        configuration = self.configuration
        log.warning(
            "queue: cannot tell",
            host=host,
            path=path,
            version=configuration.version if configuration is not None else 0,
            age_s=round(self.operator.age_s(), 3),
            unreadable=self.configuration_unreadable,
        )
        reason = "configuration_too_old"
        if self.configuration_unreadable:
            reason = "configuration_unreadable"
        return NotAccepted(reason, RETRY_CONFIGURATION_S)

    def _unknown(
        self, configuration: Configuration, host: str, path: str
    ) -> NoSuchQueue:
        log.info(
            "queue: unknown",
            host=host,
            path=path,
            version=configuration.version,
            age_s=round(self.operator.age_s(), 3),
        )
        return NoSuchQueue()
