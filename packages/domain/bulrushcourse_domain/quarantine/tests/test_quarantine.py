"""Guards against one request that crashes one instance after another."""

import itertools

import hypothesis
import pytest
from hypothesis import strategies

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.quarantine import losses
from bulrushcourse_domain.quarantine import quarantine as quarantines
from bulrushcourse_domain.slots import requests

DONE = requests.ReleaseOutcome.DONE
LOST = requests.ReleaseOutcome.LOST
RUN = quarantines.Admission.RUN
SETTINGS = hypothesis.settings(derandomize=True, database=None, deadline=None)


def new_quarantine():
    return quarantines.Quarantine(clocks.ManualClock(1000.0))


@SETTINGS
@hypothesis.given(
    repeatable=strategies.booleans(),
    events=strategies.lists(strategies.integers(-3, 3), max_size=60),
)
def test_losses_stay_within_limit_in_any_order(repeatable, events):
    """Arrivals and crashes of one request, interleaved in any order.

    A non-negative event is an arrival, a negative one a crash.
    """
    quarantine = new_quarantine()
    running, lost = [], 0
    for number, event in enumerate(events):
        if event >= 0:
            if quarantine.admit('f', f'r{number}', repeatable) is RUN:
                running.append(f'r{number}')
        elif running:
            run = running.pop(event % len(running))
            quarantine.finish('f', run, 'i', LOST)
            lost += 1
    assert lost + len(running) <= (2 if repeatable else 1)


@SETTINGS
@hypothesis.given(arrivals=strategies.lists(strategies.integers(0, 9)))
def test_losses_stay_within_limit_through_all_entries(arrivals):
    """The request arrives at ten entries that send each other updates."""
    entries = [new_quarantine() for _ in range(10)]
    lost = 0
    for number, index in enumerate(arrivals):
        admission = entries[index].admit('f', f'r{number}', True)
        if admission is RUN:
            lost += 1
            update = entries[index].finish('f', f'r{number}', 'i', LOST)
            for entry in entries:
                entry.merge(update)
    assert lost == min(2, len(arrivals))


UPDATES = [
    losses.Loss('f', 'r1', 'i1', 2000.0, True),
    losses.Loss('f', 'r2', 'i2', 2000.0, True),
    losses.Loss('g', 'r3', 'i1', 2000.0, False),
    losses.LossClearance('f', frozenset(('r1',)), 3000.0),
    losses.LossClearance('f', frozenset(('r1',)), 4000.0),
]


def test_merging_ignores_order_and_repetition():
    expected = None
    for order in itertools.permutations(UPDATES):
        quarantine = new_quarantine()
        for update in (*order, *order[:2]):
            quarantine.merge(update)
        state = quarantine.losses_by_fingerprint, quarantine.cleared
        expected = expected or state
        assert state == expected


@pytest.mark.parametrize(('repeatable', 'limit'), [(True, 2), (False, 1)])
def test_quarantine_ends_after_ten_minutes(repeatable, limit):
    quarantine = new_quarantine()
    for number in range(limit):
        assert quarantine.admit('f', str(number), repeatable) is RUN
        quarantine.finish('f', str(number), 'i', LOST)
    refused = quarantines.Admission.REFUSE
    quarantine.clock.advance(quarantines.QUARANTINE_S - 1)
    assert quarantine.admit('f', 'x', repeatable) is refused
    quarantine.clock.advance(2)
    assert quarantine.admit('f', 'x', repeatable) is RUN


def test_suspected_request_runs_one_at_a_time():
    quarantine = new_quarantine()
    quarantine.admit('f', 'a', True)
    quarantine.finish('f', 'a', 'i', LOST)
    assert quarantine.admit('f', 'b', True) is RUN
    assert quarantine.admit('f', 'c', True) is quarantines.Admission.WAIT


def test_response_clears_suspected_request():
    """A crash for other reasons must not quarantine a harmless request."""
    quarantine = new_quarantine()
    quarantine.admit('f', 'a', True)
    quarantine.finish('f', 'a', 'i', LOST)
    quarantine.admit('f', 'b', True)
    update = quarantine.finish('f', 'b', 'i', DONE)
    assert update.loss_ids == {'a'}
    assert not quarantine.counted_losses('f')


def test_outage_does_not_quarantine_popular_request():
    """Many runs of a proven request are lost at the same time."""
    quarantine = new_quarantine()
    quarantine.admit('f', 'a', True)
    quarantine.finish('f', 'a', 'i', DONE)
    for number in range(20):
        assert quarantine.admit('f', str(number), True) is RUN
    for number in range(20):
        quarantine.finish('f', str(number), 'i', LOST)
    assert not quarantine.is_quarantined('f', True)
    assert quarantine.admit('f', 'b', True) is RUN


def test_expired_updates_are_discarded():
    quarantine = new_quarantine()
    for update in UPDATES:
        quarantine.merge(update)
    quarantine.clock.advance(4000)
    quarantine.remove_expired()
    assert not quarantine.losses_by_fingerprint
    assert not quarantine.cleared
