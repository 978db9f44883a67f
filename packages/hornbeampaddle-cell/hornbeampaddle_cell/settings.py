"""Keep the settings of one instance, each with its unit and its reason."""

from dataclasses import dataclass, field

from hornbeampaddle.cell.settings import CellSettings
from hornbeampaddle.machines import Address


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """
    What one instance is told at its start.

    ``instance_id`` names this life of the process. ``cores`` describes
    its machine.
    """

    instance_id: str
    name: str
    data_centre: str
    cores: float
    # Where this process listens for its peers; without it they are not used.
    peer_address: Address | None = None
    cell: CellSettings = field(default_factory=CellSettings)
    # Between two reads of jobs and progress by an instance that does not hold
    # the cell: a caller's view is at most this old, and each read has a price.
    standby_read_s: float = 0.25
    # Read rate of the store, shared by all instances: those that do not hold the cell
    # read less often as the number of instances grows.
    store_reads_per_s: float = 2000.0
    # The holder's own view of the list of workers: drains must be seen in 2 s.
    workers_read_s: float = 0.4
    # A read waits this long for a record. Twice this is still below the 2 s in
    # which a new configuration must be in force after a connection went silent.
    read_wait_s: float = 1.0
    # The same for the holder's read of the log of jobs: an answer that was lost costs
    # half a second less before new jobs are seen again, and an idle cell one call more
    # a second.
    holder_read_wait_s: float = 0.5
    # "No such queue" is said by a configuration that was the newest so long ago or
    # less: a new one has to be in force 2 s after it was stored.
    configuration_recent_s: float = 1.8
    # An instance that could not read for so long says that it is not ready:
    # three reads have failed by then.
    stale_s: float = 2.5
    # A job that the store has not taken after so long is refused, if it is
    # certain not to be stored: the caller's next try reaches another instance.
    append_patience_s: float = 0.25
    # The wait for the answer to an append: ten times a slow one.
    append_timeout_s: float = 1.0
    # After SIGTERM: the balancer needs two misses, a second apart, to look
    # away; new connections are served until then.
    drain_s: float = 2.6
    # The whole time from SIGTERM to the end of the process.
    grace_s: float = 5.0
    # An instance of one core waits this long before it claims, one of two cores half
    # as long: more than a claim takes to be seen by others, 0.1 s.
    claim_delay_core_s: float = 0.25
    claim_jitter_s: float = 0.1
