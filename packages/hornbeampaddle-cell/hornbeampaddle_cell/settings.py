"""Define the settings of one instance, each with its unit and its reason."""

from dataclasses import dataclass, field

from hornbeampaddle.cell.settings import CellSettings
from hornbeampaddle.machines import Address


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """
    The settings that one instance gets at its start.

    ``instance_id`` is unique for each run of the process. ``cores`` is the number of
    CPU cores of its machine, ``memory_bytes`` and ``descriptors`` are what the process
    may use at most, ``record_bytes`` is the largest record that the store takes.
    """

    instance_id: str
    name: str
    data_centre: str
    cores: float
    # Address at which this process listens for its peers; without one, no peers are
    # used.
    peer_address: Address | None = None
    cell: CellSettings = field(default_factory=CellSettings)
    # Shortest pause between two reads of jobs and progress by an instance that does not
    # hold the cell. It bounds the age of the view shown to callers against the cost of
    # reads.
    standby_read_s: float = 0.25
    # Read rate of the store in calls per second, shared by all instances: those that do
    # not hold the cell read less often as the number of instances grows.
    store_reads_per_s: float = 2000.0
    memory_bytes: int = 300 * 2**20
    descriptors: int = 4096
    record_bytes: int = 262_144
    # Share of the memory that clients may hold with what they send and do not read.
    clients_memory_ratio: float = 0.25
    # Share of the sockets for connections of clients; most are for workers.
    client_sockets_ratio: float = 0.125
    # How long a caller may take to send a body, and leave its answer unread.
    body_timeout_s: float = 20.0
    send_timeout_s: float = 20.0
    # Largest payload of a job.
    job_payload_bytes: int = 16_384
    # Number of steps of a job: more of them would not fit a record.
    job_steps_max: int = 1024
    # What a decision may walk over, in steps of jobs that have not ended: it takes a
    # fraction of the time after which a holder is replaced.
    decision_steps_max: int = 24_000
    # Share of the memory for the jobs that are kept; the smallest instance's counts.
    jobs_memory_ratio: float = 0.4
    # Pause between the holder's reads of the list of workers: drains must take effect
    # within 2 s.
    workers_read_s: float = 0.4
    # How long a read waits for a record. Twice this does not exceed the 2 s in which a
    # new configuration must be in force after a connection went silent.
    read_wait_s: float = 1.0
    # The same for the holder's reads of the log of jobs. After a lost answer new jobs
    # are seen half a second sooner than with ``read_wait_s``, at the cost of one more
    # call per second in an idle cell.
    holder_read_wait_s: float = 0.5
    # Age of the view up to which "no such queue" may be answered: a new configuration
    # must be in force 2 s after it was stored.
    configuration_recent_s: float = 1.8
    # Age of the view at which an instance reports that it is not ready: three reads
    # have failed by then.
    stale_s: float = 2.5
    # Time after which a job is refused if the store has not accepted it and it is
    # certain not to be stored: the caller's next attempt reaches another instance.
    append_patience_s: float = 0.25
    # Timeout of an append: ten times the duration of a slow one.
    append_timeout_s: float = 1.0
    # While appends are slow, a few instances append the records of all; false turns
    # that off.
    gathers_appends: bool = True
    # Time for which new connections are served after SIGTERM: the load balancer needs
    # two failed health checks, a second apart, to stop sending them.
    drain_s: float = 2.6
    # Time from SIGTERM to the end of the process.
    grace_s: float = 5.0
    # Delay of a claim by an instance with one core; with two cores it is half as long.
    # It exceeds the 0.1 s after which other instances see a claim.
    claim_delay_core_s: float = 0.25
    claim_jitter_s: float = 0.1

    @property
    def jobs_memory_bytes(self) -> int:
        """Return the memory for the jobs that are kept."""
        return int(self.memory_bytes * self.jobs_memory_ratio)
