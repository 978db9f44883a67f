"""Record which steps found no worker in a decision."""

from dataclasses import dataclass, field

from ..resources import Resources
from .jobs import Step


@dataclass(slots=True)
class UnplaceableSteps:
    """
    The smallest needs that found no worker in a decision.

    They are kept by service, worker label and, for fillers, image. With a long queue,
    most steps need as much as one that has just found no worker. Without this record,
    hundreds of steps would each examine every worker.
    """

    _needs: dict[tuple[str, str, str], Resources] = field(default_factory=dict)

    def covers(self, service: str, step: Step) -> bool:
        """Return whether a step with no larger needs has found no worker."""
        need = self._needs.get(_kind(service, step))
        return need is not None and need.fits_in(step.need)

    def add(self, service: str, step: Step) -> None:
        """Record a step that found no worker; the smallest need is kept."""
        if step.per_worker_max or step.gang:
            return
        need = self._needs.get(_kind(service, step))
        if need is None or step.need.fits_in(need):
            self._needs[_kind(service, step)] = step.need


def _kind(service: str, step: Step) -> tuple[str, str, str]:
    # The image matters only for the placement of fillers.
    return (service, step.worker_label, step.image if step.filler else "")
