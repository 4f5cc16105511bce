"""Rollouts of good and bad versions over many seeds, run by hand.

Usage, from the folder ``features``::

    python -m support.rollout_runs --first 1 --count 100

It prints the share of runs in which a rule was broken or a duty missed, by what is
wrong with the new version, and the seeds of these runs.
"""

import argparse
from multiprocessing import Pool

from .rollout_world import Fault, RolloutWorld

MOMENTS = ("at once", "late", "under load", "on one route")
FAULTS = (
    None,
    *(Fault(kind, when) for kind in ("fails", "slow") for when in MOMENTS),
    Fault("slow", "at once", 1.0),
    Fault("slow", "late", 1.0),
    Fault("fails", "late", 0.2),
    Fault("slow", "late", 0.2),
)


def play(case):
    """Play one rollout and return its number of fault, its seed and its faults."""
    number, seed = case
    world = RolloutWorld(seed, FAULTS[number])
    world.start()
    world.order()
    world.run_rollout()
    return number, seed, world.violations()


def main():
    """Play all faults with all seeds and print what was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--count", type=int, default=10)
    parser.add_argument("--jobs", type=int, default=2)
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.count)
    cases = [(number, seed) for number in range(len(FAULTS)) for seed in seeds]
    with Pool(options.jobs) as pool:
        results = pool.map(play, cases)
    for number, fault in enumerate(FAULTS):
        broken = [(seed, v) for n, seed, v in results if n == number and v]
        print(f"{fault or 'good'}: {len(broken)} of {len(seeds)}", *broken, sep="\n  ")


if __name__ == "__main__":
    main()
