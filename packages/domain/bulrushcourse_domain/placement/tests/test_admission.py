"""Requests that cannot be served in time are refused at once."""

import random

import pytest

from bulrushcourse_domain.placement import admission
from bulrushcourse_domain.placement import placement
from bulrushcourse_domain.placement import service_times
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_domain.upstreams import upstream as upstreams

ROUTE = routes.Route(
    'h', '/', (routes.WeightedService('s'),), objective_s=0.25
)
UPSTREAM = upstreams.Upstream('u', 's', 'a:1', 'd', 'r')
Verdict = admission.Verdict


def choice(completion_s, work_s, busy):
    return placement.Choice(
        UPSTREAM, completion_s, work_s, service_times.Affinity.NONE, busy
    )


@pytest.mark.parametrize(
    ('found', 'remaining_s', 'verdict'),
    [
        (None, 2.0, Verdict.NO_UPSTREAM),
        (choice(0.3, 0.3, 0), 2.0, Verdict.SEND),
        # Pattern: a queue that is longer than the caller will wait.
        (choice(1.9, 0.3, 9), 2.0, Verdict.TOO_LATE),
        # Pattern: a crowd that fills the queue of every upstream.
        (choice(0.9, 0.3, 9), 4.0, Verdict.FULL),
        # Pattern: a new route whose work was never measured.
        (choice(5.0, 5.0, 0), 1.0, Verdict.SEND),
    ],
)
def test_verdicts(found, remaining_s, verdict):
    assert admission.admit(found, ROUTE, 0.0, remaining_s) is verdict


def test_times_to_come_back_are_spread_and_leave_time():
    # Pattern: a crowd that is refused at one moment and returns at another.
    times = admission.RetryAfterSampler(random.Random(1))
    drawn = [times.sample(1.2) for _ in range(300)]
    assert max(drawn) <= 1.2 / 3
    assert min(drawn) > 0
    assert max(drawn) - min(drawn) > 0.2
