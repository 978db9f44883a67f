"""
Forecast how much CPU the urgent jobs of each service need at a time.

Urgent jobs come in waves and leave about a second for waiting, less than it takes to
stop a lasting task. Room for them must therefore exist before they arrive. The forecast
is the amount that sufficed for a share of the moments of the last wave. The share
follows from what callers lose (as a newsvendor's does): an urgent job is worth several
times as much for the CPU that it needs as a lasting one, but without room it is late
only if its objective leaves too little time for a stop.

Urgent are jobs that end, reserve CPU and come from a queue with a latency target that
precedes the queues of fillers (best-effort tasks).
"""

import math
from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from statistics import median

import msgspec

from ..decoding import UnreadableError, decode
from .jobs import Job
from .learned import UnusableRecordError
from .progress import JobState
from .prospects import prospect

RECORD_VERSION = 1
SAMPLE_INTERVAL_S = 0.2
# Span of the samples: the users' waves last up to about this long.
WAVE_S = 20.0
# Value of an urgent job's CPU relative to a lasting one's, and the lowest share of the
# moments for which a forecast suffices.
VALUE_RATIO = 5.0
SUFFICES_RATIO_MIN = 0.5
# A job is late for certain if it waits for this multiple of what its objective leaves;
# for less, the chance is proportional.
LATE_WAIT_RATIO = 2.0
# Time between a stop's end and the start that uses its room: a report and a decision.
HAND_OVER_S = 0.3
# Share of the urgent tasks that fit a place; the others need room of several.
PLACE_FITS_RATIO = 0.8
# Time of observation without which there is no forecast, and the time from which a
# holder goes by its own observation alone: before, it may have seen only a calm part.
OBSERVED_MIN_S = 5.0
OBSERVED_ENOUGH_S = WAVE_S / 2
# Number of jobs of the last wave without which no share of them counts.
JOBS_MIN = 5
# Interval at which a forecast is computed anew.
FORECAST_INTERVAL_S = 0.4


@dataclass(frozen=True, slots=True)
class Forecast:
    """
    CPU that a service's urgent tasks need at a time, and the size of one place.

    Both are in thousandths of a core.
    """

    need_millis: int
    place_millis: int

    @property
    def places(self) -> int:
        """Return the number of places needed."""
        return math.ceil(self.need_millis / self.place_millis)


class UrgentDemandRecord(msgspec.Struct, array_like=True, frozen=True):
    """The stored forecasts: per service, its name, need and place in millicores."""

    version: int
    forecasts: list[tuple[str, int, int]]


_decoder = msgspec.msgpack.Decoder(UrgentDemandRecord)
_encoder = msgspec.msgpack.Encoder()


@dataclass(slots=True)
class _Sample:
    """What the urgent jobs of a service hold and wait for at one moment."""

    cpu_millis: int = 0
    # Number of tasks by the CPU that each needs.
    sizes: Counter[int] = field(default_factory=Counter)


@dataclass(frozen=True, slots=True)
class _SeenJob:
    """When a job was seen, what its objective leaves, and whether it lacked room."""

    seen_at_s: float
    slack_s: float
    short: bool


@dataclass(slots=True)
class _Observed:
    """The samples of one service over the last wave, and its forecasts."""

    samples: deque[tuple[float, int]] = field(default_factory=deque)
    sizes: deque[tuple[float, Counter[int]]] = field(default_factory=deque)
    begun_at_s: float = math.inf
    # The jobs by id, the one that was seen last at the end.
    jobs: dict[str, _SeenJob] = field(default_factory=dict)
    inherited: Forecast | None = None
    computed: Forecast | None = None
    computed_at_s: float = -math.inf

    def add(self, sample: _Sample, now_s: float) -> None:
        self.begun_at_s = min(self.begun_at_s, now_s)
        self.samples.append((now_s, sample.cpu_millis))
        if sample.sizes:
            self.sizes.append((now_s, sample.sizes))
        while self.samples[0][0] < now_s - WAVE_S:
            self.samples.popleft()
        while self.sizes and self.sizes[0][0] < now_s - WAVE_S:
            self.sizes.popleft()

    def note_job(self, state: JobState, room_wait: str, now_s: float) -> None:
        slack_s = _slack_s(state, now_s)
        waited_s = state.waited_s.get(room_wait, 0.0)
        self.jobs.pop(state.job.job_id, None)
        self.jobs[state.job.job_id] = _SeenJob(now_s, slack_s, waited_s > slack_s)

    def short_ratio(self, stop_s: float, now_s: float) -> float:
        if self.inherited is not None and now_s - self.begun_at_s < OBSERVED_ENOUGH_S:
            # Only a holder that kept room has stored a forecast.
            return 1.0
        while self.jobs:
            job_id, job = next(iter(self.jobs.items()))
            if job.seen_at_s >= now_s - WAVE_S:
                break
            del self.jobs[job_id]
        if len(self.jobs) < JOBS_MIN or stop_s + HAND_OVER_S < self.slack_s():
            return 0.0
        return sum(job.short for job in self.jobs.values()) / len(self.jobs)

    def slack_s(self) -> float:
        """Return the median of what the objectives of the jobs leave."""
        return median(job.slack_s for job in self.jobs.values())

    def forecast(self, stop_s: float, now_s: float) -> Forecast | None:
        observed_s = now_s - self.begun_at_s
        if self.inherited is not None and observed_s < OBSERVED_ENOUGH_S:
            return self.inherited
        if observed_s < OBSERVED_MIN_S:
            return None
        if now_s >= self.computed_at_s + FORECAST_INTERVAL_S:
            self.computed_at_s = now_s
            self.computed = self._compute(stop_s)
        return self.computed

    def _compute(self, stop_s: float) -> Forecast | None:
        sizes: Counter[int] = Counter()
        for _, seen in self.sizes:
            sizes.update(seen)
        if not sizes or not self.jobs:
            return None
        ratio = _share_that_pays(stop_s, self.slack_s())
        need_millis = _quantile([millis for _, millis in self.samples], ratio)
        if not need_millis:
            return None
        return Forecast(need_millis, _size_that_fits(sizes))


class UrgentDemand:
    """What the urgent queues of a cell need, as seen in its decisions."""

    def __init__(self, stop_s: float, room_wait: str) -> None:
        """
        Start without any observation.

        ``stop_s`` is the time that a stop takes, ``room_wait`` the reason in
        ``JobState.waited_s`` of waits for room.
        """
        self._stop_s = stop_s
        self._room_wait = room_wait
        self._observed: dict[str, _Observed] = {}
        self._filler_queues: dict[str, int] = {}
        self._sampled_at_s = -math.inf
        self._kept_services: set[str] = set()

    def observe(
        self,
        jobs: Iterable[JobState],
        service_of: Callable[[Job], str],
        now_s: float,
    ) -> None:
        """Sample what the urgent ones of the open jobs hold and wait for."""
        if now_s < self._sampled_at_s + SAMPLE_INTERVAL_S:
            return
        self._sampled_at_s = now_s
        found: dict[str, _Sample] = {}
        for state in jobs:
            if state.status.final or state.job.lasting:
                continue
            if self.urgent(state.job):
                service = service_of(state.job)
                _add_job(found.setdefault(service, _Sample()), state)
                observed = self._observed.setdefault(service, _Observed())
                observed.note_job(state, self._room_wait, now_s)
            else:
                self._note_fillers(state.job)
        for service in found.keys() | self._observed.keys():
            observed = self._observed.setdefault(service, _Observed())
            observed.add(found.get(service, _Sample()), now_s)

    def urgent(self, job: Job) -> bool:
        """Return whether a job is urgent, as far as the queues of fillers are known."""
        queue = job.queue
        if job.lasting or queue.name in self._filler_queues:
            return False
        if not queue.latency_target_s or not self._filler_queues:
            return False
        return queue.priority < min(self._filler_queues.values())

    def forecast(self, service: str, now_s: float) -> Forecast | None:
        """Return a service's forecast, or None if no job of it is urgent."""
        observed = self._observed.get(service)
        if observed is None:
            return None
        return observed.forecast(self._stop_s, now_s)

    def services(self) -> list[str]:
        """Return the services that urgent jobs were seen of."""
        return list(self._observed)

    def short_ratio(self, service: str, now_s: float) -> float:
        """
        Return the share of a service's urgent jobs that were late for want of room.

        It counts the jobs of the last wave, and is 0 if a stop takes less time than
        most of them have: room can then be made when they wait.
        """
        observed = self._observed.get(service)
        if observed is None:
            return 0.0
        return observed.short_ratio(self._stop_s, now_s)

    def keep(self, services: Iterable[str]) -> None:
        """Note the services for which room is kept: their forecasts are stored."""
        self._kept_services = set(services)

    def _note_fillers(self, job: Job) -> None:
        if any(step.filler for step in job.steps):
            self._filler_queues[job.queue.name] = job.queue.priority

    def encode(self) -> bytes | None:
        """Return the record for the next holder, or None if nothing is known."""
        rows = [
            (service, known.need_millis, known.place_millis)
            for service, observed in sorted(self._observed.items())
            if service in self._kept_services
            and (known := observed.computed or observed.inherited) is not None
        ]
        if not rows:
            return None
        return _encoder.encode(UrgentDemandRecord(RECORD_VERSION, rows))

    def inherit(self, value: bytes) -> None:
        """Go on from a record of an earlier holder; raises ``UnusableRecordError``."""
        try:
            record = decode(_decoder, value)
        except UnreadableError as error:
            raise UnusableRecordError(str(error)) from error
        if record.version != RECORD_VERSION:
            raise UnusableRecordError(f"version {record.version}")
        if any(need <= 0 or place <= 0 for _, need, place in record.forecasts):
            raise UnusableRecordError("a need or a place is not positive")
        for service, need_millis, place_millis in record.forecasts:
            observed = self._observed.setdefault(service, _Observed())
            observed.inherited = Forecast(need_millis, place_millis)


def _slack_s(state: JobState, now_s: float) -> float:
    """Return the time that a job's objective leaves beside its own work."""
    queue = state.job.queue
    objective_s = prospect(state, now_s).objective_s
    stretched_s = objective_s - queue.latency_target_s
    return objective_s - stretched_s / max(1.0, queue.stretch_ratio)


def _add_job(sample: _Sample, state: JobState) -> None:
    for steps in state.occurrences.values():
        for step in steps:
            if step.step.filler or step.ready_at_s is None:
                continue
            count = sum(not task.done for task in step.tasks)
            if count:
                sample.cpu_millis += count * step.step.need.cpu_millis
                sample.sizes[step.step.need.cpu_millis] += count


def _share_that_pays(stop_s: float, slack_s: float) -> float:
    """Return the share of the moments for which kept room should suffice."""
    wait_s = stop_s + HAND_OVER_S
    late_chance = min(1.0, wait_s / max(wait_s, LATE_WAIT_RATIO * slack_s))
    return max(SUFFICES_RATIO_MIN, 1 - 1 / (VALUE_RATIO * late_chance))


def _quantile(values: list[int], ratio: float) -> int:
    """Return the smallest value that suffices for a share of all."""
    return sorted(values)[math.ceil(ratio * len(values)) - 1]


def _size_that_fits(sizes: Counter[int]) -> int:
    """Return the smallest size that ``PLACE_FITS_RATIO`` of the tasks fit in."""
    wanted = PLACE_FITS_RATIO * sizes.total()
    for size in sorted(sizes):
        wanted -= sizes[size]
        if wanted <= 0:
            return max(1, size)
    return max(1, *sizes)
