"""Name instances, tasks and attempts so that a name is never used twice."""

import secrets
from dataclasses import dataclass

SEPARATOR = "~"
ATTEMPT_MARK = "#"
NUMBERS_CHARACTERS_MAX = 40
OWNER_MARK = "/"


def new_incarnation(instance_id: str) -> str:
    """Return a name for one life of an entry instance's process."""
    return f"{instance_id}{SEPARATOR}{secrets.token_hex(4)}"


def instance_of(incarnation: str) -> str:
    """Return the instance id that an incarnation belongs to."""
    return incarnation.partition(SEPARATOR)[0]


def owner_name(incarnation: str, number: int) -> str:
    """
    Return the name under which an incarnation owns jobs.

    An incarnation whose jobs were taken over goes on under the next number.
    """
    return f"{incarnation}{OWNER_MARK}{number}"


def incarnation_of(owner: str) -> str:
    """Return the incarnation behind an owner's name."""
    return owner.partition(OWNER_MARK)[0]


@dataclass(frozen=True, slots=True, order=True)
class AttemptId:
    """
    One attempt to run one task.

    ``term`` is the log offset of the record that made the task's owner its
    owner, so two owners never choose the same name for an attempt. Of two
    attempts of a task the greater one is the later one.
    """

    task_id: str
    term: int
    number: int

    def __str__(self) -> str:
        return f"{self.task_id}{ATTEMPT_MARK}{self.term}.{self.number}"

    @classmethod
    def parse(cls, text: str) -> "AttemptId":
        """Read the form that ``str`` writes; raise ValueError for another."""
        task_id, mark, rest = text.rpartition(ATTEMPT_MARK)
        term, dot, number = rest.partition(".")
        numbers = (term, number)
        plain = all(n.isascii() and n.isdigit() for n in numbers)
        if not mark or not dot or not plain or len(rest) > NUMBERS_CHARACTERS_MAX:
            raise ValueError(f"not an attempt id: {text!r}")
        return cls(task_id, int(term), int(number))
