"""Divide the descriptors of a process among its files, clients and workers."""

from dataclasses import dataclass

# Kept for files, as on the users' machines.
FILE_DESCRIPTORS = 200
# For the store, the advice service, connections to peers, and connections that are
# accepted before others have made room for them.
OTHER_SOCKETS = 96
CLIENTS_MIN = 48


@dataclass(frozen=True, slots=True)
class DescriptorPlan:
    """How many connections of clients, and to workers, a process may have."""

    clients: int
    workers: int


def plan_descriptors(descriptors_max: int, clients_ratio: float) -> DescriptorPlan:
    """Return the plan for a process; ``clients_ratio`` of its sockets are clients'."""
    sockets = max(0, descriptors_max - FILE_DESCRIPTORS)
    clients = max(CLIENTS_MIN, int(sockets * clients_ratio))
    return DescriptorPlan(clients, max(1, sockets - clients - OTHER_SOCKETS))
