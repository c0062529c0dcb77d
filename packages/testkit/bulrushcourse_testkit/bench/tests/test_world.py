"""Tests of the simulated upstream instances."""

import pytest

from bulrushcourse_testkit.bench import workload
from bulrushcourse_testkit.bench import world as worlds

SLOWDOWNS = [workload.Slowdown(0, 1.0, 2.5)]


@pytest.mark.parametrize(
    ('start', 'work_s', 'end'),
    [
        (0.0, 0.5, 0.5),
        (0.5, 0.6, 1.6),
        (1.0, 0.3, 2.55),
        (2.5, 0.1, 2.6),
    ],
)
def test_work_takes_longer_only_during_a_slowdown(start, work_s, end):
    """Guards against slowdowns that affect work outside of their period."""
    upstream = worlds.Upstream(5, SLOWDOWNS)
    assert upstream.completion_time(start, work_s) == pytest.approx(end)


def test_instance_runs_no_more_calls_than_slots():
    """Guards against simulated instances that exceed their slots."""
    site = workload.Site('a', 1, 2, 0.001)
    world = worlds.World(site, [worlds.Upstream(2, [])])
    ended = []
    for _ in range(3):
        world.send(0, 0.1, lambda: ended.append(world.clock.now))
    world.run()
    assert ended == pytest.approx([0.102, 0.102, 0.202])
    assert world.arrivals_full == 1
