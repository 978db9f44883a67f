"""
Predict how long tasks run, from what submitters estimate and from what was seen.

All times are those of a task alone at full speed on a sound worker, in seconds.
"""

import math
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from ..decoding import decode
from .estimates import FitRecord, QueueFit
from .jobs import ESTIMATE_MIN_S, Job, Queue, Step, StepKey
from .learned import UnusableRecordError
from .progress import Run, StepState
from .settings import CellSettings
from .task_times import StepProspect
from .work_seen import RunSeen, StepSeen, speed
from .worker_speeds import WorkerSpeeds

QUEUES_MAX = 32
RECORD_VERSION = 1
# Usual spread of the tasks of a step, as the standard deviation of their logarithm.
TASK_SPREAD = 0.3
# The error of a run's projection by its progress, in the same unit.
PROJECTION_SPREAD = 0.1
# Factor on the spread that nine runs in ten do not exceed.
NINE_IN_TEN = 1.28
# Lowest speed for which a run's end is predicted: its pace will change before it.
SPEED_MIN = 0.05


@dataclass(frozen=True, slots=True)
class Remaining:
    """
    The time that a run has left at its present speed, in seconds.

    ``longest_s`` is not exceeded by nine runs in ten. ``observed`` tells that the run's
    own progress supports both; otherwise they are what is known of its step and queue.
    """

    expected_s: float
    longest_s: float
    observed: bool


@dataclass(frozen=True, slots=True)
class QueueErrors:
    """How far off a queue's estimates and predictions are, as factors, for the log."""

    queue: str
    readings: float
    estimates: float
    predictions: float
    off: bool


class RunTimesRecord(msgspec.Struct, array_like=True, frozen=True):
    """The stored form: version, and the fit of each queue with its age."""

    version: int
    fits: dict[str, FitRecord]


_decoder = msgspec.msgpack.Decoder(RunTimesRecord)
_version_decoder = msgspec.msgpack.Decoder(list)
_encoder = msgspec.msgpack.Encoder()


class RunTimes:
    """What is known of the run times of each queue and of the steps at work."""

    def __init__(self, settings: CellSettings) -> None:
        """Start with the submitters' estimates only."""
        self.settings = settings
        self.fits: dict[str, QueueFit] = {}
        # Names of the queues whose estimates are off: asked for each waiting step.
        self._off: frozenset[str] = frozenset()
        self.speeds = WorkerSpeeds()
        self._now_s = 0.0
        # Steps at work, and what the longest task of each step that is done took.
        self._steps: dict[str, dict[StepKey, StepSeen]] = defaultdict(dict)
        self._taken_s: dict[str, dict[StepKey, float]] = defaultdict(dict)

    # Learning

    def observe_progress(self, job: Job, run: Run, now_s: float) -> None:
        """Learn from a report that lists a run as running, already applied to it."""
        if self._teaches(run.step):
            self._step(job, run, now_s).run(run, now_s).observe(run, now_s)

    def observe_done(self, job: Job, run: Run, now_s: float) -> None:
        """Learn from the end of a run that succeeded, before its room is released."""
        if not self._teaches(run.step):
            return
        seen = self._step(job, run, now_s)
        seen.end(run, now_s)
        if len(seen.done) >= run.step.count or run.step.gang:
            self._close_step(job, StepKey(*run.key[:3]), seen, now_s)

    def observe_failed(self, job: Job, run: Run, now_s: float) -> None:
        """Count the time of a run that failed by itself into the job's objective."""
        if self._teaches(run.step):
            self._step(job, run, now_s).fail(run, now_s)

    def forget_job(self, job: Job) -> None:
        """Drop what was kept of the steps of a job that has ended."""
        self._steps.pop(job.job_id, None)
        self._taken_s.pop(job.job_id, None)

    def _teaches(self, step: Step) -> bool:
        # Away from its data or rack, a task takes several times as long.
        near = not step.data_rack and not step.one_rack
        return self.settings.learns_run_times and near and not step.lasting

    def _step(self, job: Job, run: Run, now_s: float) -> StepSeen:
        self._now_s = now_s
        steps = self._steps[job.job_id]
        key = StepKey(*run.key[:3])
        if key not in steps:
            steps[key] = StepSeen()
        return steps[key]

    def _close_step(self, job: Job, key: StepKey, seen: StepSeen, now_s: float) -> None:
        longest_s = seen.longest_s
        if longest_s is not None:
            self._taken_s[job.job_id][key] = longest_s
        del self._steps[job.job_id][key]
        works = list(seen.ended.values())
        self.speeds.observe_step(works)
        sound = [work_s for work_s, worker in works if not self.speeds.slow(worker)]
        if not sound:
            return
        fit = self._fit(job.queue)
        fit.add_step(job.steps[key.step].estimate_s, sound, now_s)
        if fit.off is not (job.queue.name in self._off):
            self._update_off()

    def _fit(self, queue: Queue) -> QueueFit:
        fit = self.fits.get(queue.name)
        if fit is None:
            if len(self.fits) >= QUEUES_MAX:
                oldest = min(self.fits, key=lambda name: self.fits[name].read_at_s)
                del self.fits[oldest]
                self._update_off()
            fit = self.fits[queue.name] = QueueFit()
        return fit

    # Predictions

    def off(self, queue: Queue) -> bool:
        """Return whether the estimates of a queue were seen to be off."""
        return queue.name in self._off

    def _update_off(self) -> None:
        self._off = frozenset(name for name, fit in self.fits.items() if fit.off)

    def task_s(self, queue: Queue, step: Step) -> float:
        """Return the expected run time of a task of a step that has not begun."""
        if not self.off(queue):
            return step.estimate_s
        return self.fits[queue.name].predict_s(step.estimate_s)

    def step_task_s(self, job: Job, key: StepKey) -> float:
        """Return the expected run time of a task, by its step's runs if known."""
        known_s = self.task_s(job.queue, job.steps[key.step])
        seen = self._seen(key)
        if not self.off(job.queue) or seen is None or seen.median_s is None:
            return known_s
        spread = max(TASK_SPREAD, self.fits[job.queue.name].spread)
        ratio = seen.known * (spread / TASK_SPREAD) ** 2
        weight = ratio / (1 + ratio)
        return math.exp(
            weight * math.log(max(ESTIMATE_MIN_S, seen.median_s))
            + (1 - weight) * math.log(max(ESTIMATE_MIN_S, known_s))
        )

    def remaining(self, job: Job, run: Run, now_s: float) -> Remaining:
        """Return the time that a run in progress has left."""
        seen = self._run_seen(run)
        projected_s = seen.projected_s if seen is not None else None
        done = run.progress_percent / 100
        at_speed = max(SPEED_MIN, speed(run, now_s))
        if projected_s is not None:
            longest_s = projected_s * math.exp(NINE_IN_TEN * PROJECTION_SPREAD)
            left_s = projected_s * (1 - done) / at_speed
            longest_left_s = (longest_s - projected_s * done) / at_speed
            return Remaining(left_s, longest_left_s, observed=True)
        total_s = max(ESTIMATE_MIN_S, self.step_task_s(job, StepKey(*run.key[:3])))
        longest_s = total_s * self._longest_factor(job.queue, run)
        left_s = total_s * (1 - done)
        return Remaining(left_s / at_speed, longest_s / at_speed, observed=False)

    def prospect(self, job: Job, step: StepState, now_s: float) -> StepProspect:
        """Return how long a step takes as a whole, and how long from now."""
        taken_s = self._taken_s.get(job.job_id, {}).get(step.key)
        if taken_s is not None:
            return StepProspect(taken_s, 0.0)
        task_s = self.step_task_s(job, step.key)
        fit = self.fits[job.queue.name]
        seen = self._seen(step.key)
        if seen is None:
            whole_s = task_s * fit.longest_ratio(step.step.count)
            return StepProspect(whole_s, 0.0 if step.done else whole_s)
        whole_s = seen.longest_s or 0.0
        left_s = 0.0
        unknown = 0
        for task in step.tasks:
            if task.done:
                continue
            run_seen = seen.runs.get(task.key.position)
            projected_s = run_seen.projected_s if run_seen is not None else None
            if task.run is None or projected_s is None:
                unknown += 1
                continue
            whole_s = max(whole_s, projected_s)
            left = projected_s * (1 - task.run.progress_percent / 100)
            left_s = max(left_s, left)
        if unknown:
            longest_s = task_s * fit.longest_ratio(unknown)
            whole_s, left_s = max(whole_s, longest_s), max(left_s, longest_s)
        return StepProspect(whole_s, left_s)

    def _longest_factor(self, queue: Queue, run: Run) -> float:
        seen = self._seen(StepKey(*run.key[:3]))
        spread = TASK_SPREAD
        if seen is None or seen.median_s is None:
            fit = self.fits.get(queue.name)
            spread = math.hypot(spread, fit.spread if fit is not None else 0.5)
        return math.exp(NINE_IN_TEN * spread)

    def _seen(self, key: StepKey) -> StepSeen | None:
        steps = self._steps.get(key.job_id)
        return steps.get(key) if steps is not None else None

    def _run_seen(self, run: Run) -> RunSeen | None:
        step = self._seen(StepKey(*run.key[:3]))
        seen = step.runs.get(run.key.position) if step is not None else None
        return seen if seen is not None and seen.number == run.number else None

    # Judging and reporting

    def taken_chain_s(self, job: Job) -> float:
        """Return the longest chain of a job by what its steps took, or will take."""
        taken = self._taken_s.get(job.job_id, {})
        ends: list[float] = []
        for number, step in enumerate(job.steps):
            key = StepKey(job.job_id, 0, number)
            begin_s = max((ends[before] for before in step.after), default=0.0)
            step_s = taken.get(key)
            if step_s is None:
                seen = self._seen(key)
                seen_s = seen.longest_s if seen is not None else None
                step_s = max(seen_s or 0.0, self.task_s(job.queue, step))
            ends.append(begin_s + step_s)
        return max(ends, default=0.0)

    def errors(self) -> Iterator[QueueErrors]:
        """Return how far off each queue's estimates and predictions are."""
        for name, fit in self.fits.items():
            yield QueueErrors(
                name,
                round(fit.weight, 1),
                round(fit.estimate_error, 2),
                round(fit.prediction_error, 2),
                fit.off,
            )

    # The record

    def encode(self) -> bytes | None:
        """Return the record for the next holder, or None if nothing is known."""
        if not self.fits:
            return None
        fits = {name: fit.record(self._now_s) for name, fit in self.fits.items()}
        return _encoder.encode(RunTimesRecord(RECORD_VERSION, fits))

    def inherit(self, value: bytes) -> None:
        """Go on from a record of an earlier holder."""
        if not self.settings.learns_run_times:
            return
        # The version is the first field of every version.
        try:
            version = decode(_version_decoder, value)[0]
            if version != RECORD_VERSION:
                raise UnusableRecordError(f"version {version}")
            record = decode(_decoder, value)
            fits = {n: QueueFit.restored(r) for n, r in record.fits.items()}
        except (ValueError, IndexError) as error:
            raise UnusableRecordError(str(error)) from error
        self.fits = dict(list(fits.items())[:QUEUES_MAX])
        self._update_off()
