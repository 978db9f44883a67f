"""Record what the stand-ins executed, independently of the product's reports."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Ledger:
    """
    Executions, duplicate executions and capacity overruns of all workers.

    A request or task counts as doubled when two runs of it overlap, or when a
    run begins after another one was completed.
    """

    requests_begun: dict[str, int] = field(default_factory=dict)
    requests_ended: dict[str, int] = field(default_factory=dict)
    tasks_running: dict[str, int] = field(default_factory=dict)
    tasks_done: dict[str, int] = field(default_factory=dict)
    attempts_begun: int = 0
    attempts_stopped: int = 0
    attempts_lapsed: int = 0
    doubled: list[str] = field(default_factory=list)
    overruns: list[str] = field(default_factory=list)
    once: set[str] = field(default_factory=set)

    def request_begun(self, key: str, may_repeat: bool) -> None:
        """Record the start of a request; ``may_repeat`` allows duplicates."""
        begun = self.requests_begun.get(key, 0)
        overlaps = begun > self.requests_ended.get(key, 0)
        if not may_repeat and (overlaps or begun):
            self.doubled.append(f"request {key}")
        self.requests_begun[key] = begun + 1

    def request_ended(self, key: str) -> None:
        """Record the end of a request's run, completed or not."""
        self.requests_ended[key] = self.requests_ended.get(key, 0) + 1

    def attempt_begun(self, task_id: str) -> None:
        """Record the start of an attempt of a task."""
        self.attempts_begun += 1
        running = self.tasks_running.get(task_id, 0)
        if running or task_id in self.tasks_done:
            self.doubled.append(f"task {task_id}")
        self.tasks_running[task_id] = running + 1

    def attempt_ended(self, task_id: str, done: bool) -> None:
        """Record the end of an attempt; ``done`` if it completed the task."""
        self.tasks_running[task_id] -= 1
        if done:
            self.tasks_done[task_id] = self.tasks_done.get(task_id, 0) + 1

    def overrun(self, what: str) -> None:
        """Record an order that exceeds a worker's capacity."""
        self.overruns.append(what)
