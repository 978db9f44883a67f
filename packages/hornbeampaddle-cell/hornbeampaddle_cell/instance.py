"""
Put the parts of one instance together and keep them running.

Every instance follows the log and answers callers. The one that wins a claim
also holds the cell, until it loses it or is told to stop.
"""

import asyncio
import math
from collections.abc import Sequence
from random import Random

import structlog

from hornbeampaddle.cell.reports import NoAnswer
from hornbeampaddle.cell.workers import WorkerListing

from .appender import Appender
from .callers import Callers
from .evacuations import Evacuations
from .follower import Follower, Handler
from .holder import Holder
from .leadership import HOLDER_KEY, HolderRecord, Leadership, encode_holder
from .ledger import Ledger
from .metrics import MeteredStore, Metrics
from .peers import READ_S, RENEW_S, PeerBook, peer_record
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
from .unreadable import Unreadable

log = structlog.get_logger()

# How often an instance looks whether the cell is vacant: a tenth of the time
# after which a silent holder is replaced.
WATCH_S = 0.1
# Logs that an instance polls while it does not hold the cell: jobs and progress.
STANDBY_LOG_COUNT = 2
# Share of the store's read rate available to standby reads; the rest is left for the
# holder, the operator's log, new instances and retries.
STANDBY_READS_RATIO = 0.5
# Longest pause between standby reads: below the age at which a view is stale.
STANDBY_PAUSE_MAX_S = 1.0


class Instance:
    """One entry instance."""

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
        """Wire the parts; nothing runs before ``run``."""
        self.settings = settings
        self.clock = clock
        self.metrics = Metrics()
        self.book = PeerBook(settings.name)
        metered: StorePort = MeteredStore(store, self.metrics)
        self.relay: Relay | None = None
        if peers is not None:
            self.relay = Relay(metered, self.book, peers, clock)
        self.store: StorePort = self.relay or metered
        self.codec = codec
        self.make_worker = make_worker
        self.advice = advice
        self.ledger = Ledger()
        self._other_services = Unreadable("workers")
        self.leadership = Leadership(settings, Random())
        self.holder: Holder | None = None
        self.stopping = False
        # Why callers were last said to be better served elsewhere.
        self._unready_logged = "starting"
        self.jobs = self._follow(Topic.JOBS, self._take_jobs)
        self.jobs.on_reload = self._jobs_reloaded
        self.progress = self._follow(Topic.PROGRESS, self._take_progress)
        self.operator = self._follow(Topic.OPERATOR, self._take_operator)
        self.operator.on_reload = self._operator_reloaded
        self.evacuations = Evacuations(codec, self._evacuations_changed)
        self.routing = Routing(settings, self.operator)
        self.metrics.watch_configuration(self.routing)
        self.appender = Appender(self.store, Topic.JOBS, clock, settings)
        self.callers = Callers(
            settings,
            clock,
            self.ledger,
            self.jobs,
            self.progress,
            self.operator,
            self.appender,
            self.metrics,
        )

    def _follow(self, topic: Topic, handler: Handler) -> Follower:
        follower = Follower(self.store, topic, self.clock, handler)
        follower.wait_s = self.settings.read_wait_s
        if topic is Topic.OPERATOR:
            follower.replacing = True
        else:
            follower.pause_s = self._standby_pause_s()
        return follower

    def _standby_pause_s(self) -> float:
        """
        Return the pause between two reads of a log by an instance on standby.

        Guards against hundreds of instances exceeding the read rate of the store.
        """
        reads_per_s = STANDBY_READS_RATIO * self.settings.store_reads_per_s
        shared_pause_s = STANDBY_LOG_COUNT * (len(self.book) + 1) / reads_per_s
        pause_s = min(STANDBY_PAUSE_MAX_S, shared_pause_s)
        return max(self.settings.standby_read_s, pause_s)

    def _follow_peers(self) -> Follower:
        follower = self._follow(Topic.PEERS, self._take_peers)
        follower.wait_s = 0.0
        follower.pause_s = READ_S
        return follower

    def _take_peers(self, records: Sequence[Keyed]) -> None:
        for record in records:
            self.book.take(record)
        if self.holder is None:
            self._set_standby_pauses()

    def _set_standby_pauses(self) -> None:
        self.jobs.pause_s = self._standby_pause_s()
        self.progress.pause_s = self._standby_pause_s()

    async def _renew_peer_record(self) -> None:
        """Say where this instance listens; drop what nobody renews any more."""
        address = self.settings.peer_address
        assert address is not None
        while True:
            wall_s = self.clock.wall_s()
            records = [peer_record(self.settings.name, address, wall_s)]
            if self.holder is not None:
                records += [Keyed(name, None) for name in self.book.outdated(wall_s)]
            outcome = await self.store.append(Topic.PEERS, records, None, None)
            stored = isinstance(outcome, Appended)
            await asyncio.sleep(RENEW_S if stored else self.settings.stale_s)

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force."""
        return self.routing.configuration

    def ready(self) -> bool:
        """Tell whether new callers are well served here; log when that changes."""
        why = self._unready()
        if why != self._unready_logged:
            ages_s = {
                follower.topic.value: round(follower.age_s(), 3)
                for follower in (self.operator, self.jobs, self.progress)
                if math.isfinite(follower.age_s())
            }
            log.info("ready: no" if why else "ready: yes", why=why, ages_s=ages_s)
            self._unready_logged = why
        return not why

    def _unready(self) -> str:
        """Return why new callers are better served elsewhere; empty if they are not."""
        if self.stopping:
            return "stopping"
        if self.configuration is None:
            return "no_configuration"
        # Guards against an instance that has the logs of jobs through its peers but not
        # the operator's, and serves callers by a configuration of long ago.
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
            group.create_task(self._watch())
            group.create_task(self.metrics.watch_loop())
            if self.relay is not None:
                group.create_task(self.relay.run())
                group.create_task(self._follow_peers().run())
                group.create_task(self._renew_peer_record())

    async def stop(self) -> None:
        """Say that no new callers are wanted, and let the cell go."""
        self.stopping = True
        holder = self.holder
        if holder is not None:
            holder.release()
            try:
                async with asyncio.timeout(self.settings.cell.holder_lapse_s):
                    await holder.lost.wait()
            except TimeoutError:
                log.warning("holder: not released in time", epoch=holder.epoch)

    # What the logs say

    def _take_jobs(self, records: Sequence[Keyed]) -> None:
        for record in records:
            change, job_id = self.ledger.take_job(record)
            if self.holder is not None:
                self.holder.job_changed(change, job_id)

    def _jobs_reloaded(self, names: set[str]) -> None:
        """
        Forget the jobs that are no longer in the log of jobs, which was read whole.

        Guards against a dropped job that shows as queued and runs again under this
        instance: the newest records do not name what was deleted.
        """
        gone = [job_id for job_id in self.ledger.jobs if job_id not in names]
        self._take_jobs([Keyed(job_id, None) for job_id in gone])

    def _take_progress(self, records: Sequence[Keyed]) -> None:
        now_s = self.clock.now_s()
        for record in records:
            if record.key == HOLDER_KEY:
                self._take_holder(record, now_s)
            elif self.holder is None or self._replaced(self.holder):
                self.ledger.take_progress(record, now_s)
        self.leadership.sign_of_life(now_s)

    def _replaced(self, holder: Holder) -> bool:
        """
        Tell whether the log names a later holder than the one of this instance.

        Guards against a holder that gets no answers to what it stores and shows old
        states of its successor's jobs: records after the later claim are not its
        own, and nobody but the log will give them to it.
        """
        return self.leadership.epoch > holder.epoch

    def _take_holder(self, record: Keyed, now_s: float) -> None:
        before = self.leadership.holder
        self.leadership.observe(record.value, now_s)
        after = self.leadership.holder
        if after != before:
            log.info(
                "holder: seen",
                name=after.name if after is not None else "",
                epoch=after.epoch if after is not None else 0,
                vacant=self.leadership.vacant,
            )
        if self.holder is not None and self._replaced(self.holder):
            self.holder.lose("the log names a later holder")

    def _take_operator(self, records: Sequence[Keyed]) -> None:
        for record in records:
            match self.codec.configuration(record):
                case Configuration() as configuration:
                    self._configure(configuration)
                case UnreadableConfiguration():
                    self.routing.configuration_unreadable = True
            self.evacuations.take(record)

    def _operator_reloaded(self, names: set[str]) -> None:
        self.evacuations.keep_only(names)

    def _evacuations_changed(self) -> None:
        data_centres = self.evacuations.data_centres
        self.metrics.evacuated_data_centres.set(len(data_centres))
        if self.holder is not None:
            self.holder.evacuate(data_centres)

    def _configure(self, configuration: Configuration) -> None:
        if not self.routing.take(configuration):
            return
        log.info(
            "configuration: in force",
            version=configuration.version,
            routes=len(configuration.routes),
        )
        if self.holder is not None:
            self.holder.configure(configuration)

    # Holding the cell

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(WATCH_S)
            if self.stopping:
                continue
            if self.leadership.holds(self.settings.instance_id):
                # A claim without an answer may be stored late: nobody else has
                # claimed since, so the cell is ours.
                await self._try_hold(self.leadership.epoch)
            elif self._may_claim():
                epoch = await self._claim()
                if epoch is not None:
                    await self._try_hold(epoch)
                self.leadership.begin(self.clock.now_s())

    def _may_claim(self) -> bool:
        now_s = self.clock.now_s()
        if self.configuration is None or self.progress.offset is None:
            return False
        # Without a recent look at the log its end is not known, and the holder
        # may be alive: such a claim would fail, and cost a call.
        if self.progress.age_s() > self.settings.cell.claim_after_s:
            return False
        return self.leadership.claim_due(now_s)

    async def _claim(self) -> int | None:
        """
        Try to become the holder; return the epoch that was won.

        The claim names no producer: the log answers a repeat under the same
        producer and number like the first, and two claimants that send the
        same ones would both read that they had won.
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
            # It may have been stored: if so, the log says that we hold it.
            await self.progress.catch_up(self.settings.append_timeout_s)
            if self.leadership.holder == record:
                return epoch
        return None

    async def _fence(self, epoch: int) -> float | None:
        """
        Keep every earlier holder from storing anything more.

        Returns when the fence was asked for, once this instance has read all
        that was stored before it; nothing if the cell is already another's.
        An earlier holder may still have stored something between the claim and
        the fence: deciding without having read it would run a task twice.
        """
        sent_at_s = self.clock.now_s()
        producer = Producer(PRODUCER_NAME, epoch, 0)
        outcome = await self.store.append(Topic.PROGRESS, [], producer, None)
        if not isinstance(outcome, Appended):
            log.info("fence: answered", epoch=epoch, outcome=type(outcome).__name__)
            return None
        patience_s = self.settings.cell.holder_lapse_s
        while (self.progress.offset or 0) < outcome.end_offset:
            if self.clock.now_s() - sent_at_s > patience_s:
                return None
            await self.progress.catch_up(patience_s)
        # Guards against a job that this instance has not heard of: its task's end
        # would be acknowledged without being taken in, and when the job arrived
        # its task would run a second time. Whatever an earlier holder started was
        # in the log of jobs before the fence, so one whole look after it suffices.
        if not await self.jobs.catch_up(patience_s):
            log.warning("fence: the log of jobs cannot be read", epoch=epoch)
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
        workers = self._follow(Topic.WORKERS, self._take_workers)
        workers.wait_s = 0.0
        workers.pause_s = self.settings.workers_read_s
        workers.on_reload = self._reloaded
        holder.list_complete_at_s = lambda: workers.complete_at_s
        following = asyncio.create_task(workers.run())
        try:
            await holder.run()
        finally:
            following.cancel()
            self.holder = None
            self.jobs.wait_s = self.settings.read_wait_s
            self._set_standby_pauses()
            # What others stored since then was not taken in: read it again.
            self.progress.offset = None
            self.leadership.lost()

    def _take_workers(self, records: Sequence[Keyed]) -> None:
        if self.holder is None:
            return
        listed: dict[str, WorkerListing] = {}
        gone: list[str] = []
        for record in records:
            listing = self.codec.worker(record)
            if listing is None or not self._names_service(listing):
                listed.pop(record.key, None)
                gone.append(record.key)
            else:
                listed[record.key] = listing
        gone = [worker_id for worker_id in gone if worker_id not in listed]
        self.holder.list_workers(list(listed.values()), gone)

    def _names_service(self, listing: WorkerListing) -> bool:
        """
        Tell whether a listing is of a service that the configuration names.

        Guards against calls to whatever listens at the address of another writer's
        entry. Workers write theirs every second, so one whose service comes later is
        taken in then.
        """
        assert self.configuration is not None
        services = self.configuration.services
        if not services or listing.service in services:
            self._other_services.readable(listing.worker_id)
            return True
        self._other_services.note(listing.worker_id, f"service {listing.service!r}")
        return False

    def _reloaded(self, names: set[str]) -> None:
        """Take in that the list was read whole: others are no longer in it."""
        if self.holder is None:
            return
        for worker_id in set(self.holder.cell.workers) - names:
            self.holder.cell.unlist_worker(worker_id)
