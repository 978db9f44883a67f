"""Simulated instance list, which lags behind the actual machines."""

from dataclasses import dataclass, field, replace

from hornbeampaddle.machines import Standing, Worker


@dataclass(slots=True)
class InstanceList:
    """The workers that the platform lists; ``version`` counts the changes."""

    workers: dict[str, Worker] = field(default_factory=dict)
    version: int = 1

    def put(self, worker: Worker) -> None:
        """Add or replace a worker's entry."""
        self.workers[worker.worker_id] = worker
        self.version += 1

    def mark(self, worker_id: str, standing: Standing) -> None:
        """Change the standing of a listed worker."""
        self.put(replace(self.workers[worker_id], standing=standing))

    def remove(self, worker_id: str) -> None:
        """Remove a worker's entry."""
        del self.workers[worker_id]
        self.version += 1
