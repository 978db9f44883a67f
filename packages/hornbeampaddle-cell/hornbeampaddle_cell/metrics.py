"""
Collect the Prometheus metrics of an instance.

Names follow the conventions of Prometheus: a unit as suffix, ``_total`` for counters.
Wrappers around the ports to the store and to workers count the calls, so that no
caller of a port has to.
"""

import asyncio
import math
import time
from collections.abc import Sequence
from typing import TYPE_CHECKING

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from hornbeampaddle.cell.backlog import Backlog
from hornbeampaddle.cell.effects import LogEntry
from hornbeampaddle.cell.progress import Run
from hornbeampaddle.cell.reports import HoldOutcome, OrderOutcome, Refused
from hornbeampaddle.cell.run_times import QueueErrors
from hornbeampaddle.cell.summary import Summary

from .ports import (
    AppendOutcome,
    Keyed,
    NewestOutcome,
    Producer,
    ReadOutcome,
    Span,
    StorePort,
    Topic,
    WorkerPort,
)

if TYPE_CHECKING:
    from .routing import Routing

# From a fast answer of the store to the longest deadline of a caller.
LATENCY_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30)
LOOP_LAG_INTERVAL_S = 0.5
# Shortest time between two collections of all metrics.
TEXT_INTERVAL_S = 0.5


class Metrics:
    """All counters, gauges and histograms of one instance."""

    def __init__(self) -> None:
        """Create all metrics in a separate registry."""
        self.registry = CollectorRegistry()
        self._text = b""
        self._next_text_at_s = -math.inf
        # Latest sample of the event loop lag.
        self.loop_lag_s = 0.0
        self.requests = self._counter(
            "hornbeampaddle_requests_total",
            "Answers to callers",
            ("call", "outcome"),
        )
        self.request_seconds = self._histogram(
            "hornbeampaddle_request_seconds", "Time to answer a caller", ("call",)
        )
        self.refusals = self._counter(
            "hornbeampaddle_refusals_total",
            "Jobs that were refused, by reason and queue",
            ("reason", "queue"),
        )
        self.clients_ended = self._counter(
            "hornbeampaddle_clients_ended_total",
            "Connections and requests of clients that were ended, refused or cut off",
            ("listener", "reason"),
        )
        self.backlog_seconds = self._gauge(
            "hornbeampaddle_backlog_seconds",
            "Time until all that waits has had its turn, where callers may be refused",
            ("queue",),
        )
        self.backlog_age_seconds = self._histogram(
            "hornbeampaddle_backlog_age_seconds",
            "Age of the published backlog when a job was decided on",
            (),
        )
        self.store_calls = self._counter(
            "hornbeampaddle_store_calls_total",
            "Calls to the store",
            ("call", "outcome"),
        )
        self.store_seconds = self._histogram(
            "hornbeampaddle_store_append_seconds", "Time of an append", ("topic",)
        )
        self.unused_entries = self._counter(
            "hornbeampaddle_unused_entries_total",
            "Entries in the list of workers that name no worker to use, by reason",
            ("reason",),
        )
        self.worker_calls = self._counter(
            "hornbeampaddle_worker_calls_total",
            "Calls to workers",
            ("call", "outcome"),
        )
        self.decisions = self._counter(
            "hornbeampaddle_decisions_total",
            "Decisions and changes of belief of the holder, by reason",
            ("event", "reason"),
        )
        self.wait_seconds = self._histogram(
            "hornbeampaddle_task_wait_seconds",
            "Time from a task's turn to the decision where it starts",
            (),
        )
        self.job_seconds = self._histogram(
            "hornbeampaddle_job_seconds", "Age of a job at its end", ("status",)
        )
        self.loop_lag_seconds = self._histogram(
            "hornbeampaddle_loop_lag_seconds", "How late timers fire", ()
        )
        self.holding = self._gauge(
            "hornbeampaddle_holding", "1 while this instance holds the cell", ()
        )
        self.tasks = self._gauge(
            "hornbeampaddle_tasks", "Tasks of the cell", ("kind", "state")
        )
        self.overdue_stops = self._gauge(
            "hornbeampaddle_overdue_stops",
            "Runs ordered to stop seconds ago whose end is unknown",
            (),
        )
        self.workers = self._gauge(
            "hornbeampaddle_workers", "Workers of the cell", ("state",)
        )
        self.run_time_error_ratio = self._gauge(
            "hornbeampaddle_run_time_error_ratio",
            "Typical error of submitters' estimates and of predictions, as a factor",
            ("queue", "of"),
        )
        self.kept_places = self._gauge(
            "hornbeampaddle_kept_places",
            "Places for urgent tasks on the workers kept for them",
            ("state",),
        )
        self.configuration_age_seconds = self._gauge(
            "hornbeampaddle_configuration_age_seconds",
            "How long ago the configuration in force was certainly the newest",
            (),
        )
        self.configuration_version = self._gauge(
            "hornbeampaddle_configuration_version", "The version in force", ()
        )
        self.evacuated_data_centres = self._gauge(
            "hornbeampaddle_evacuated_data_centres",
            "Data centres in which nothing more may start",
            (),
        )
        self.log_lines_dropped = self._counter(
            "hornbeampaddle_log_lines_dropped_total", "Log lines not written", ()
        )

    def _counter(self, name: str, text: str, labels: Sequence[str]) -> Counter:
        return Counter(name, text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str, labels: Sequence[str]) -> Gauge:
        return Gauge(name, text, labels, registry=self.registry)

    def _histogram(self, name: str, text: str, labels: Sequence[str]) -> Histogram:
        return Histogram(
            name, text, labels, registry=self.registry, buckets=LATENCY_BUCKETS_S
        )

    def text(self) -> bytes:
        """
        Return all metrics in the Prometheus text format, of half a second ago at most.

        Guards against clients that keep the event loop busy by asking for them.
        """
        now_s = time.monotonic()
        if now_s >= self._next_text_at_s:
            self._text = generate_latest(self.registry)
            self._next_text_at_s = now_s + TEXT_INTERVAL_S
        return self._text

    def client_ended(self, listener: str, reason: str) -> None:
        """Count a connection or request of a client that was ended or refused."""
        self.clients_ended.labels(listener, reason).inc()

    def answered(self, call: str, outcome: str, took_s: float) -> None:
        """Count an answer to a caller and its duration."""
        self.requests.labels(call, outcome).inc()
        self.request_seconds.labels(call).observe(took_s)

    def count_log_entry(self, entry: LogEntry) -> None:
        """Count a decision of the holder, and observe waits and job ages."""
        detail = entry.detail
        reason = next((str(detail[k]) for k in REASON_FIELDS if k in detail), "")
        self.decisions.labels(entry.event, reason).inc()
        if entry.event == "start":
            self.wait_seconds.observe(float(str(detail["waited_s"])))
        if entry.event == "job_finished":
            age_s = float(str(detail["age_s"]))
            self.job_seconds.labels(str(detail["status"])).observe(age_s)

    def update_cell_gauges(self, summary: Summary) -> None:
        """Set the gauges of the cell from a summary of its state."""
        for kind in ("lasting", "filler", "plain"):
            self.tasks.labels(kind, "waiting").set(summary.waiting.get(kind, 0))
            self.tasks.labels(kind, "running").set(summary.running.get(kind, 0))
        self.overdue_stops.set(summary.overdue_stops)
        self.workers.labels("usable").set(summary.usable_workers)
        self.workers.labels("silent").set(summary.silent_workers)
        self.workers.labels("resting").set(summary.resting_workers)
        self.workers.labels("over_target").set(summary.over_target_workers)
        self.workers.labels("evacuated").set(summary.evacuated_workers)
        self.workers.labels("kept").set(summary.kept_workers)
        self.kept_places.labels("kept").set(summary.kept_places)
        self.kept_places.labels("wanted").set(summary.kept_places_wanted)

    def update_run_time_errors(self, errors: QueueErrors) -> None:
        """Set the gauges of a queue's errors of estimates and predictions."""
        gauge = self.run_time_error_ratio
        gauge.labels(errors.queue, "estimates").set(errors.estimates)
        gauge.labels(errors.queue, "predictions").set(errors.predictions)

    def update_backlog(self, backlog: Backlog) -> None:
        """Set the gauges of the queues' backlogs."""
        self.backlog_seconds.clear()
        for name, queue in backlog.items():
            self.backlog_seconds.labels(name).set(queue.drained_s)

    def watch_configuration(self, routing: "Routing") -> None:
        """Compute the configuration's age and version whenever metrics are read."""
        self.configuration_age_seconds.set_function(routing.operator.age_s)
        self.configuration_version.set_function(
            lambda: routing.configuration.version if routing.configuration else 0
        )

    async def watch_loop(self) -> None:
        """Measure the event loop lag until cancelled."""
        while True:
            started_s = time.monotonic()
            await asyncio.sleep(LOOP_LAG_INTERVAL_S)
            self.loop_lag_s = max(
                0.0, time.monotonic() - started_s - LOOP_LAG_INTERVAL_S
            )
            self.loop_lag_seconds.observe(self.loop_lag_s)


# Fields of a log entry that may hold its reason; the first one present is the label.
REASON_FIELDS = ("why", "reason", "how", "status")


def outcome_name(outcome: object) -> str:
    """Return the label for the outcome of a call."""
    if isinstance(outcome, Refused):
        return f"refused_{outcome.reason.value}"
    return type(outcome).__name__.lower()


class MeteredStore:
    """A store port that counts and times its calls."""

    def __init__(self, store: StorePort, metrics: Metrics) -> None:
        """Wrap a store."""
        self._store = store
        self._metrics = metrics

    async def append(
        self,
        topic: Topic,
        records: Sequence[Keyed],
        producer: Producer | None,
        at_offset: int | None,
    ) -> AppendOutcome:
        """Append all records or none; no record at all only raises the epoch."""
        started_s = time.monotonic()
        outcome = await self._store.append(topic, records, producer, at_offset)
        took_s = time.monotonic() - started_s
        self._metrics.store_seconds.labels(topic.value).observe(took_s)
        self._metrics.store_calls.labels("append", outcome_name(outcome)).inc()
        return outcome

    async def read(self, topic: Topic, span: Span) -> ReadOutcome:
        """Read from an offset; wait for a record if there is none."""
        outcome = await self._store.read(topic, span)
        self._metrics.store_calls.labels("read", outcome_name(outcome)).inc()
        return outcome

    async def newest(self, topic: Topic) -> NewestOutcome:
        """Read the newest record of each key."""
        outcome = await self._store.newest(topic)
        self._metrics.store_calls.labels("newest", outcome_name(outcome)).inc()
        return outcome


class MeteredWorker:
    """A worker port that counts its calls."""

    def __init__(self, worker: WorkerPort, metrics: Metrics) -> None:
        """Wrap a worker."""
        self._worker = worker
        self._calls = metrics.worker_calls

    def close(self) -> None:
        """Close the connections."""
        self._worker.close()

    async def start(self, run: Run, payload: str, deadline_s: float) -> OrderOutcome:
        """Start a run."""
        outcome = await self._worker.start(run, payload, deadline_s)
        self._calls.labels("start", outcome_name(outcome)).inc()
        return outcome

    async def stop(self, run: Run) -> OrderOutcome:
        """Stop a run."""
        outcome = await self._worker.stop(run)
        self._calls.labels("stop", outcome_name(outcome)).inc()
        return outcome

    async def pace(self, run: Run, percent: int) -> OrderOutcome:
        """Limit a run to ``percent`` of its speed."""
        outcome = await self._worker.pace(run, percent)
        self._calls.labels("pace", outcome_name(outcome)).inc()
        return outcome

    async def report(
        self, last_seen: int, deadline_s: float | None, wait_s: float
    ) -> HoldOutcome:
        """Renew the lease, acknowledge ended runs, and read the worker's report."""
        outcome = await self._worker.report(last_seen, deadline_s, wait_s)
        self._calls.labels("report", outcome_name(outcome)).inc()
        return outcome
