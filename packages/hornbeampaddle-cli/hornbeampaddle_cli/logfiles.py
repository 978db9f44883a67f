"""Read log lines from files or from standard input."""

import sys
from collections.abc import Iterator
from pathlib import Path

from .errors import UserError


def read_texts(files: list[Path]) -> Iterator[str]:
    """Yield the lines of the files, or of standard input if there are none."""
    if not files:
        yield from sys.stdin
        return
    for path in files:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as error:
            raise UserError(f"cannot read {path}: {error.strerror}") from error
