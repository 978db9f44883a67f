"""Print values as text tables or as JSON."""

import json
from collections.abc import Iterable, Sequence
from typing import Any

COLUMN_GAP = "  "


def table(columns: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return an aligned text table."""
    cells = [list(columns)] + [[_cell(value) for value in row] for row in rows]
    widths = [max(len(row[i]) for row in cells) for i in range(len(columns))]
    lines = []
    for row in cells:
        padded = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append(COLUMN_GAP.join(padded).rstrip())
    return "\n".join(lines)


def _cell(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)


def print_rows(value: Any, as_json: bool, columns: Sequence[str], key: str) -> None:
    """Print the rows ``value[key]`` as a table, or the entire value as JSON."""
    if as_json:
        print(json.dumps(value))
        return
    rows = [[row.get(column) for column in columns] for row in value[key]]
    print(table(columns, rows))
