"""
Read the thresholds that an operator overrides, from a JSON file.

    {"cell": {"lease_s": 6.0, "keeps_urgent_room": false}, "instance": {"stale_s": 2.0}}

Every name is a field of ``CellSettings`` or ``InstanceSettings``. All errors in a file
are reported at once.
"""

from dataclasses import fields, replace
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from hornbeampaddle.cell.settings import CellSettings
from hornbeampaddle.decoding import UnreadableError, decode

from .settings import InstanceSettings

# A threshold may be set to between a tenth and ten times its default: a value beyond
# that is most likely given in the wrong unit.
RANGE_FACTOR = 10.0
# Parts of one whole: together they may not be more than this.
WHOLES = {
    ("clients_memory_ratio", "jobs_memory_ratio"): 0.9,
    ("client_sockets_ratio",): 0.9,
}
# Fields that describe the machine and the process; the platform sets them.
NOT_OVERRIDABLE = {
    "instance_id",
    "name",
    "data_centre",
    "cores",
    "peer_address",
    "memory_bytes",
    "descriptors",
    "record_bytes",
    "cell",
}

Settings = TypeVar("Settings", CellSettings, InstanceSettings)


class OverrideError(Exception):
    """The file cannot be used; the message lists every error."""


class Overrides(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Overridden thresholds and switches by field name."""

    cell: dict[str, float | bool] = {}
    instance: dict[str, float | bool] = {}


_decoder = msgspec.json.Decoder(Overrides)


def read_overrides(path: Path) -> Overrides:
    """Read and validate a file; raises ``OverrideError``."""
    try:
        overrides = decode(_decoder, path.read_bytes())
    except (OSError, UnreadableError) as error:
        raise OverrideError(f"{path}: {error}") from error
    errors = [
        *_errors("cell", overrides.cell, thresholds(CellSettings)),
        *_errors("instance", overrides.instance, thresholds(InstanceSettings)),
        *_whole_errors(overrides.instance, thresholds(InstanceSettings)),
    ]
    if errors:
        raise OverrideError(f"{path}: " + "; ".join(errors))
    return overrides


def thresholds(kind: type) -> dict[str, float | bool]:
    """Return the defaults of the fields that may be overridden, switches included."""
    return {
        field.name: field.default
        for field in fields(kind)
        if field.name not in NOT_OVERRIDABLE and isinstance(field.default, int | float)
    }


def _errors(
    part: str, given: dict[str, float | bool], known: dict[str, float | bool]
) -> list[str]:
    errors = []
    for name, value in given.items():
        if name not in known:
            errors.append(f"{part}.{name} is not known")
            continue
        is_switch = isinstance(known[name], bool)
        if is_switch != isinstance(value, bool):
            kind = "true or false" if is_switch else "a number"
            errors.append(f"{part}.{name} is {value}, not {kind}")
            continue
        if is_switch:
            continue
        low, high = known[name] / RANGE_FACTOR, known[name] * RANGE_FACTOR
        if not low <= value <= high:
            errors.append(f"{part}.{name} is {value}, not between {low} and {high}")
    return errors


def _whole_errors(
    given: dict[str, float | bool], known: dict[str, float | bool]
) -> list[str]:
    errors = []
    for names, whole in WHOLES.items():
        total = sum(given.get(name, known[name]) for name in names)
        if total > whole:
            parts = " and ".join(f"instance.{name}" for name in names)
            errors.append(f"{parts}: {total:g} of the whole, above {whole}")
    return errors


def apply(settings: InstanceSettings, overrides: Overrides) -> InstanceSettings:
    """Return the settings with the operator's overrides applied."""
    cell = _with_overrides(settings.cell, overrides.cell)
    return _with_overrides(replace(settings, cell=cell), overrides.instance)


def _with_overrides(settings: Settings, given: dict[str, float | bool]) -> Settings:
    values: dict[str, Any] = {}
    for name, value in given.items():
        default = getattr(settings, name)
        whole = isinstance(default, int) and not isinstance(default, bool)
        values[name] = round(value) if whole else value
    return replace(settings, **values)
