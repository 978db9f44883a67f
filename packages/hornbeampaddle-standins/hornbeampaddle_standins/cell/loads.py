"""Name the loads by which decisions are compared."""

from dataclasses import replace

from .demand import DemandSettings

# Serving tasks reserve 85 % of the processors; fillers press on one of three resources,
# and disturb all other images a little.
CROWDED = DemandSettings(
    workers=33,
    worker_cpu_millis=64_000,
    rack_size=11,
    serving_jobs=25,
    serving_cpu_millis=13_000,
    resources=3,
    pressing_ratio=0.9,
    both_ratio=0.6,
    slope=6.5,
    light_slope=0.9,
    alone_ratio=0.5,
    swing_s=14.0,
    batch_per_s=3.0,
    batch_cpu_millis=7_000,
    batch_work_s=2.7,
    batch_worth=1.72,
    urgent_per_s=2.5,
    urgent_cpu_millis=6_300,
    urgent_work_s=0.8,
    urgent_worth=0.374,
    serving_worth=0.3,
)

# The same, with most pairs of images disturbing one another.
HOSTILE = replace(CROWDED, pressing_ratio=1.0, both_ratio=1.0)
# More for fillers than fits, on workers that serve.
OVERFULL = DemandSettings(pressing_ratio=1.0, batch_per_s=4.0, serving_jobs=22)
LARGE = DemandSettings(
    workers=246,
    worker_cpu_millis=64_000,
    rack_size=20,
    serving_jobs=90,
    serving_width=14,
    serving_cpu_millis=10_000,
    batch_per_s=14.4,
    batch_width=20,
    batch_cpu_millis=7_000,
    urgent_per_s=6,
    urgent_width=10,
    urgent_cpu_millis=11_000,
)

# Many kinds of images on many workers: 180 pairs to learn, most of them disturbing, and
# wide batch jobs that are worth most.
MIXED = DemandSettings(
    workers=246,
    worker_cpu_millis=64_000,
    rack_size=12,
    serving_jobs=81,
    serving_width=14,
    serving_cpu_millis=13_000,
    serving_images=10,
    filling_images=18,
    resources=3,
    pressing_ratio=0.9,
    both_ratio=0.6,
    slope=4.5,
    light_slope=0.5,
    swing=0.6,
    swing_s=14.0,
    batch_per_s=13.7,
    batch_width=20,
    batch_cpu_millis=7_000,
    batch_work_s=2.2,
    batch_worth=1.18,
    urgent_per_s=5.8,
    urgent_width=9.5,
    urgent_cpu_millis=10_000,
    urgent_work_s=0.8,
    urgent_worth=0.317,
    serving_worth=0.234,
)

# One job in fifty has a task that crashes its workers, and a third of the workers hold
# half for a part of the time.
BREAKING = DemandSettings(crash_ratio=0.02, shrink_ratio=0.33)

# One of three data centres is evacuated for half of the time.
EVACUATED = DemandSettings(evacuated_part=0.5, batch_per_s=2.5)

LOADS = {
    "usual": DemandSettings(),
    "tight": DemandSettings(pressing_ratio=0.8, batch_per_s=4.0, load=0.5),
    "pressing": OVERFULL,
    "crowded": CROWDED,
    "hostile": HOSTILE,
    "large": LARGE,
    "breaking": BREAKING,
    "mixed": MIXED,
    "evacuated": EVACUATED,
}
