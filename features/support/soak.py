"""Run random walks for many seeds: ``python -m support.soak FIRST COUNT``."""

import sys

from .walk import walk


def main(first, count):
    broken = 0
    for seed in range(first, first + count):
        try:
            walk(seed)
        except AssertionError as error:
            broken += 1
            print(f"seed {seed}: {str(error)[:300]}", flush=True)
    print(f"{count} walks, {broken} broke a promise")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
