"""
Read the thresholds that an operator sets, from a JSON file.

    {"cell": {"lease_s": 6.0}, "instance": {"stale_s": 2.0}}

Every name is a field of ``CellSettings`` or ``InstanceSettings``. All errors of a file
are reported at once.
"""

from dataclasses import fields, replace
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from hornbeampaddle.cell.settings import CellSettings

from .settings import InstanceSettings

# A threshold may be set to between a tenth and ten times its default: beyond that it
# is a slip of the unit.
RANGE_FACTOR = 10.0
# What describes the machine and the process is told by the platform.
TOLD = {"instance_id", "name", "data_centre", "cores", "peer_address", "cell"}

Settings = TypeVar("Settings", CellSettings, InstanceSettings)


class OverrideError(Exception):
    """The file cannot be used; the message names every error."""


class Overrides(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Thresholds by name."""

    cell: dict[str, float] = {}
    instance: dict[str, float] = {}


def read_overrides(path: Path) -> Overrides:
    """Read and check a file."""
    try:
        overrides = msgspec.json.decode(path.read_bytes(), type=Overrides)
    except (OSError, msgspec.MsgspecError) as error:
        raise OverrideError(f"{path}: {error}") from error
    errors = [
        *_errors("cell", overrides.cell, thresholds(CellSettings)),
        *_errors("instance", overrides.instance, thresholds(InstanceSettings)),
    ]
    if errors:
        raise OverrideError(f"{path}: " + "; ".join(errors))
    return overrides


def thresholds(kind: type) -> dict[str, float]:
    """Return the defaults of what may be set."""
    return {
        field.name: field.default
        for field in fields(kind)
        if field.name not in TOLD and isinstance(field.default, int | float)
    }


def _errors(part: str, given: dict[str, float], known: dict[str, float]) -> list[str]:
    errors = []
    for name, value in given.items():
        if name not in known:
            errors.append(f"{part}.{name} is not known")
            continue
        low, high = known[name] / RANGE_FACTOR, known[name] * RANGE_FACTOR
        if not low <= value <= high:
            errors.append(f"{part}.{name} is {value}, not between {low} and {high}")
    return errors


def apply(settings: InstanceSettings, overrides: Overrides) -> InstanceSettings:
    """Return the settings with what the operator set."""
    cell = _replaced(settings.cell, overrides.cell)
    return _replaced(replace(settings, cell=cell), overrides.instance)


def _replaced(settings: Settings, given: dict[str, float]) -> Settings:
    values: dict[str, Any] = {}
    for name, value in given.items():
        whole = isinstance(getattr(settings, name), int)
        values[name] = round(value) if whole else value
    return replace(settings, **values)
