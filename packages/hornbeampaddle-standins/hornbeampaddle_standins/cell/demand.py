"""
Draw the load of a cell from a seed: workers, jobs, what they disturb, how long they
really take.

A task of a serving image suffers from the fillers that press on a resource that it
needs: one or two of a few. A filling image presses on one of them, or on none; all
others it disturbs a little.
"""

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from random import Random

from hornbeampaddle.cell.jobs import Job, Queue, Step
from hornbeampaddle.cell.progress import Run
from hornbeampaddle.cell.workers import WorkerListing
from hornbeampaddle.machines import Address
from hornbeampaddle.resources import Resources

GIB = 2**30
URGENT = Queue("urgent", "compute", 0, 3, 1.5, 0.25)
BATCH = Queue("batch", "compute", 2, 3, 2.0, 1.0)
# The part of a swing for which a worker that shrinks holds half.
SHRUNK_PART = 0.4
DATA_CENTRES = 3
SERVING = Queue("serving", "compute", 0, 2, 2.2, 2.5)


@dataclass(frozen=True, slots=True)
class DemandSettings:
    """
    The size of a load; rates are a second, ``cpu`` is thousandths of a core.

    The defaults are the proportions of the users' smaller deployment.
    """

    workers: int = 24
    worker_cpu_millis: int = 32_000
    rack_size: int = 6
    serving_jobs: int = 20
    serving_width: float = 6.0
    serving_cpu_millis: int = 6_400
    serving_images: int = 5
    filling_images: int = 9
    # The share of the filling images that disturb some serving image.
    pressing_ratio: float = 0.55
    # How many resources fillers press on, and the share of the serving images that
    # need two of them.
    resources: int = 2
    both_ratio: float = 0.4
    # The share of the serving jobs that allow two tasks on one worker, no more, and the
    # share of these that allow one.
    apart_ratio: float = 0.5
    alone_ratio: float = 0.0
    # Loss of slack when a disturbing image fills a whole worker.
    slope: float = 4.5
    # ... and when any other image does.
    light_slope: float = 0.0
    # A target is this many times the tail of a task that has no load.
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
    # How far estimates are off, as the spread of their logarithm.
    estimate_spread: float = 0.6
    # The share of the urgent and batch jobs of which one task crashes its workers.
    crash_ratio: float = 0.0
    # The share of the workers that hold half for a part of each swing.
    shrink_ratio: float = 0.0
    # The part of each swing in which one of the three data centres is evacuated.
    evacuated_part: float = 0.0


@dataclass(frozen=True, slots=True)
class Submission:
    """A job that a caller hands in, ``at_s`` after the load began."""

    at_s: float
    job: Job
    kind: str
    worth: float
    # The true seconds of one task of each step.
    work_s: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Work:
    """What one run will turn out to be."""

    work_s: float
    fails: bool


@dataclass(slots=True)
class Demand:
    """The whole load of one seed."""

    seed: int
    settings: DemandSettings = field(default_factory=DemandSettings)
    _random: Random = field(init=False)
    _noise: Random = field(init=False)
    _needs: dict[str, frozenset[int]] = field(default_factory=dict)
    _presses: dict[str, tuple[int, float]] = field(default_factory=dict)
    _phases: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Draw the images."""
        settings = self.settings
        self._random = Random(self.seed)
        self._noise = Random(self.seed + 1)
        for number in range(settings.serving_images):
            first = self._random.randrange(settings.resources)
            needed = frozenset({first})
            if self._random.random() < settings.both_ratio:
                second = (first + 1 + number % (settings.resources - 1)) % (
                    settings.resources
                )
                needed = frozenset({first, second})
            self._needs[f"serve-{number}"] = needed
        for number in range(settings.filling_images):
            resource = -1
            if self._random.random() < settings.pressing_ratio:
                resource = self._random.randrange(settings.resources)
            slope = settings.slope * self._random.uniform(0.7, 1.5)
            self._presses[f"fill-{number}"] = (resource, slope)

    @property
    def target_ratio(self) -> float:
        """Return the slack of a serving task without load or fillers."""
        return self.settings.target_ratio

    def slope(self, serving: str, filling: str) -> float:
        """Return the slack that a serving image loses per worker filled."""
        resource, slope = self._presses[filling]
        if resource in self._needs[serving]:
            return slope
        return self.settings.light_slope

    def pairs(self) -> Iterator[tuple[str, str]]:
        """Return every serving image with every filling one."""
        for serving in self._needs:
            for filling in self._presses:
                yield serving, filling

    def noise(self) -> float:
        """Return the factor by which one reading is off."""
        return max(0.2, self._noise.gauss(1.0, self.settings.noise_ratio))

    def load(self, job_id: str, at_s: float) -> float:
        """Return the load that a job's users put on each of its tasks."""
        settings = self.settings
        angle = 2 * math.pi * at_s / settings.swing_s + self._phases[job_id]
        return settings.load * (1 + settings.swing * math.sin(angle))

    def crashes(self, job_id: str) -> bool:
        """Tell whether the first task of a job that ends crashes its workers."""
        chance = Random(f"{self.seed} {job_id} crashes").random()
        return job_id not in self._phases and chance < self.settings.crash_ratio

    def capacity(self, number: int, whole: Resources, at_s: float) -> Resources:
        """Return what a worker holds now of what it holds at most."""
        settings = self.settings
        if number >= settings.shrink_ratio * settings.workers:
            return whole
        turn = (at_s / settings.swing_s + number / settings.workers) % 1.0
        if turn >= SHRUNK_PART:
            return whole
        return replace(whole, cpu_millis=whole.cpu_millis // 2)

    def evacuated(self, at_s: float) -> frozenset[str]:
        """Return the data centres in which nothing more may start now."""
        turn, part = divmod(at_s / self.settings.swing_s, 1.0)
        if part >= self.settings.evacuated_part:
            return frozenset()
        return frozenset({_data_centre(int(turn))})

    def workers(self) -> Iterator[WorkerListing]:
        """Return the workers: of three, one is half as large again."""
        settings = self.settings
        for number in range(settings.workers):
            cpu_millis = settings.worker_cpu_millis
            if number % 3 == 2:
                cpu_millis = cpu_millis * 3 // 2
            yield WorkerListing(
                f"w{number:03}",
                "compute",
                Address("127.0.0.1", 1),
                _data_centre(number),
                Resources(cpu_millis, cpu_millis * GIB // 250, 0),
                frozenset({"a", f"r-{number // settings.rack_size}"}),
            )

    def until(self, seconds_s: float) -> list[Submission]:
        """Return all jobs of so many seconds, in their order."""
        settings = self.settings
        jobs = [self._serving(number) for number in range(settings.serving_jobs)]
        at_s = 2.0
        while at_s < seconds_s:
            at_s += self._random.expovariate(settings.batch_per_s)
            jobs.append(self._batch(at_s, len(jobs)))
        at_s = 2.0
        while at_s < seconds_s:
            at_s += self._random.expovariate(settings.urgent_per_s)
            jobs.append(self._urgent(at_s, len(jobs)))
        return sorted(jobs, key=lambda submission: submission.at_s)

    def _serving(self, number: int) -> Submission:
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
        return Submission(0.1 * number, job, "serving", settings.serving_worth, (0.0,))

    def _per_worker_max(self) -> int:
        settings = self.settings
        if self._random.random() >= settings.apart_ratio:
            return 0
        # No draw without the setting: loads that lack it stay as they are.
        alone = settings.alone_ratio and self._random.random() < settings.alone_ratio
        return 1 if alone else 2

    def _batch(self, at_s: float, number: int) -> Submission:
        settings = self.settings
        image = self._pick(self._presses)
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
            work_s = self._spread(mean_work_s, 0.5, 2.5 * mean_work_s)
            estimate_s = self._spread(work_s, self.settings.estimate_spread, 4 * work_s)
            steps.append(
                Step(
                    width,
                    need,
                    estimate_s,
                    after=(position - 1,) if position else (),
                    saves_checkpoints=saves,
                    image=image,
                    filler=bool(image),
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

    def work(self, submission: Submission, run: Run) -> Work:
        """Return how long a run really takes and whether it fails."""
        chance = Random(f"{self.seed} {run.key} {run.number}").random()
        uneven = Random(f"{self.seed} {run.key}").uniform(0.7, 1.3)
        fails = chance < self.settings.fail_ratio
        return Work(max(0.1, uneven * submission.work_s[run.key.step]), fails)

    def objective_s(self, submission: Submission) -> float:
        """Return the time in which a job should be done, by its true length."""
        queue = submission.job.queue
        chain_s = 1.15 * sum(submission.work_s)
        return queue.stretch_ratio * chain_s + queue.latency_target_s

    def _pick(self, images: Iterable[str]) -> str:
        return self._random.choice(sorted(images))

    def _need(self, cpu_millis: int, spread: float) -> Resources:
        drawn = self._spread(cpu_millis, spread, 2.0 * cpu_millis)
        return Resources(max(50, round(drawn / 50) * 50), 2 * GIB, 0)

    def _width(self, mean: float, spread: float, most: int) -> int:
        return max(1, round(self._spread(mean, spread, most)))

    def _count(self, mean: float) -> int:
        return max(1, min(5, round(self._spread(mean, 0.4, 5))))

    def _spread(self, mean: float, spread: float, most: float) -> float:
        drawn = mean * math.exp(self._random.gauss(-spread * spread / 2, spread))
        return min(most, drawn)


def _data_centre(number: int) -> str:
    """Return the name of one of the data centres; racks have workers in each."""
    return f"dc-{1 + number % DATA_CENTRES}"
