"""Guards against bursts above a share, and against shares left unused."""

import hypothesis
import pytest
from hypothesis import strategies

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.limits import rate_window

SETTINGS = hypothesis.settings(derandomize=True, deadline=None)


@SETTINGS
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from([0.0, 0.001, 0.004, 0.3, 0.9]),
            strategies.integers(1, 60),
        ),
        max_size=60,
    )
)
def test_no_second_exceeds_share(steps):
    clock = clocks.ManualClock()
    window = rate_window.RateWindow(clock)
    sent = []
    for delay, amount in steps:
        clock.advance(delay)
        if window.try_charge(amount, 100):
            sent.append((clock.now, amount))
    for start, _ in sent:
        total = sum(a for t, a in sent if start <= t < start + 1.0)
        assert total <= 100


@pytest.mark.parametrize(
    ('window_s', 'amount', 'share'),
    [
        (rate_window.BYTES_WINDOW_S, 16_384, 1_944_444),
        (rate_window.REQUESTS_WINDOW_S, 1, 7),
    ],
)
def test_greedy_sender_uses_at_least_90_percent(window_s, amount, share):
    clock = clocks.ManualClock()
    window = rate_window.RateWindow(clock, window_s)
    sent = 0
    while clock.now < 60:
        if window.try_charge(amount, share):
            sent += amount
        else:
            clock.advance(window.wait_s(amount, share))
    assert sent >= 0.9 * share * 60


def test_lowered_share_waits_for_window():
    """Guards against a lowered share that ignores earlier charges."""
    clock = clocks.ManualClock()
    window = rate_window.RateWindow(clock)
    assert window.try_charge(10, 10)
    assert not window.try_charge(1, 5)
    wait = window.wait_s(1, 5)
    assert wait == pytest.approx(rate_window.BYTES_WINDOW_S, abs=1e-5)
    assert window.wait_s(6, 5) == float('inf')
