"""Check each specification with all guards and with each guard removed."""

import sys
from dataclasses import dataclass, fields
from pathlib import Path
from types import ModuleType

from minicheck import check_safety

from . import cell, crashes, restarts, slots, takeover

MAX_STATES = 2_000_000
SPECIFICATIONS = (takeover, slots, cell, crashes, restarts)


@dataclass(frozen=True)
class Finding:
    """
    The checker's result for one specification, with at most one guard removed.

    ``broken`` names the violated invariants, ``steps`` is the length of the shortest
    counterexample and ``trace`` its labels.
    """

    specification: str
    removed: str
    states: int
    broken: tuple[str, ...]
    steps: int
    trace: tuple[str, ...]


def check(module: ModuleType, removed: str = "") -> Finding:
    """Check one specification; raise if the search is incomplete."""
    guards = module.Guards(**({removed: False} if removed else {}))
    report = check_safety(module.protocol(guards), max_states=MAX_STATES)
    broken = {
        name: verdict["counterexample"]
        for name, verdict in report["properties"].items()
        if not verdict["holds"]
    }
    shortest: list[dict] = min(broken.values(), key=len, default=[])
    return Finding(
        module.__name__.rpartition(".")[2],
        removed,
        report["reachable_states"],
        tuple(broken),
        max(0, len(shortest) - 1),
        tuple(_label(step) for step in shortest[1:]),
    )


def _label(step: dict) -> str:
    return str(step["label"])


def findings() -> list[Finding]:
    """Check every specification with all guards and with each guard removed."""
    found = []
    for module in SPECIFICATIONS:
        found.append(check(module))
        found.extend(check(module, f.name) for f in fields(module.Guards))
    return found


def table(found: list[Finding]) -> str:
    """Return the findings as a Markdown table."""
    lines = [
        "| specification | guard removed | states | promise broken | steps |",
        "| --- | --- | --- | --- | --- |",
    ]
    for f in found:
        broken = "; ".join(f.broken) or "none"
        removed = f.removed or "(none)"
        steps = str(f.steps) if f.broken else ""
        row = f"| {f.specification} | {removed} | {f.states} | {broken} | {steps} |"
        lines.append(row)
    return "\n".join(lines)


def main() -> int:
    """Print the table and each guard's shortest trace; return the exit code."""
    found = findings()
    print(table(found))
    for f in found:
        if f.broken:
            print(f"\n{f.specification} without {f.removed}: " + ", ".join(f.trace))
    if len(sys.argv) > 1:
        Path(sys.argv[1]).write_text(table(found) + "\n")
    return 0 if matches_expectations(found) else 1


def matches_expectations(found: list[Finding]) -> bool:
    """Return whether invariants hold with all guards and fail without any one guard."""
    return all(bool(f.broken) == bool(f.removed) for f in found)


if __name__ == "__main__":
    sys.exit(main())
