"""Reported outcomes of calls that were retried."""

import asyncio

import pytest
from returns import result

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.slots import requests
from bulrushcourse_entry.callers import forwarding
from bulrushcourse_entry.callers import problems
from bulrushcourse_entry.callers import request_parsing
from bulrushcourse_entry.upstreams import client

LOST, SHED = client.Failure.LOST, client.Failure.SHED
NOT_SENT = client.Failure.NOT_SENT
NO_SHARE = client.Failure.NO_SHARE
NO_SLOT = requests.RefusalReason.DEADLINE


class Script:
    """Stand-in for slots, regions and upstreams; fails in a given order."""

    def __init__(self, steps):
        self.steps = list(steps)

    def choose(self, service, request_class):
        return 'r'

    async def admit(self, target, priority, deadline):
        if self.steps[0] is NO_SHARE:
            self.steps.pop(0)
            return False, None
        return True, None

    def record_outcome(self, *details):
        pass

    async def acquire(self, service, region, request):
        if self.steps[0] is NO_SLOT:
            refusal = requests.Refusal(request.request_id, 'e', NO_SLOT)
            return result.Failure(refusal)
        return result.Success(requests.Grant(request.request_id, 'e', 'i'))

    def release(self, *details):
        pass

    async def send(self, instance, request, not_run_header):
        return result.Failure(self.steps.pop(0))


@pytest.mark.parametrize(
    ('steps', 'outcome'),
    [
        ([SHED, NOT_SENT, SHED], problems.Outcome.NOT_RUN),
        ([SHED, NO_SLOT], problems.Outcome.NOT_RUN),
        ([NO_SHARE, SHED, NO_SHARE], problems.Outcome.NOT_RUN),
        ([LOST, NO_SHARE, NO_SHARE], problems.Outcome.UNKNOWN),
        ([LOST, SHED, SHED], problems.Outcome.UNKNOWN),
        ([LOST, NO_SLOT], problems.Outcome.UNKNOWN),
        ([SHED, LOST, NOT_SENT], problems.Outcome.UNKNOWN),
    ],
)
def test_not_run_is_reported_only_if_no_attempt_may_have_run(steps, outcome):
    """Guards against ``not-run`` when an earlier attempt may have run.

    The last attempt proves nothing about earlier ones.
    """
    script = Script(steps)
    forwarder = forwarding.Forwarder(
        'e', clocks.ManualClock(), script, script, script, script
    )
    instance = objects.Instance('i', 'p', '127.0.0.1:1')
    forwarder.instances = {'i': instance}
    forwarder.priorities = {'short': 1}
    # Enough retry tokens to reach every step of the script.
    forwarder.budgets['s'].tokens = len(steps)
    forwarder.priorities = {'short': 1}
    service = objects.Service('s', 'pool', 'short', idempotent=True)
    pool = objects.Pool('pool', 1, 10, (instance,))
    call = request_parsing.Call(
        'r', service, pool, 'short', 5.0, 'GET', '/', {}, b'', None, '', ''
    )
    failed = asyncio.run(forwarder.forward(call)).failure()
    assert failed.outcome is outcome
