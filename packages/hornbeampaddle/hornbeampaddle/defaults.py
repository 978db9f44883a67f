"""
Define the default timing and limits.

The daemon's settings override these values, which aren't repeated anywhere else
in the code. Durations are inputs only: the state at run time consists of deadlines
computed from them.
"""

from dataclasses import dataclass

MIB = 1024 * 1024


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals and time-outs shared by the coordination modules, in seconds."""

    heartbeat_interval_s: float = 0.75
    suspect_after_s: float = 2.0
    lease_s: float = 20.0
    renew_interval_s: float = 3.0
    authority_s: float = 4.0
    grant_s: float = 2.0
    log_poll_interval_s: float = 1.0
    list_poll_interval_s: float = 1.0
    commit_interval_s: float = 0.2
    call_timeout_s: float = 3.0
    drain_timeout_s: float = 20.0
    # Largest relative error between the rates of any two clocks.
    clock_rate_error_ratio: float = 0.01


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on what one entry instance stores or accepts."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * MIB
    head_timeout_s: float = 5.0
    body_timeout_s: float = 20.0
    idle_timeout_s: float = 60.0
    send_timeout_s: float = 20.0
    caller_connections: int = 512
    # Memory and descriptors of the process, which its clients share with the rest.
    memory_mb: int = 256
    max_fds: int = 1024
    queued_requests: int = 1000
    request_deadline_max_s: float = 60.0
    keys_per_call: int = 100
    keys_remembered: int = 100_000
    job_tasks: int = 10_000
    # Tasks of all jobs that are not over; each takes about 640 bytes.
    kept_tasks: int = 160_000
    connections_per_worker: int = 8
    unsent_log_records: int = 5_000
    config_snapshot_records: int = 500
    task_failures_max: int = 3
    # Consecutive attempts that are lost with their workers soon after their start;
    # workers that are lost for other reasons affect the same task once or twice.
    task_losses_max: int = 4
