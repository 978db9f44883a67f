"""Build the unique names of incarnations, owners and attempts."""

import secrets
from dataclasses import dataclass

INCARNATION_SEPARATOR = "~"
ATTEMPT_SEPARATOR = "#"
ATTEMPT_NUMBERS_LENGTH_MAX = 40
OWNER_NUMBER_SEPARATOR = "/"


def new_incarnation(instance_id: str) -> str:
    """Return a unique name for one run of an entry instance's process."""
    return f"{instance_id}{INCARNATION_SEPARATOR}{secrets.token_hex(4)}"


def instance_of(incarnation: str) -> str:
    """Return the instance id that an incarnation belongs to."""
    return incarnation.partition(INCARNATION_SEPARATOR)[0]


def owner_name(incarnation: str, number: int) -> str:
    """
    Return the name under which an incarnation owns jobs.

    An incarnation whose jobs were taken over continues under the next number.
    """
    return f"{incarnation}{OWNER_NUMBER_SEPARATOR}{number}"


def incarnation_of(owner: str) -> str:
    """Return the incarnation behind an owner's name."""
    return owner.partition(OWNER_NUMBER_SEPARATOR)[0]


@dataclass(frozen=True, slots=True, order=True)
class AttemptId:
    """
    The id of one attempt to run one task.

    ``term`` is the log offset of the record that made the task's owner its
    owner, so two owners never generate the same id. Of two attempts of a task,
    the later one compares greater.
    """

    task_id: str
    term: int
    number: int

    def __str__(self) -> str:
        return f"{self.task_id}{ATTEMPT_SEPARATOR}{self.term}.{self.number}"

    @classmethod
    def parse(cls, text: str) -> "AttemptId":
        """Parse the output of ``str``; raise ``ValueError`` for any other text."""
        task_id, mark, rest = text.rpartition(ATTEMPT_SEPARATOR)
        term, dot, number = rest.partition(".")
        numbers = (term, number)
        plain = all(n.isascii() and n.isdigit() for n in numbers)
        if not mark or not dot or not plain or len(rest) > ATTEMPT_NUMBERS_LENGTH_MAX:
            raise ValueError(f"not an attempt id: {text!r}")
        return cls(task_id, int(term), int(number))
