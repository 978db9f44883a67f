"""Define the thresholds of the cell scheduler, each with its unit and its reason."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CellSettings:
    """
    Thresholds of one cell; the defaults suit cells of 3 to 250 workers.

    Times are in seconds; ratios are between 0 and 1 unless stated otherwise.
    """

    # Duration of a worker's lease: how long its runs continue without a renewal. Long
    # enough to survive a network partition of a zone for 6.5 s, or for less where many
    # busy workers are polled less often; not longer, because the tasks of a dead worker
    # may start elsewhere only after the lease has expired.
    lease_s: float = 8.0
    # The longest lease that a worker grants, whatever deadline it is sent.
    lease_max_s: float = 10.0
    # How long a holder that cannot store records keeps renewing leases after it has
    # stopped giving orders. Running tasks survive a store outage of this time,
    # ``holder_lapse_s`` and ``lease_s`` together, 11.5 s.
    renew_on_s: float = 2.0
    # Largest ratio by which workers' clocks may run slow.
    clock_error_ratio: float = 0.02
    # Time without a stored record after which a holder stops giving orders ...
    holder_lapse_s: float = 1.5
    # ... and after which other instances claim the cell: later by more than the clock
    # error and one round trip to the store.
    claim_after_s: float = 2.0
    # Interval at which an idle holder stores a heartbeat: three fit into
    # ``holder_lapse_s``.
    heartbeat_s: float = 0.4
    # Time that a stop may take until the run's end is reported.
    stop_s: float = 0.4
    # How long a request for a report waits at the worker for an end (long polling): a
    # shorter wait costs more calls, a longer one makes tail latency readings too old to
    # set paces by.
    report_wait_s: float = 0.8
    # Timeout of orders and reports, beyond the wait that they request: workers answer
    # within 10 ms, so a lost answer costs only this time.
    answer_timeout_s: float = 0.6
    # A worker rests (it gets no new tasks, except lasting ones that fit nowhere else)
    # after this many consecutive failures, or if half of its recent ends are
    # failures ...
    failures_in_row: int = 2
    # ... for this long.
    rest_s: float = 6.0
    # How long a worker rests that refused a start as unwell or for lack of room, before
    # it is sent starts again.
    unwell_s: float = 1.0
    # Time without progress, at full pace, after which a run is stopped.
    stall_s: float = 2.5
    # Fillers are slowed down when a serving task's slack (its tail latency target over
    # its tail latency) falls below this ...
    pace_below_slack: float = 1.15
    # ... and sped up again as long as the slack stays above this.
    relax_above_slack: float = 1.3
    # A task counts as over its target from when its slack falls below the first of
    # these until it rises above the second ...
    over_below_slack: float = 1.03
    well_above_slack: float = 1.12
    # ... and after this time over its target, all fillers beside it are paused: the
    # operator tolerates 4 s, of which readings, reports and orders, one of them lost,
    # take up to 2.6 s.
    silence_after_s: float = 1.4
    # The wait for an end, and so the interval of reports, for a worker on which a task
    # is over its target.
    report_wait_over_s: float = 0.4
    # Target rate of reports per second over all idle workers: the larger the cell, the
    # less often each of them is polled, which leaves the holder time for busy workers.
    idle_reports_per_s: float = 500.0
    # The same over all busy workers, except those whose fillers must be paced. A lower
    # rate leaves less of the leases for the time in which another holder takes over.
    busy_reports_per_s: float = 1200.0
    # Limit on starts that are being stored or sent: about as many as can be sent within
    # the timeout of an order, so that answers to earlier ones are read in time.
    pending_starts_max: int = 512
    # Limit on concurrent reports of workers that are new or silent, so that a holder
    # that connects to thousands of them does not lose the cell.
    first_reports_max: int = 128
    # Maximum age of the list of workers at which tasks may start: operators allow 3 s
    # to react to a worker whose capacity shrank, of which an order may take 0.6 s.
    list_recent_s: float = 2.4
    # Maximum age of the view of the operator's log at which tasks may start: operators
    # allow 5 s to react to an evacuation, of which an order may take 0.6 s.
    evacuations_recent_s: float = 4.4
    # How long before its due time an occurrence may start, since clocks differ.
    early_s: float = 0.0
    # Retention time of finished jobs: callers query them for 120 s.
    keep_finished_s: float = 130.0
    # Each of these parts acts only where it is called for; false turns it off for good:
    # learned run times in place of the submitters' estimates,
    learns_run_times: bool = True
    # room kept ahead for the urgent queues of a full cell,
    keeps_urgent_room: bool = True
    # and what each queue can still take, published for the instances that accept jobs.
    publishes_backlog: bool = True
    # Maximum number of workers in one question for advice: few, since each costs time.
    # The next question names others.
    advice_workers: int = 24
