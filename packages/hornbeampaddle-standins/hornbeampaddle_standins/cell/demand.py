"""
Generate the load of a cell from a seed: workers, jobs, interference and run times.

Images interfere through a few contended resources. A serving image needs one or two
of them; a filling image stresses one or none. A filling image interferes strongly with
the serving images that need the resource it stresses, and slightly with all others.
"""

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from random import Random

from hornbeampaddle.cell.incarnations import WorkerId
from hornbeampaddle.cell.jobs import Job, Queue, Step, TaskKey
from hornbeampaddle.cell.progress import Run
from hornbeampaddle.cell.workers import WorkerListing
from hornbeampaddle.machines import Address
from hornbeampaddle.resources import Resources

# Birth of the first incarnation of every worker.
FIRST_BIRTH_MS = 1
GIB = 2**30
URGENT = Queue("urgent", "compute", 0, 3, 1.5, 0.25)
BATCH = Queue("batch", "compute", 2, 3, 2.0, 1.0)
# The fraction of each load swing for which a shrinking worker has half its CPU.
SHRUNK_FRACTION = 0.4
# When the grey workers fail part of what they start, after the load began.
GREY_FROM_S = 10.0
GREY_TO_S = 40.0
# When a burst of batch jobs begins after the start of the day, and how long it lasts.
BURST_AT_S = 10.0
BURST_S = 6.0
DATA_CENTRES = 3
# Longest run time of a step, over the mean of its queue.
WORK_RATIO_MAX = 10.0
# Run time of the longest task of a step, over the step's.
USUAL_LONGEST_RATIO = 1.15
SERVING = Queue("serving", "compute", 0, 2, 2.2, 2.5)


@dataclass(frozen=True, slots=True)
class DemandSettings:
    """
    The parameters of a load.

    Rates are per second, ``cpu_millis`` are millicores. The defaults have the
    proportions of the users' smaller deployment.
    """

    workers: int = 24
    worker_cpu_millis: int = 32_000
    rack_size: int = 6
    serving_jobs: int = 20
    serving_width: float = 6.0
    serving_cpu_millis: int = 6_400
    serving_images: int = 5
    filling_images: int = 9
    # The share of the filling images that stress a contended resource, and so interfere
    # with the serving images that need it.
    disturbing_ratio: float = 0.55
    # The number of contended resources, and the share of the serving images that need
    # two of them.
    resources: int = 2
    two_resource_ratio: float = 0.4
    # The share of the serving jobs that limit their tasks per worker to two, and the
    # share of these that limit them to one.
    per_worker_max_ratio: float = 0.5
    exclusive_ratio: float = 0.0
    # The slack lost when a filling image that stresses a needed resource fills a whole
    # worker.
    slope: float = 4.5
    # The slack lost when any other filling image fills a whole worker.
    background_slope: float = 0.0
    # Target latency / tail latency of a task without load.
    target_ratio: float = 5.0
    load: float = 0.45
    swing: float = 0.5
    swing_s: float = 20.0
    noise_ratio: float = 0.1
    batch_per_s: float = 3.2
    batch_width: float = 8.0
    batch_steps: float = 2.0
    batch_cpu_millis: int = 3_500
    batch_work_s: float = 1.7
    batch_worth: float = 1.26
    checkpoint_ratio: float = 0.85
    urgent_per_s: float = 2.0
    urgent_width: float = 6.0
    urgent_steps: float = 1.6
    urgent_cpu_millis: int = 2_300
    urgent_work_s: float = 1.0
    urgent_worth: float = 0.4
    serving_worth: float = 0.35
    fail_ratio: float = 0.04
    # The standard deviation of the logarithm of estimate / actual time.
    estimate_spread: float = 0.6
    # The same for urgent jobs; ``estimate_spread`` if 0.
    urgent_estimate_spread: float = 0.0
    # The share of the urgent and batch jobs that have a task that crashes its workers.
    crash_ratio: float = 0.0
    # The share of jobs that end of which every run fails, by the job's own fault.
    doomed_ratio: float = 0.0
    # The share of workers that fail this part of all that they start, at any point of
    # its time, between ``GREY_FROM_S`` and ``GREY_TO_S``.
    grey_ratio: float = 0.0
    grey_fail_ratio: float = 0.5
    # The share of the workers that have half their CPU for a part of each swing.
    shrink_ratio: float = 0.0
    # The fraction of each swing for which one of the three data centres is evacuated.
    evacuated_part: float = 0.0
    # Lasting jobs that are submitted during the day, and how long each lasting job
    # stays before its caller cancels it; 0 if it stays.
    serving_per_s: float = 0.0
    serving_stay_s: float = 0.0
    # The swing of the rates of urgent and batch jobs, as a share of them, and its
    # period.
    wave: float = 0.0
    wave_s: float = 17.0
    # The factor on the rate of batch jobs in ``BURST_S`` from ``BURST_AT_S`` on.
    burst: float = 1.0
    # The share of the steps that take ``tail_factor`` times as long as the others.
    tail_ratio: float = 0.0
    tail_factor: float = 7.0
    # The largest deviation of a task's run time from its step's, as a share of it ...
    uneven: float = 0.3
    # ... or, if not 0, the standard deviation of the logarithm of their ratio, for
    # urgent and for batch jobs. Failing runs then fail at any point of their time.
    urgent_task_spread: float = 0.0
    batch_task_spread: float = 0.0
    # The share of the urgent steps that allow copies, and the failures of their runs;
    # the latter is ``fail_ratio`` if 0.
    copies_ratio: float = 0.0
    urgent_fail_ratio: float = 0.0
    # The time from a stop order to the reported end.
    stop_s: float = 0.3


@dataclass(frozen=True, slots=True)
class Submission:
    """A job submitted ``at_s`` after the load began, worth ``worth`` credits."""

    at_s: float
    job: Job
    kind: str
    worth: float
    # The actual run time of a task, by step.
    work_s: tuple[float, ...]
    # When its caller cancels it, after the load began; infinite if never.
    cancelled_at_s: float = math.inf


@dataclass(frozen=True, slots=True)
class Work:
    """The actual run time of one run, and whether it fails."""

    work_s: float
    fails: bool


@dataclass(slots=True)
class Demand:
    """The load generated from one seed."""

    seed: int
    settings: DemandSettings = field(default_factory=DemandSettings)
    _random: Random = field(init=False)
    _noise: Random = field(init=False)
    _needs: dict[str, frozenset[int]] = field(default_factory=dict)
    _interference: dict[str, tuple[int, float]] = field(default_factory=dict)
    _phases: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Draw the resources and the interference slopes of the images."""
        settings = self.settings
        self._random = Random(self.seed)
        self._noise = Random(self.seed + 1)
        for number in range(settings.serving_images):
            first = self._random.randrange(settings.resources)
            needed = frozenset({first})
            if self._random.random() < settings.two_resource_ratio:
                second = (first + 1 + number % (settings.resources - 1)) % (
                    settings.resources
                )
                needed = frozenset({first, second})
            self._needs[f"serve-{number}"] = needed
        for number in range(settings.filling_images):
            resource = -1
            if self._random.random() < settings.disturbing_ratio:
                resource = self._random.randrange(settings.resources)
            slope = settings.slope * self._random.uniform(0.7, 1.5)
            self._interference[f"fill-{number}"] = (resource, slope)

    @property
    def target_ratio(self) -> float:
        """Return the slack of a serving task without load or fillers."""
        return self.settings.target_ratio

    def slope(self, serving: str, filling: str) -> float:
        """Return the slack that a serving image loses per worker filled."""
        resource, slope = self._interference[filling]
        if resource in self._needs[serving]:
            return slope
        return self.settings.background_slope

    def pairs(self) -> Iterator[tuple[str, str]]:
        """Return all pairs of a serving and a filling image."""
        for serving in self._needs:
            for filling in self._interference:
                yield serving, filling

    def noise(self) -> float:
        """Draw the factor of the measurement error of one reading."""
        return max(0.2, self._noise.gauss(1.0, self.settings.noise_ratio))

    def load(self, job_id: str, at_s: float) -> float:
        """Return the utilization that a job's users cause on each of its tasks."""
        settings = self.settings
        angle = 2 * math.pi * at_s / settings.swing_s + self._phases[job_id]
        return settings.load * (1 + settings.swing * math.sin(angle))

    def crashes(self, job_id: str) -> bool:
        """Return whether the first task of a job crashes workers; never if lasting."""
        chance = Random(f"{self.seed} {job_id} crashes").random()
        return job_id not in self._phases and chance < self.settings.crash_ratio

    def doomed(self, job_id: str) -> bool:
        """Return whether every run of a job fails; never if it lasts."""
        chance = Random(f"{self.seed} {job_id} doomed").random()
        return job_id not in self._phases and chance < self.settings.doomed_ratio

    def grey(self, number: int, at_s: float) -> bool:
        """Return whether a worker fails part of what it starts now."""
        if not GREY_FROM_S <= at_s < GREY_TO_S:
            return False
        chance = Random(f"{self.seed} {number} grey").random()
        return chance < self.settings.grey_ratio

    def grey_work(self, run: Run, work: Work) -> Work | None:
        """Return when a run on a grey worker fails; None if it does not."""
        random = Random(f"{self.seed} {run.key} {run.number} grey")
        if random.random() >= self.settings.grey_fail_ratio:
            return None
        return Work(max(0.1, random.random() * work.work_s), True)

    def capacity(self, number: int, whole: Resources, at_s: float) -> Resources:
        """Return a worker's current capacity, given its full capacity ``whole``."""
        settings = self.settings
        if number >= settings.shrink_ratio * settings.workers:
            return whole
        turn = (at_s / settings.swing_s + number / settings.workers) % 1.0
        if turn >= SHRUNK_FRACTION:
            return whole
        return replace(whole, cpu_millis=whole.cpu_millis // 2)

    def evacuated(self, at_s: float) -> frozenset[str]:
        """Return the data centres under evacuation, where no task may start."""
        turn, part = divmod(at_s / self.settings.swing_s, 1.0)
        if part >= self.settings.evacuated_part:
            return frozenset()
        return frozenset({_data_centre(int(turn))})

    def workers(self) -> Iterator[WorkerListing]:
        """Return the workers; every third one has 1.5 times the capacity."""
        settings = self.settings
        for number in range(settings.workers):
            cpu_millis = settings.worker_cpu_millis
            if number % 3 == 2:
                cpu_millis = cpu_millis * 3 // 2
            yield WorkerListing(
                WorkerId(f"w{number:03}", FIRST_BIRTH_MS),
                "compute",
                Address("127.0.0.1", 1),
                _data_centre(number),
                Resources(cpu_millis, cpu_millis * GIB // 250, 0),
                frozenset({"a", f"r-{number // settings.rack_size}"}),
            )

    def submissions(self, seconds_s: float) -> list[Submission]:
        """Return all submissions of a load of ``seconds_s``, in order of time."""
        settings = self.settings
        jobs = [self._serving(number) for number in range(settings.serving_jobs)]
        at_s = 2.0
        while at_s < seconds_s:
            rate_per_s = settings.batch_per_s * self._wave(at_s) * self._burst(at_s)
            at_s += self._random.expovariate(rate_per_s)
            jobs.append(self._batch(at_s, len(jobs)))
        at_s = 2.0
        while at_s < seconds_s:
            rate_per_s = settings.urgent_per_s * self._wave(at_s)
            at_s += self._random.expovariate(rate_per_s)
            jobs.append(self._urgent(at_s, len(jobs)))
        at_s = 2.0
        while settings.serving_per_s and at_s < seconds_s:
            at_s += self._random.expovariate(settings.serving_per_s)
            jobs.append(self._serving(len(jobs), at_s))
        return sorted(jobs, key=lambda submission: submission.at_s)

    def _wave(self, at_s: float) -> float:
        settings = self.settings
        return 1 + settings.wave * math.sin(2 * math.pi * at_s / settings.wave_s)

    def _burst(self, at_s: float) -> float:
        in_burst = BURST_AT_S <= at_s < BURST_AT_S + BURST_S
        return self.settings.burst if in_burst else 1.0

    def _serving(self, number: int, at_s: float = 0.0) -> Submission:
        settings = self.settings
        job_id = f"serving{number}"
        self._phases[job_id] = self._random.uniform(0, 2 * math.pi)
        step = Step(
            self._width(settings.serving_width, 0.4, 12),
            self._need(settings.serving_cpu_millis, 0.25),
            0.3,
            per_worker_max=self._per_worker_max(),
            lasting=True,
            image=self._pick(self._needs),
            tail_target_s=0.125,
        )
        job = Job(job_id, SERVING, "", (step,), 0.0)
        at_s = at_s or 0.1 * number
        until_s = math.inf
        if settings.serving_stay_s:
            stay_s = self._lognormal(
                settings.serving_stay_s, 0.5, 3 * settings.serving_stay_s
            )
            until_s = at_s + stay_s
        worth = settings.serving_worth
        return Submission(at_s, job, "serving", worth, (0.0,), until_s)

    def _per_worker_max(self) -> int:
        settings = self.settings
        if self._random.random() >= settings.per_worker_max_ratio:
            return 0
        # Without the setting there is no second draw, so that loads that do not set it
        # keep their random sequence.
        alone = (
            settings.exclusive_ratio
            and self._random.random() < settings.exclusive_ratio
        )
        return 1 if alone else 2

    def _batch(self, at_s: float, number: int) -> Submission:
        settings = self.settings
        image = self._pick(self._interference)
        saves = self._random.random() < settings.checkpoint_ratio
        return self._chain(
            f"batch{number}",
            at_s,
            BATCH,
            self._count(settings.batch_steps),
            self._width(settings.batch_width, 0.6, 32),
            self._need(settings.batch_cpu_millis, 0.3),
            settings.batch_work_s,
            settings.batch_worth,
            image,
            saves,
        )

    def _urgent(self, at_s: float, number: int) -> Submission:
        settings = self.settings
        return self._chain(
            f"urgent{number}",
            at_s,
            URGENT,
            self._count(settings.urgent_steps),
            self._width(settings.urgent_width, 0.8, 36),
            self._need(settings.urgent_cpu_millis, 0.45),
            settings.urgent_work_s,
            settings.urgent_worth,
            "",
            False,
        )

    def _chain(
        self,
        job_id: str,
        at_s: float,
        queue: Queue,
        length: int,
        width: int,
        need: Resources,
        mean_work_s: float,
        worth: float,
        image: str,
        saves: bool,
    ) -> Submission:
        steps = []
        works_s = []
        for position in range(length):
            work_s = self._step_work_s(mean_work_s)
            estimate_s = self._lognormal(
                work_s, self._estimate_spread(queue), 4 * work_s
            )
            steps.append(
                Step(
                    width,
                    need,
                    estimate_s,
                    after=(position - 1,) if position else (),
                    saves_checkpoints=saves,
                    image=image,
                    filler=bool(image),
                    allows_copies=not image and self._allows_copies(),
                )
            )
            works_s.append(work_s)
        job = Job(job_id, queue, "", tuple(steps), 0.0)
        volume = sum(
            step.count * step.need.cpu_millis * work_s
            for step, work_s in zip(steps, works_s, strict=True)
        )
        mean = length * width * need.cpu_millis * mean_work_s
        scaled = worth * (0.3 + 0.7 * volume / mean)
        return Submission(at_s, job, queue.name, min(4 * worth, scaled), tuple(works_s))

    def _step_work_s(self, mean_s: float) -> float:
        settings = self.settings
        work_s = self._lognormal(mean_s, 0.5, 2.5 * mean_s)
        if settings.tail_ratio and self._random.random() < settings.tail_ratio:
            work_s = min(WORK_RATIO_MAX * mean_s, settings.tail_factor * work_s)
        return work_s

    def _estimate_spread(self, queue: Queue) -> float:
        settings = self.settings
        if queue is URGENT and settings.urgent_estimate_spread:
            return settings.urgent_estimate_spread
        return settings.estimate_spread

    def work(self, submission: Submission, run: Run) -> Work:
        """Return the actual run time of a run and whether it fails."""
        settings = self.settings
        chance = Random(f"{self.seed} {run.key} {run.number}").random()
        fail_ratio = settings.fail_ratio
        if submission.kind == URGENT.name and settings.urgent_fail_ratio:
            fail_ratio = settings.urgent_fail_ratio
        fails = chance < fail_ratio
        work_s = self._task_factor(submission, run.key)
        work_s *= submission.work_s[run.key.step]
        if fails and self._task_spread(submission):
            work_s *= chance / fail_ratio
        return Work(max(0.1, work_s), fails)

    def _task_factor(self, submission: Submission, key: TaskKey) -> float:
        """Return the ratio of a task's run time to its step's."""
        random = Random(f"{self.seed} {key}")
        spread = self._task_spread(submission)
        if spread:
            return math.exp(random.gauss(0.0, spread))
        return random.uniform(1 - self.settings.uneven, 1 + self.settings.uneven)

    def _task_spread(self, submission: Submission) -> float:
        if submission.kind == URGENT.name:
            return self.settings.urgent_task_spread
        return self.settings.batch_task_spread

    def objective_s(self, submission: Submission) -> float:
        """Return the completion time objective, based on the actual run times."""
        queue = submission.job.queue
        chain_s = sum(
            self._longest_ratio(submission, number) * work_s
            for number, work_s in enumerate(submission.work_s)
        )
        return queue.stretch_ratio * chain_s + queue.latency_target_s

    def _longest_ratio(self, submission: Submission, number: int) -> float:
        if not self._task_spread(submission):
            return USUAL_LONGEST_RATIO
        job = submission.job
        return max(
            self._task_factor(submission, TaskKey(job.job_id, 0, number, position))
            for position in range(job.steps[number].count)
        )

    def _allows_copies(self) -> bool:
        ratio = self.settings.copies_ratio
        return bool(ratio) and self._random.random() < ratio

    def _pick(self, images: Iterable[str]) -> str:
        return self._random.choice(sorted(images))

    def _need(self, cpu_millis: int, spread: float) -> Resources:
        drawn = self._lognormal(cpu_millis, spread, 2.0 * cpu_millis)
        return Resources(max(50, round(drawn / 50) * 50), 2 * GIB, 0)

    def _width(self, mean: float, spread: float, maximum: int) -> int:
        return max(1, round(self._lognormal(mean, spread, maximum)))

    def _count(self, mean: float) -> int:
        return max(1, min(5, round(self._lognormal(mean, 0.4, 5))))

    def _lognormal(self, mean: float, spread: float, maximum: float) -> float:
        drawn = mean * math.exp(self._random.gauss(-spread * spread / 2, spread))
        return min(maximum, drawn)


def _data_centre(number: int) -> str:
    """Return the data centre of a worker; every rack spans all data centres."""
    return f"dc-{1 + number % DATA_CENTRES}"
