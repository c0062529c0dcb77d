"""Memory that the budget does not count is reported to operators."""

import random

import attrs
import pytest

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.resources import memory as memories
from bulrushcourse_entry import events
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge import settings as edge_settings
from bulrushcourse_entry.edge.reporting import memory_monitor
from bulrushcourse_entry.edge.reporting import metrics

VM_BYTES = 200 << 20
MIB = 1 << 20


@attrs.define
class Log:
    """Records events instead of writing them."""

    written: list = attrs.field(factory=list)

    def log_change(self, event, **fields):
        self.written.append((event, fields))


def make_monitor(resident):
    settings = edge_settings.EdgeSettings(
        'vm-1', 'r', 'd', 'h:1', 'h:2', memory_bytes=VM_BYTES
    )
    clock = clocks.ManualClock(100.0)
    state = process_state.build_state(settings, clock, random.Random(1))
    return memory_monitor.MemoryMonitor(state, Log(), lambda: resident)


def run(monitor, seconds):
    for _ in range(seconds * 4):
        monitor.check()
        monitor.state.clock.advance(0.25)


@pytest.mark.parametrize(
    ('used', 'uncounted', 'count'),
    [(0, 21, 2), (60, 21, 2), (0, 19, 0), (60, 19, 0)],
)
def test_excess_of_a_tenth_is_reported_once_a_minute(used, uncounted, count):
    # Guards against a budget that no longer tells the truth, and is noticed
    # when the process is killed.
    resident = memories.PROCESS_BYTES + (used + uncounted) * MIB
    monitor = make_monitor(resident)
    monitor.state.memory.try_take(memories.Use.REQUESTS, used * MIB)
    run(monitor, 90)
    assert [event for event, _ in monitor.event_log.written] == [
        events.Event.MEMORY_UNCOUNTED
    ] * count
    for _, fields in monitor.event_log.written:
        assert fields['uncounted_bytes'] == uncounted * MIB
        assert fields['requests_bytes'] == used * MIB


def test_memory_of_the_process_is_read_and_shown():
    # Guards against a figure that is always 0.
    budget = memories.MemoryBudget(1000)
    budget.try_take(memories.Use.PEERS, 50)
    shown = memory_monitor.dump(budget)
    assert shown['resident_bytes'] > MIB
    assert (shown['peers_bytes'], shown['total_bytes']) == (50, 1000)
    exported = metrics.Metrics()
    exported.add_memory(budget)
    text = exported.render().decode()
    assert 'bulrushcourse_memory_bytes{use="peers"} 50.0' in text
    assert 'bulrushcourse_memory_bytes{use="resident"}' in text
