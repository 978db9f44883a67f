"""
Assemble the components of one instance and run them.

Every instance follows the logs and answers callers. The one that wins a claim also
holds the cell, until it loses it or is stopped.
"""

import asyncio
import math
from collections.abc import Callable, Sequence
from random import Random

import structlog

from hornbeampaddle.cell.reports import NoAnswer
from hornbeampaddle.cell.workers import WorkerListing

from .appender import Appender
from .callers import CallerApi
from .evacuations import Evacuations
from .follower import Follower, Handler
from .group_commit import GroupCommit
from .holder import Holder
from .job_costs import Cost, CostGate
from .leadership import HOLDER_KEY, HolderRecord, Leadership, encode_holder
from .ledger import Ledger
from .load_gate import LoadGate
from .metrics import MeteredStore, Metrics
from .peers import (
    PEERS_READ_INTERVAL_S,
    RECORD_RENEWAL_INTERVAL_S,
    PeerDirectory,
    peer_record,
)
from .ports import (
    AdvicePort,
    Appended,
    Clock,
    Codec,
    Configuration,
    Keyed,
    Producer,
    StorePort,
    Topic,
    UnreadableConfiguration,
    WorkerFactory,
)
from .progress_log import PRODUCER_NAME
from .relay import PeerCaller, Relay
from .routing import Routing
from .settings import InstanceSettings
from .unreadable import UnreadableRecords

log = structlog.get_logger()

# How often an instance checks whether to claim the cell: a tenth of the time after
# which a silent holder is replaced.
LEADERSHIP_CHECK_INTERVAL_S = 0.1
# Number of logs that an instance on standby polls: jobs and progress.
STANDBY_LOG_COUNT = 2
# Share of the store's read rate for standby reads; the rest is left for the holder,
# the operator's log, new instances and retries.
STANDBY_READS_RATIO = 0.5
# Longest pause between standby reads, below the age at which a view is stale.
STANDBY_PAUSE_MAX_S = 1.0


class Instance:
    """One instance: followers, callers' interface, and the holder if elected."""

    def __init__(
        self,
        settings: InstanceSettings,
        clock: Clock,
        store: StorePort,
        codec: Codec,
        make_worker: WorkerFactory,
        advice: AdvicePort | None,
        peers: PeerCaller | None = None,
    ) -> None:
        """Connect the components; nothing runs before ``run``."""
        self.settings = settings
        self.clock = clock
        self.metrics = Metrics()
        self.peer_directory = PeerDirectory(settings.name)
        metered: StorePort = MeteredStore(store, self.metrics)
        self.relay: Relay | None = None
        if peers is not None:
            self.relay = Relay(metered, self.peer_directory, peers, clock)
        self.store: StorePort = self.relay or metered
        self.codec = codec
        self.make_worker = make_worker
        self.advice = advice
        self.ledger = Ledger()
        self._foreign_listings = UnreadableRecords("workers")
        self.leadership = Leadership(settings, Random())
        self.holder: Holder | None = None
        # The epoch of the last term in which this instance held the cell.
        self._ended_epoch = 0
        self.stopping = False
        # Called with each configuration that comes into force.
        self.on_configuration: Callable[[Configuration], None] = lambda _: None
        # The reason for not being ready that was logged last; empty if ready.
        self._logged_unready_reason = "starting"
        self.jobs = self._follow(Topic.JOBS, self._apply_job_records)
        self.jobs.on_reload = self._jobs_reloaded
        self.progress = self._follow(Topic.PROGRESS, self._apply_progress_records)
        self.operator = self._follow(Topic.OPERATOR, self._apply_operator_records)
        self.operator.on_reload = self._operator_reloaded
        if self.relay is not None:
            self.relay.shared_views[Topic.OPERATOR] = self.operator
        self.evacuations = Evacuations(codec, self._evacuations_changed)
        self.routing = Routing(settings, self.operator)
        self.metrics.watch_configuration(self.routing)
        self.appender = Appender(self.store, Topic.JOBS, clock, settings)
        if self.relay is not None and peers is not None:
            self.relay.appender = self.appender
            if settings.gathers_appends:
                self.appender.group_commit = GroupCommit(
                    self.peer_directory, peers, clock
                )
        self.callers = CallerApi(
            settings,
            clock,
            self.ledger,
            self.jobs,
            self.progress,
            self.operator,
            self.appender,
            self.metrics,
            LoadGate(
                settings, clock, self.ledger, self.leadership, self.peer_directory
            ),
            CostGate(
                clock,
                self.ledger.costs,
                self._jobs_limit,
                lambda: len(self.peer_directory) + 1,
            ),
        )

    def _jobs_limit(self) -> Cost:
        own_bytes = self.settings.jobs_memory_bytes
        memory_bytes = self.peer_directory.least_jobs_memory_bytes(own_bytes)
        return Cost(memory_bytes, self.settings.decision_steps_max)

    def _follow(self, topic: Topic, handler: Handler) -> Follower:
        follower = Follower(self.store, topic, self.clock, handler)
        follower.wait_s = self.settings.read_wait_s
        if topic is Topic.OPERATOR:
            follower.latest_only = True
        else:
            follower.pause_s = self._standby_pause_s()
        return follower

    def _standby_pause_s(self) -> float:
        """
        Return the pause between two reads of one log by an instance on standby.

        The pause grows with the number of instances, so that hundreds of them stay
        below the read rate of the store.
        """
        reads_per_s = STANDBY_READS_RATIO * self.settings.store_reads_per_s
        shared_pause_s = (
            STANDBY_LOG_COUNT * (len(self.peer_directory) + 1) / reads_per_s
        )
        pause_s = min(STANDBY_PAUSE_MAX_S, shared_pause_s)
        return max(self.settings.standby_read_s, pause_s)

    def _follow_peers(self) -> Follower:
        follower = self._follow(Topic.PEERS, self._apply_peer_records)
        follower.wait_s = 0.0
        follower.pause_s = PEERS_READ_INTERVAL_S
        return follower

    def _apply_peer_records(self, records: Sequence[Keyed]) -> None:
        for record in records:
            self.peer_directory.apply(record)
        if self.holder is None:
            self._set_standby_pauses()

    def _set_standby_pauses(self) -> None:
        self.jobs.pause_s = self._standby_pause_s()
        self.progress.pause_s = self._standby_pause_s()

    async def _renew_peer_record(self) -> None:
        """
        Renew this instance's address record until cancelled.

        The holder also deletes the records of peers that stopped renewing theirs.
        """
        address = self.settings.peer_address
        assert address is not None
        while True:
            wall_s = self.clock.wall_s()
            name, data_centre = self.settings.name, self.settings.data_centre
            memory_bytes = self.settings.jobs_memory_bytes
            records = [peer_record(name, address, wall_s, data_centre, memory_bytes)]
            if self.holder is not None:
                records += [
                    Keyed(name, None) for name in self.peer_directory.outdated(wall_s)
                ]
            outcome = await self.store.append(Topic.PEERS, records, None, None)
            stored = isinstance(outcome, Appended)
            await asyncio.sleep(
                RECORD_RENEWAL_INTERVAL_S if stored else self.settings.stale_s
            )

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force; ``None`` before the first."""
        return self.routing.configuration

    def ready(self) -> bool:
        """Return whether this instance is ready for new callers; log changes."""
        why = self._unready_reason()
        if why != self._logged_unready_reason:
            ages_s = {
                follower.topic.value: round(follower.age_s(), 3)
                for follower in (self.operator, self.jobs, self.progress)
                if math.isfinite(follower.age_s())
            }
            log.info("ready: no" if why else "ready: yes", why=why, ages_s=ages_s)
            self._logged_unready_reason = why
        return not why

    def _unready_reason(self) -> str:
        """Return why this instance is not ready; empty if it is."""
        if self.stopping:
            return "stopping"
        if self.configuration is None:
            return "no_configuration"
        # An instance may get the logs of jobs and progress through its peers but not
        # the operator's log; it would serve callers by an outdated configuration.
        configured = self.operator.age_s() < self.settings.stale_s
        if not configured or not self.callers.fresh():
            return "view_too_old"
        return "append_unanswered" if self.appender.stuck() else ""

    async def run(self) -> None:
        """Run until cancelled."""
        self.leadership.begin(self.clock.now_s())
        async with asyncio.TaskGroup() as group:
            for follower in (self.operator, self.jobs, self.progress):
                group.create_task(follower.run())
            group.create_task(self.appender.run())
            group.create_task(self._watch_leadership())
            group.create_task(self.metrics.watch_loop())
            if self.relay is not None:
                group.create_task(self.relay.run())
                group.create_task(self._follow_peers().run())
                group.create_task(self._renew_peer_record())

    async def stop(self) -> None:
        """Become not ready for new callers, and release the cell if held."""
        self.stopping = True
        if self.relay is not None:
            # Peers put their records through others from now on.
            self.relay.appender = None
        holder = self.holder
        if holder is not None:
            holder.release()
            try:
                async with asyncio.timeout(self.settings.cell.holder_lapse_s):
                    await holder.lost.wait()
            except TimeoutError:
                log.warning("holder: not released in time", epoch=holder.epoch)

    # Records of the logs

    def _apply_job_records(self, records: Sequence[Keyed]) -> None:
        for record in records:
            change, job_id = self.ledger.apply_job(record)
            if self.holder is not None:
                self.holder.job_changed(change, job_id)

    def _jobs_reloaded(self, keys: set[str]) -> None:
        """
        Remove the jobs that a full read of the log of jobs did not return.

        The newest records do not include deleted keys. Otherwise a deleted job would
        show as queued, and run again when this instance holds the cell.
        """
        gone = [job_id for job_id in self.ledger.jobs if job_id not in keys]
        self._apply_job_records([Keyed(job_id, None) for job_id in gone])

    def _apply_progress_records(self, records: Sequence[Keyed]) -> None:
        now_s = self.clock.now_s()
        for record in records:
            if record.key == HOLDER_KEY:
                self._apply_holder_record(record, now_s)
            elif self.holder is None or self._replaced(self.holder):
                self.ledger.apply_progress(record, now_s)
        self.leadership.note_activity(now_s)

    def _replaced(self, holder: Holder) -> bool:
        """
        Return whether the log names a later holder than this instance's ``holder``.

        Records after a later claim are the successor's, so they are applied from the
        log. Otherwise a replaced holder whose appends stay unanswered would show
        outdated states of its successor's jobs.
        """
        return self.leadership.epoch > holder.epoch

    def _apply_holder_record(self, record: Keyed, now_s: float) -> None:
        before = self.leadership.holder
        self.leadership.observe(record.value, now_s)
        after = self.leadership.holder
        if after != before:
            log.info(
                "holder: changed",
                name=after.name if after is not None else "",
                epoch=after.epoch if after is not None else 0,
                vacant=self.leadership.vacant,
            )
        if self.holder is not None and self._replaced(self.holder):
            self.holder.step_down("the log names a later holder")

    def _apply_operator_records(self, records: Sequence[Keyed]) -> None:
        for record in records:
            match self.codec.configuration(record):
                case Configuration() as configuration:
                    self._configure(configuration)
                case UnreadableConfiguration():
                    self.routing.configuration_unreadable = True
            self.evacuations.apply(record)

    def _operator_reloaded(self, keys: set[str]) -> None:
        self.evacuations.keep_only(keys)

    def _evacuations_changed(self) -> None:
        data_centres = self.evacuations.data_centres
        self.metrics.evacuated_data_centres.set(len(data_centres))
        if self.holder is not None:
            self.holder.evacuate(data_centres)

    def _configure(self, configuration: Configuration) -> None:
        if not self.routing.apply(configuration):
            return
        log.info(
            "configuration: in force",
            version=configuration.version,
            routes=len(configuration.routes),
        )
        self.on_configuration(configuration)
        if self.holder is not None:
            self.holder.configure(configuration)

    # Holding the cell

    async def _watch_leadership(self) -> None:
        while True:
            await asyncio.sleep(LEADERSHIP_CHECK_INTERVAL_S)
            if self.stopping:
                continue
            if self._claim_was_stored():
                await self._try_hold(self.leadership.epoch)
            elif self._may_claim():
                epoch = await self._claim()
                if epoch is not None:
                    await self._try_hold(epoch)
                self.leadership.begin(self.clock.now_s())

    def _claim_was_stored(self) -> bool:
        """
        Return whether the log names this instance for a term that it has not begun.

        A claim that timed out may still have been stored later. A term that has ended
        does not begin again: the log has the sequence numbers of its epoch already, and
        would refuse further appends, or answer them like the first ones without
        storing them.
        """
        return (
            self.leadership.holds(self.settings.instance_id)
            and self.leadership.epoch > self._ended_epoch
        )

    def _may_claim(self) -> bool:
        now_s = self.clock.now_s()
        if self.configuration is None or self.progress.offset is None:
            return False
        # Without a recent read the end of the log is not known and the holder may be
        # active: the claim would fail and waste a call.
        if self.progress.age_s() > self.settings.cell.claim_after_s:
            self.leadership.note_unreadable(now_s)
            return False
        return self.leadership.claim_due(now_s)

    async def _claim(self) -> int | None:
        """
        Try to become the holder; return the epoch that was won.

        The claim has no producer. The log answers a repeated producer and sequence
        number like the first append, so two claimants that send the same ones would
        both be told that they had won.
        """
        at_offset = self.progress.offset
        assert at_offset is not None
        epoch = at_offset + 1
        record = HolderRecord(self.settings.instance_id, epoch, self.settings.name)
        records = [Keyed(HOLDER_KEY, encode_holder(record))]
        outcome = await self.store.append(Topic.PROGRESS, records, None, at_offset)
        log.info("claim: answered", epoch=epoch, outcome=type(outcome).__name__)
        if isinstance(outcome, Appended):
            return epoch
        if isinstance(outcome, NoAnswer):
            # The claim may have been stored; if so, the log names this instance.
            await self.progress.catch_up(self.settings.append_timeout_s)
            if self.leadership.holder == record:
                return epoch
        return None

    async def _fence(self, epoch: int) -> float | None:
        """
        Fence off every earlier holder, so that the log rejects its appends.

        Returns the local time at which the fence was sent, once this instance has read
        everything stored before it; ``None`` if that failed or the cell has another
        holder. An earlier holder may have stored records between the claim and the
        fence; a decision made without reading them could run a task twice.
        """
        sent_at_s = self.clock.now_s()
        producer = Producer(PRODUCER_NAME, epoch, 0)
        outcome = await self.store.append(Topic.PROGRESS, [], producer, None)
        if not isinstance(outcome, Appended):
            log.info("fence: answered", epoch=epoch, outcome=type(outcome).__name__)
            return None
        timeout_s = self.settings.cell.holder_lapse_s
        while (self.progress.offset or 0) < outcome.end_offset:
            if self.clock.now_s() - sent_at_s > timeout_s:
                return None
            await self.progress.catch_up(timeout_s)
        # The end of a task whose job this instance has not read yet would be
        # acknowledged without being recorded, and the task would run a second time
        # once the job arrived. Everything that an earlier holder started was in the
        # log of jobs before the fence, so one complete read after it suffices.
        if not await self.jobs.catch_up(timeout_s):
            log.warning("fence: log of jobs could not be read in time", epoch=epoch)
            return None
        return sent_at_s if self.leadership.epoch <= epoch else None

    async def _try_hold(self, epoch: int) -> None:
        fenced_at_s = await self._fence(epoch)
        if fenced_at_s is None:
            return
        holder = Holder(
            self.settings,
            self.clock,
            self.store,
            self.ledger,
            self.make_worker,
            self.advice,
            epoch,
            fenced_at_s,
            self.metrics,
        )
        await self._hold(holder)

    async def _hold(self, holder: Holder) -> None:
        holder.begin()
        self.holder = holder
        assert self.configuration is not None
        holder.configure(self.configuration)
        holder.evacuate(self.evacuations.data_centres)
        holder.evacuations_complete_at_s = lambda: self.operator.complete_at_s
        self.jobs.pause_s = 0.0
        self.jobs.wait_s = self.settings.holder_read_wait_s
        self.progress.pause_s = self.settings.read_wait_s
        workers = self._follow(Topic.WORKERS, self._apply_worker_records)
        workers.random = self.leadership.random
        workers.wait_s = 0.0
        workers.pause_s = self.settings.workers_read_s
        workers.on_reload = self._worker_list_reloaded
        holder.list_complete_at_s = lambda: workers.complete_at_s
        holder.list_read_bytes = lambda: workers.read_bytes
        holder.spawn(workers.run())
        try:
            await holder.run()
        finally:
            self.holder = None
            self._ended_epoch = holder.epoch
            self.jobs.wait_s = self.settings.read_wait_s
            self._set_standby_pauses()
            # Records that others stored meanwhile were not applied: read the log of
            # progress again from its newest records.
            self.progress.offset = None
            self.leadership.lost()

    def _apply_worker_records(self, records: Sequence[Keyed]) -> None:
        if self.holder is None:
            return
        began_s = self.clock.now_s()
        listed: dict[str, WorkerListing] = {}
        gone: list[str] = []
        for record in records:
            listing = self.codec.worker(record)
            if listing is None and record.value is not None:
                self.metrics.unused_entries.labels("not_understood").inc()
            if listing is None or not self._is_usable(listing):
                listed.pop(record.key, None)
                gone.append(record.key)
            else:
                listed[record.key] = listing
        gone = [name for name in gone if name not in listed]
        self.holder.update_worker_list(list(listed.values()), gone)
        self.holder.load.listed(len(records), self.clock.now_s() - began_s)

    def _is_usable(self, listing: WorkerListing) -> bool:
        """
        Return whether a listing was written by a worker of a configured service.

        Listings of other services may be written by other programs, and whatever
        listens at their addresses must not be called. Workers write their listing
        every second, so one whose service is configured later is accepted then.
        """
        reason = self._foreign_reason(listing)
        if reason:
            self.metrics.unused_entries.labels("not_ours").inc()
            self._foreign_listings.mark_unreadable(listing.worker_id.name, reason)
            return False
        self._foreign_listings.mark_readable(listing.worker_id.name)
        return True

    def _foreign_reason(self, listing: WorkerListing) -> str:
        """Return why a listing is another program's; empty if it is a worker's."""
        assert self.configuration is not None and self.holder is not None
        services = self.configuration.services
        if services and listing.service not in services:
            return f"service {listing.service!r}"
        current = self.holder.cell.incarnations.current(listing.worker_id.name)
        states_birth = current is not None and current.birth_known
        if states_birth and not listing.worker_id.birth_known:
            return "states no birth"
        return ""

    def _worker_list_reloaded(self, keys: set[str]) -> None:
        """Remove the workers that a full read of the list did not return."""
        if self.holder is None:
            return
        cell = self.holder.cell
        for name in cell.incarnations.names() - keys:
            cell.unlist_worker(name)
        cell.incarnations.keep_births(keys)
