"""Define amounts of resources, and arithmetic and comparisons on them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Resources:
    """An amount of processor time, memory and whole accelerators."""

    cpu_millis: int = 0
    memory_bytes: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_bytes + other.memory_bytes,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_bytes - other.memory_bytes,
            self.accelerators - other.accelerators,
        )

    def largest(self, other: "Resources") -> "Resources":
        """Return the maximum of both amounts in each dimension."""
        return Resources(
            max(self.cpu_millis, other.cpu_millis),
            max(self.memory_bytes, other.memory_bytes),
            max(self.accelerators, other.accelerators),
        )

    def times(self, count: int) -> "Resources":
        """Return this amount multiplied by ``count``."""
        return Resources(
            self.cpu_millis * count,
            self.memory_bytes * count,
            self.accelerators * count,
        )

    def fits_in(self, room: "Resources") -> bool:
        """Tell whether this amount fits in ``room`` in every dimension."""
        return (
            self.cpu_millis <= room.cpu_millis
            and self.memory_bytes <= room.memory_bytes
            and self.accelerators <= room.accelerators
        )

    def lacking_in(self, room: "Resources") -> list[str]:
        """Return the names of the dimensions in which ``room`` is too small."""
        names = ("cpu_millis", "memory_bytes", "accelerators")
        return [name for name in names if getattr(self, name) > getattr(room, name)]

    def share_of(self, capacity: "Resources") -> float:
        """Return the largest fraction of ``capacity`` used, over all dimensions."""
        pairs = (
            (self.cpu_millis, capacity.cpu_millis),
            (self.memory_bytes, capacity.memory_bytes),
            (self.accelerators, capacity.accelerators),
        )
        return max((part / whole for part, whole in pairs if whole), default=0.0)


NOTHING = Resources()
