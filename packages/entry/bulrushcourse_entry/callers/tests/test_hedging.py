"""Guards against hedges that leak slots, lose answers or run unsafe work."""

import asyncio

import attrs
import pytest
from returns import result

from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.retries import budget as retry_budget
from bulrushcourse_domain.retries import hedging as hedge_policy
from bulrushcourse_domain.slots import requests
from bulrushcourse_entry.callers import attempts
from bulrushcourse_entry.callers import hedging
from bulrushcourse_entry.callers import request_parsing
from bulrushcourse_entry.upstreams import client

CANCELLED = requests.ReleaseOutcome.CANCELLED


class Answer:
    closed = False

    def close(self):
        self.closed = True


@attrs.define(eq=False)
class Sender:
    """Stand-in that answers, fails or hangs, by the instance's name."""

    outcomes: list = attrs.field(factory=list)
    sent: list = attrs.field(factory=list)
    resume: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def acquire(self, call, number, avoid, hedged=''):
        assert avoid == (hedged,)
        return result.Success(self.grant('second'))

    def grant(self, instance):
        def release(outcome):
            self.outcomes.append((instance, outcome))

        return attempts.GrantedSlot('r', instance, release)

    async def send(self, call, slot):
        self.sent.append(slot.instance)
        try:
            if slot.instance == 'hangs':
                await self.resume.wait()
        except asyncio.CancelledError:
            slot.release(CANCELLED)
            raise
        if slot.instance == 'fails':
            return attempts.Attempt(failure=client.Failure.LOST)
        exchange = attempts.Exchange(Answer(), slot.release, lambda: 1.0)
        return attempts.Attempt(exchange, instance=slot.instance)


def make_call(idempotent=True):
    service = objects.Service('s', 'pool', 'short', idempotent)
    pool = objects.Pool('pool', 1, 10, ())
    return request_parsing.Call(
        'r', service, pool, 'short', 5.0, 'GET', '/', {}, b'', None, '', ''
    )


def race(instance, call, tokens=5.0):
    async def run():
        sender = Sender()
        hedger = hedging.Hedger(sender)
        policy = hedge_policy.HedgePolicy()
        for _ in range(hedge_policy.MIN_SAMPLES):
            policy.observe('short', 0.001)
        hedger.policies['s'] = policy
        budget = retry_budget.RetryBudget(tokens=tokens)
        sending = asyncio.create_task(
            hedger.send(call, sender.grant(instance), budget)
        )
        await asyncio.wait({sending}, timeout=0.5)
        sender.resume.set()
        attempt = await sending
        for _ in range(3):
            await asyncio.sleep(0)
        return sender, attempt

    return asyncio.run(run())


def test_hedge_answers_for_a_primary_request_that_hangs():
    sender, attempt = race('hangs', make_call())
    assert attempt.instance == 'second'
    assert not attempt.exchange.answer.closed
    assert sender.outcomes == [('hangs', CANCELLED)]


@pytest.mark.parametrize(
    ('instance', 'call', 'tokens'),
    [
        ('answers', make_call(), 5.0),
        ('hangs', make_call(idempotent=False), 5.0),
        ('hangs', make_call(), 0.0),
        ('fails', make_call(), 5.0),
    ],
)
def test_no_hedge_if_fast_unsafe_failed_or_over_budget(instance, call, tokens):
    sender, attempt = race(instance, call, tokens)
    assert sender.sent == [instance]
    assert (attempt.failure is None) == (instance != 'fails')
