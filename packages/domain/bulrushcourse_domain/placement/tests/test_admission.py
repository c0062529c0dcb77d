"""Requests that cannot be served in time are refused immediately."""

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


def choice(completion_s, work_s, queued):
    return placement.Choice(
        UPSTREAM, completion_s, work_s, service_times.Affinity.NONE, queued
    )


@pytest.mark.parametrize(
    ('candidate', 'remaining_s', 'verdict'),
    [
        (None, 2.0, Verdict.NO_UPSTREAM),
        (choice(0.3, 0.3, 0), 2.0, Verdict.SEND),
        # The queue takes longer than the caller will wait.
        (choice(1.9, 0.3, 9), 2.0, Verdict.TOO_LATE),
        # A burst of requests has filled the queue of every upstream.
        (choice(0.9, 0.3, 9), 4.0, Verdict.FULL),
        # A new route, whose service time is not measured yet.
        (choice(5.0, 5.0, 0), 1.0, Verdict.SEND),
    ],
)
def test_verdicts(candidate, remaining_s, verdict):
    assert admission.admit(candidate, ROUTE, 0.0, remaining_s) is verdict


def test_retry_after_delays_are_spread_and_leave_time_for_the_retry():
    # Guards against clients that are refused together and retry together.
    sampler = admission.RetryAfterSampler(random.Random(1))
    delays_s = [sampler.sample(1.2) for _ in range(300)]
    assert max(delays_s) <= 1.2 / 3
    assert min(delays_s) > 0
    assert max(delays_s) - min(delays_s) > 0.2
