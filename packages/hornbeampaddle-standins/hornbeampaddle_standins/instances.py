"""Stand in for the instance list, which lags behind the machines."""

from dataclasses import dataclass, field, replace

from hornbeampaddle.machines import Standing, Worker


@dataclass(slots=True)
class InstanceList:
    """The workers that the platform lists, with a version that counts changes."""

    workers: dict[str, Worker] = field(default_factory=dict)
    version: int = 1

    def put(self, worker: Worker) -> None:
        """List a worker, or list it anew."""
        self.workers[worker.worker_id] = worker
        self.version += 1

    def mark(self, worker_id: str, standing: Standing) -> None:
        """Change what is said of a worker."""
        self.put(replace(self.workers[worker_id], standing=standing))

    def remove(self, worker_id: str) -> None:
        """Take a worker off the list."""
        del self.workers[worker_id]
        self.version += 1
