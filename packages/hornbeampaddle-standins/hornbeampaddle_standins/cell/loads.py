"""The named loads of the benchmark that compares scheduling decisions."""

from dataclasses import replace

from .demand import DemandSettings

# Serving tasks reserve 85 % of the CPU; fillers stress one of three resources and
# interfere slightly with all images that do not need it.
CROWDED = DemandSettings(
    workers=33,
    worker_cpu_millis=64_000,
    rack_size=11,
    serving_jobs=25,
    serving_cpu_millis=13_000,
    resources=3,
    disturbing_ratio=0.9,
    two_resource_ratio=0.6,
    slope=6.5,
    background_slope=0.9,
    exclusive_ratio=0.5,
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

# The same with strong interference between most pairs of images.
HOSTILE = replace(CROWDED, disturbing_ratio=1.0, two_resource_ratio=1.0)
# More filler work than fits on the workers beside the serving tasks.
FILLER_OVERLOAD = DemandSettings(disturbing_ratio=1.0, batch_per_s=4.0, serving_jobs=22)
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

# Many images on many workers: 180 pairs to learn, most of which interfere, and wide
# batch jobs that have the highest worth.
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
    disturbing_ratio=0.9,
    two_resource_ratio=0.6,
    slope=4.5,
    background_slope=0.5,
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

# One job in fifty has a task that crashes its workers, and a third of the workers have
# half their CPU for a part of the time.
BREAKING = DemandSettings(crash_ratio=0.02, shrink_ratio=0.33)

# One of the three data centres is under evacuation for half of the time.
EVACUATED = DemandSettings(evacuated_part=0.5, batch_per_s=2.5)

# Room is short at times: lasting tasks reserve nearly all CPU and come and go, stops
# take long, urgent jobs come in waves, and batch callers' estimates are far off.
SHORT = DemandSettings(
    workers=62,
    worker_cpu_millis=16_000,
    rack_size=12,
    serving_jobs=32,
    serving_width=14,
    serving_cpu_millis=3_200,
    serving_images=10,
    filling_images=18,
    resources=3,
    two_resource_ratio=0.6,
    slope=4.5,
    swing_s=14.0,
    serving_per_s=0.25,
    serving_stay_s=100.0,
    serving_worth=0.193,
    batch_per_s=2.8,
    batch_width=20,
    batch_cpu_millis=1_800,
    batch_work_s=1.4,
    batch_worth=0.774,
    urgent_per_s=1.2,
    urgent_width=9.5,
    urgent_cpu_millis=2_800,
    urgent_work_s=0.85,
    urgent_worth=0.366,
    estimate_spread=0.9,
    urgent_estimate_spread=0.2,
    urgent_task_spread=0.15,
    batch_task_spread=0.3,
    wave=0.55,
    tail_ratio=0.03,
    copies_ratio=0.3,
    urgent_fail_ratio=0.05,
    stop_s=0.9,
)

# Demand is uneven: waves, bursts of longer batch jobs, and estimates that are far off
# everywhere.
UNEVEN = replace(
    SHORT,
    urgent_estimate_spread=0.9,
    tail_ratio=0.0,
    wave=0.7,
    burst=2.5,
    batch_per_s=2.45,
    batch_work_s=2.2,
    batch_worth=0.993,
    urgent_per_s=1.45,
    urgent_cpu_millis=2_600,
    urgent_work_s=1.0,
    urgent_worth=0.337,
    serving_worth=0.191,
    stop_s=0.4,
)

# Jobs that can never be done, workers that fail half of what they start, and both.
DOOMED = DemandSettings(fail_ratio=0.0, doomed_ratio=0.08)
GREY = DemandSettings(fail_ratio=0.0, grey_ratio=0.15)
GREY_AND_DOOMED = replace(GREY, doomed_ratio=0.08)

LOADS = {
    "usual": DemandSettings(),
    "tight": DemandSettings(disturbing_ratio=0.8, batch_per_s=4.0, load=0.5),
    "pressing": FILLER_OVERLOAD,
    "crowded": CROWDED,
    "hostile": HOSTILE,
    "large": LARGE,
    "breaking": BREAKING,
    "mixed": MIXED,
    "evacuated": EVACUATED,
    "short": SHORT,
    "uneven": UNEVEN,
    "doomed": DOOMED,
    "grey": GREY,
    "grey all": replace(GREY, grey_fail_ratio=1.0),
    "grey and doomed": GREY_AND_DOOMED,
}
