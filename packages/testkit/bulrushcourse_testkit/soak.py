"""Long trials of the rules on claims, bounded in time.

Run it with ``make soak``, or ``python -m bulrushcourse_testkit.soak SECONDS
SEED``. Each trial's seed is printed if it finds a violation; the same seed
finds it again.
"""

import sys
import time

from bulrushcourse_testkit.claims import driver
from bulrushcourse_testkit.claims import world as claim_world

MOVES = 600
LIMIT_S = 120.0


def soak(limit_s: float, first_seed: int) -> int:
    """Run trials until the time is over and return how many failed.

    Args:
        limit_s: Seconds after which no trial is started.
        first_seed: Seed of the first trial; later ones count up.
    """
    end = time.monotonic() + limit_s
    seed, moves, runs, failed = first_seed, 0, 0, 0
    reply: dict[str, int] = {}
    while time.monotonic() < end:
        world = claim_world.World()
        try:
            driver.run_trial(world, seed, MOVES)
        except claim_world.Violation as violation:
            failed += 1
            print(f'seed {seed}: {violation}', flush=True)
        seed += 1
        moves += MOVES
        runs += len(world.ledger.ran)
        for outcome, count in world.ledger.reply.items():
            reply[outcome] = reply.get(outcome, 0) + count
    print(f'seeds {first_seed} to {seed - 1}, {moves} moves, {runs} runs')
    print(f'told: {reply}; trials with a violation: {failed}')
    return failed


def main() -> int:
    """Run with the time limit and the first seed of the command line."""
    limit_s = float(sys.argv[1]) if len(sys.argv) > 1 else LIMIT_S
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    return 1 if soak(limit_s, seed) else 0


if __name__ == '__main__':
    sys.exit(main())
