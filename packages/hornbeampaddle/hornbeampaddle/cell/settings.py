"""Keep every threshold of the cell scheduler, with its unit and its reason."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CellSettings:
    """
    Thresholds of one cell; the defaults serve cells of 3 to 250 workers.

    Times are seconds, ratios are between 0 and 1 unless said otherwise.
    """

    # How long a worker's runs live without a renewal. Long enough for a zone
    # that is cut off for 6.5 s; no longer, for the tasks of a worker that died
    # may only start elsewhere when it has passed.
    lease_s: float = 8.0
    # A holder that can store nothing renews leases for so long after it has
    # stopped giving orders: work that runs lives through an outage of the store
    # of this, the lapse and the lease together, 11.5 s.
    renew_on_s: float = 2.0
    # Workers' clocks may run slow by this ratio.
    clock_error_ratio: float = 0.02
    # A holder that has stored nothing for so long stops giving orders ...
    holder_lapse_s: float = 1.5
    # ... and the others claim its place after so long: later, by more than
    # the clock error and one round trip to the store.
    claim_after_s: float = 2.0
    # An idle holder stores a sign of life this often: three fit into a lapse.
    heartbeat_s: float = 0.4
    # How long a stop may take before the run's end is listed.
    stop_s: float = 0.4
    # A report waits this long for an end: a shorter wait costs calls, a longer
    # one makes readings of tails too old to pace by.
    report_wait_s: float = 0.8
    # Orders and reports get this much time beyond the wait that they ask for;
    # workers answer within 10 ms, so a lost answer costs this and no more.
    answer_timeout_s: float = 0.6
    # A worker rests after so many failures in a row, or half of its last ends.
    failures_in_row: int = 2
    rest_s: float = 6.0
    # A worker that said that it is unwell, or has no room, is asked again.
    unwell_s: float = 1.0
    # A run whose progress stands still for so long, unpaced, is stopped.
    stall_s: float = 2.5
    # Fillers give way when a serving task's slack, its target over its tail, falls
    # below this ...
    pace_below_slack: float = 1.15
    # ... and speed up again as far as it stays above this.
    relax_above_slack: float = 1.3
    # Below this slack a task counts as over its target, until it is well above ...
    over_below_slack: float = 1.03
    well_above_slack: float = 1.12
    # ... and after so long all fillers beside it stand still: the operator tolerates
    # 4 s, of which readings, reports and orders take up to 2.6 s, one of them lost.
    silence_after_s: float = 1.4
    # Reports of a worker where a task is over its target come this often.
    report_wait_over_s: float = 0.4
    # Target rate of reports over all idle workers: the larger the cell, the less often
    # each of them is polled, which leaves the holder time for busy workers.
    idle_reports_per_s: float = 500.0
    # Limit on concurrent first reports, so that a new holder can keep the cell.
    first_reports_max: int = 128
    # Nothing starts by a list of workers that was complete longer ago: operators allow
    # 3 s to take note of a worker that shrank, of which an order may need 0.6 s.
    list_recent_s: float = 2.4
    # Nothing starts by an operator's log that was complete longer ago: operators allow
    # 5 s to take note of an evacuation, of which an order may need 0.6 s.
    evacuations_recent_s: float = 4.4
    # How far ahead of an occurrence's time it may start; clocks differ.
    early_s: float = 0.0
    # Finished jobs are forgotten after so long: callers ask for 120 s.
    keep_finished_s: float = 130.0
    # Workers named in one question for advice: few, for each costs time. The next
    # question names others.
    advice_workers: int = 24
