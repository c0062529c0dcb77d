"""CPU time of a pool's decisions at the current and at the largest size."""

import time

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.slots import pool as pools
from bulrushcourse_domain.slots import requests

ROUNDS = 10_000
DONE = requests.ReleaseOutcome.DONE


def mean_round_us(instances: int, slots: int, queued: int) -> float:
    """Return the mean CPU time of a round of decisions, in microseconds.

    A round adds two requests, cancels one and releases a slot, which grants
    another one, so that the queue keeps its length.
    """
    clock = clocks.ManualClock()
    classes = {'short': objects.RequestClass('short', 1, 60_000)}
    pool = pools.SlotPool(clock, classes)
    pool.set_instances({str(number): slots for number in range(instances)})
    running: list[str] = []

    def request_slot(number: int) -> None:
        request = requests.SlotRequest(
            f'r{number}', 'e', 'short', 60.0 + number
        )
        running.extend(d.request_id for d in pool.request(request))

    filled = instances * slots + queued
    for number in range(filled):
        request_slot(number)
    start = time.process_time()
    for number in range(filled, filled + 2 * ROUNDS, 2):
        clock.advance(0.000_5)
        request_slot(number)
        request_slot(number + 1)
        pool.cancel(f'r{number + 1}')
        decisions = pool.release(running.pop(0), DONE, 0.02)
        running.extend(decision.request_id for decision in decisions)
    return 1e6 * (time.process_time() - start) / ROUNDS


def main() -> None:
    """Print the times per round and their ratio."""
    small, large = mean_round_us(16, 5, 10), mean_round_us(100, 5, 1_900)
    print(f'16 instances, 10 queued: {small:.0f} us per round')
    print(f'100 instances, 1,900 queued: {large:.0f} us per round')
    print(f'ratio {large / small:.2f}')


if __name__ == '__main__':
    main()
