"""
Find the queue of a request by its host and path.

"No such queue" is final for a caller, so it is only answered from a configuration that
is known to be recent. With an older one the request is refused, to be repeated at
another instance.
"""

from dataclasses import dataclass

import structlog

from .callers import FRESH_READ_TIMEOUT_S, NotAccepted
from .follower import Follower
from .ports import Configuration, QueueRoute
from .settings import InstanceSettings

log = structlog.get_logger()

# Another instance most likely has a recent configuration; the load balancer needs a
# second to stop sending requests to this one.
CONFIGURATION_RETRY_AFTER_S = 1


@dataclass(frozen=True, slots=True)
class Routed:
    """
    The queue of a request, and the rest of its path: a job id, if there is one.

    Unless the configuration is ``recent``, the queue may have been closed meanwhile, or
    a queue may have been added whose prefix includes the rest of the path.
    """

    route: QueueRoute
    job_id: str
    recent: bool


@dataclass(frozen=True, slots=True)
class NoSuchQueue:
    """A recent configuration has no queue at the host and path."""


RouteResult = Routed | NoSuchQueue | NotAccepted


def route_of(configuration: Configuration, host: str, path: str) -> QueueRoute | None:
    """Return the host's route with the longest prefix of ``path``, if any."""
    best: QueueRoute | None = None
    for route in configuration.routes:
        if route.host != host or not path.startswith(route.path_prefix):
            continue
        if best is None or len(route.path_prefix) > len(best.path_prefix):
            best = route
    return best


class Routing:
    """The operator's configuration as read by this instance, and its age."""

    def __init__(self, settings: InstanceSettings, operator: Follower) -> None:
        """Start without a configuration; ``operator`` follows the operator's log."""
        self.settings = settings
        self.operator = operator
        self.configuration: Configuration | None = None
        # True while the newest configuration cannot be decoded. The previous one stays
        # in force, but does not show which queues have since been added or removed.
        self.configuration_unreadable = False

    def apply(self, configuration: Configuration) -> bool:
        """Apply a configuration if newer; return whether it came into force."""
        self.configuration_unreadable = False
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        return True

    def recent(self) -> bool:
        """Return whether the view is recent enough to rule out an added queue."""
        return self.operator.age_s() < self.settings.configuration_recent_s

    async def find(self, host: str, path: str) -> RouteResult:
        """Return the queue of a request; waits briefly for a read if outdated."""
        if self.configuration is None:
            return NotAccepted("no_configuration", CONFIGURATION_RETRY_AFTER_S)
        if not self.recent() and not self.operator.lost:
            # The process was suspended, and its first read after that is under way.
            await self.operator.catch_up(FRESH_READ_TIMEOUT_S)
        recent = self.recent() and not self.configuration_unreadable
        route = route_of(self.configuration, host, path)
        if route is not None:
            return Routed(route, path[len(route.path_prefix) :], recent)
        if recent:
            return self._no_such_queue(self.configuration, host, path)
        return self.refuse_too_old(host, path)

    def refuse_too_old(self, host: str, path: str) -> NotAccepted:
        """
        Refuse a request that only a recent configuration can answer.

        The configuration may have been replaced while this instance was suspended or
        could not reach the store. A final answer from it would tell callers of a queue
        added long ago that there is no such queue.
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
        return NotAccepted(reason, CONFIGURATION_RETRY_AFTER_S)

    def _no_such_queue(
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
