"""
Name workers by their incarnation, and remember the incarnations that have ended.

A worker may start again under the id that it had. It then knows nothing of before: it
has no runs, ends or fencing token, and its counts and its clock start anew. Its id and
the time of its start together name one incarnation.
"""

from collections.abc import Collection
from typing import NamedTuple

# The time of birth of a worker that states none, and in records that have none.
UNKNOWN_BIRTH_MS = 0
# Ended incarnations that are remembered; a late write may list one of them again within
# seconds of its end.
ENDED_MAX = 1000


class WorkerId(NamedTuple):
    """
    One incarnation of a worker.

    ``name`` is the worker's id. ``born_ms`` is the Unix time of its start in
    milliseconds, on the worker's clock.
    """

    name: str
    born_ms: int = UNKNOWN_BIRTH_MS

    def __str__(self) -> str:
        """Return ``NAME@BORN_MS``, or the name alone if the birth is unknown."""
        return f"{self.name}@{self.born_ms}" if self.birth_known else self.name

    @classmethod
    def parse(cls, text: str) -> "WorkerId":
        """Return the incarnation that ``str`` was applied to."""
        name, _, born_ms = text.rpartition("@")
        if name and born_ms.isdecimal():
            return cls(name, int(born_ms))
        return cls(text)

    @property
    def birth_known(self) -> bool:
        """Return whether the time of its start is known."""
        return self.born_ms != UNKNOWN_BIRTH_MS

    def without_birth(self) -> "WorkerId":
        """Return the id under which records without births name it."""
        return WorkerId(self.name)


NO_WORKER = WorkerId("")


class Incarnations:
    """
    The current incarnation of each worker, and the last ones that have ended.

    Records of runs name workers without their births. The births are stored by name
    when they change, with the records of that decision: when an incarnation ends, all
    its runs end or pass to its successor in the same decision, so a record of a run
    always means the incarnation whose birth was stored last.
    """

    def __init__(self) -> None:
        """Start without any worker."""
        self._current: dict[str, WorkerId] = {}
        # The births in the log, and the changes to them that are to be stored; None
        # deletes one.
        self.stored_births_ms: dict[str, int] = {}
        self._birth_changes_ms: dict[str, int | None] = {}
        # The keys, oldest first, are the incarnations.
        self._ended: dict[WorkerId, None] = {}

    def current(self, name: str) -> WorkerId | None:
        """Return the current incarnation of a worker, or None if there is none."""
        return self._current.get(name)

    def names(self) -> set[str]:
        """Return the workers that have a current incarnation."""
        return set(self._current)

    def begin(self, worker_id: WorkerId) -> None:
        """Make an incarnation the current one of its worker."""
        self._current[worker_id.name] = worker_id
        self._note_birth(worker_id.name, worker_id.born_ms or None)

    def remove(self, worker_id: WorkerId) -> None:
        """Forget an incarnation whose state is unknown."""
        if self._current.get(worker_id.name) == worker_id:
            del self._current[worker_id.name]
            self._note_birth(worker_id.name, None)

    def _note_birth(self, name: str, born_ms: int | None) -> None:
        if self.stored_births_ms.get(name) == born_ms:
            self._birth_changes_ms.pop(name, None)
        else:
            self._birth_changes_ms[name] = born_ms

    def keep_births(self, names: Collection[str]) -> None:
        """Delete the stored births of all workers but these and the known ones."""
        for name in self.stored_births_ms.keys() - names - self._current.keys():
            self._note_birth(name, None)

    def take_birth_changes(self) -> dict[str, int | None]:
        """Return the births to store by name, None to delete one, and clear them."""
        changes, self._birth_changes_ms = self._birth_changes_ms, {}
        for name, born_ms in changes.items():
            if born_ms is None:
                self.stored_births_ms.pop(name, None)
            else:
                self.stored_births_ms[name] = born_ms
        return changes

    def end(self, worker_id: WorkerId) -> None:
        """Note that an incarnation has certainly ended."""
        self.remove(worker_id)
        if not worker_id.birth_known:
            return
        self._ended[worker_id] = None
        if len(self._ended) > ENDED_MAX:
            del self._ended[next(iter(self._ended))]

    def outdated(self, worker_id: WorkerId) -> bool:
        """
        Return whether an entry of the list of workers names an earlier incarnation.

        Guards against the release of runs that go on: a write of an earlier incarnation
        may take effect seconds after the worker has started again.
        """
        if worker_id in self._ended:
            return True
        current = self._current.get(worker_id.name)
        return current is not None and worker_id.born_ms < current.born_ms
