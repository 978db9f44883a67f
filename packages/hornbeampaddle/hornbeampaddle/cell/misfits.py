"""Remember which kinds of steps found no worker in a decision."""

from dataclasses import dataclass, field

from ..resources import Resources
from .jobs import Step


@dataclass(slots=True)
class Misfits:
    """
    What found no worker in this decision, by service and image.

    When the queue is long, most steps ask for as much as one that was just looked
    for in vain. Without this, each of hundreds of them looks at every worker.
    """

    _needs: dict[tuple[str, str, str], Resources] = field(default_factory=dict)

    def covers(self, service: str, step: Step) -> bool:
        """Tell whether a step that asks for no more has found no worker."""
        need = self._needs.get(_kind(service, step))
        return need is not None and need.fits_in(step.need)

    def add(self, service: str, step: Step) -> None:
        """Note a step that found no worker; the smallest need counts."""
        if step.per_worker_max or step.gang:
            return
        need = self._needs.get(_kind(service, step))
        if need is None or step.need.fits_in(need):
            self._needs[_kind(service, step)] = step.need


def _kind(service: str, step: Step) -> tuple[str, str, str]:
    # Only fillers are placed by their image.
    return (service, step.worker_label, step.image if step.filler else "")
