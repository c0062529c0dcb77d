"""Random trials of the claim protocol for a limited time.

Run it with ``make soak``, or ``python -m bulrushcourse_testkit.soak SECONDS
SEED``. The seed of each trial with a violation is printed; a trial with the
same seed reproduces it.
"""

import sys
import time

from bulrushcourse_testkit.claims import driver
from bulrushcourse_testkit.claims import world as claim_world

MOVES_PER_TRIAL = 600
DEFAULT_DURATION_S = 120.0


def soak(duration_s: float, first_seed: int) -> int:
    """Run trials for a given time and return how many failed.

    Args:
        duration_s: Time after which no trial starts, in seconds.
        first_seed: Seed of the first trial; each further trial adds one.
    """
    deadline = time.monotonic() + duration_s
    seed, moves, runs, failed = first_seed, 0, 0, 0
    outcomes: dict[str, int] = {}
    while time.monotonic() < deadline:
        world = claim_world.World()
        try:
            driver.run_trial(world, seed, MOVES_PER_TRIAL)
        except claim_world.Violation as violation:
            failed += 1
            print(f'seed {seed}: {violation}', flush=True)
        seed += 1
        moves += MOVES_PER_TRIAL
        runs += len(world.history.ran)
        for outcome, count in world.history.reply_counts.items():
            outcomes[outcome] = outcomes.get(outcome, 0) + count
    print(f'seeds {first_seed} to {seed - 1}, {moves} moves, {runs} runs')
    print(f'reported outcomes: {outcomes}; trials with a violation: {failed}')
    return failed


def main() -> int:
    """Run with the duration and the first seed from the command line."""
    duration_s = (
        float(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_DURATION_S
    )
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    return 1 if soak(duration_s, seed) else 0


if __name__ == '__main__':
    sys.exit(main())
