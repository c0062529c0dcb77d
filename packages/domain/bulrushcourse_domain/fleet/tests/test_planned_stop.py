"""Requests that a VM begins during its planned stop."""

import hypothesis
import pytest
from hypothesis import strategies

from bulrushcourse_domain.fleet import planned_stop

# The users' rules excuse requests that are cut off in the last sixth of the
# time limit if they were sent within this time after the stop began.
EXCUSED_S = 3.0
EXCUSED_SHARE = 5 / 6


@hypothesis.given(
    limit_s=strategies.floats(1.0, 60.0),
    waited_s=strategies.floats(0.0, 60.0),
    remaining_s=strategies.floats(0.0, 60.0),
)
def test_request_that_may_be_cut_off_is_begun_early_only(
    limit_s, waited_s, remaining_s
):
    # Guards against a share of the time limit that grows beyond the time in
    # which callers may still send requests that outlast the stop.
    stop = planned_stop.PlannedStop(100.0, limit_s)
    now = 100.0 + waited_s
    deadline = now + remaining_s
    is_begun = stop.may_begin(now, deadline)
    if is_begun and deadline > stop.finish_until:
        assert waited_s <= EXCUSED_S
    if deadline < stop.finish_until:
        assert is_begun


@pytest.mark.parametrize('limit_s', [2.0, 6.0, 10.0, 60.0])
def test_requests_are_cut_off_in_the_excused_time_only(limit_s):
    # Guards against a stop that cuts requests off sooner than it has to.
    stop = planned_stop.PlannedStop(0.0, limit_s)
    assert limit_s * EXCUSED_SHARE < stop.finish_until < limit_s
    assert stop.accept_until < stop.finish_until
