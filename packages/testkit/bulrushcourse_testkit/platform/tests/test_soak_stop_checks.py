"""The soak's check of planned stops finds lost requests, and only these."""

import asyncio
import itertools
import random
import types

import attrs
import pytest

from bulrushcourse_testkit.platform import soak_callers
from bulrushcourse_testkit.platform import soak_history
from bulrushcourse_testkit.platform import soak_observations
from bulrushcourse_testkit.platform import soak_stop_checks

TERM, EXIT = 100.0, 103.5
STOP = soak_history.Stop('vm-0', TERM, EXIT, False)
# A request that was sent 2.97 s after SIGTERM and cut 3.2 s after it.
SENT = soak_observations.SentRequest(
    request_id='k1',
    vm='vm-0',
    incarnation=1,
    path='/order/x',
    prefix='/order/',
    account='anywhere',
    repeatable=False,
    sent_at=TERM + 2.97,
    ended_at=TERM + 3.2,
    status=0,
    whole_at=TERM + 2.98,
    is_cut=True,
    deadline_s=6.0,
)
ARRIVAL = soak_observations.ReceivedRequest(
    request_id='k1',
    upstream='u1',
    address='127.0.0.1:1',
    service='orders',
    failure_domain='a1',
    region='a',
    received_at=TERM + 3.0,
    expected='u1',
    ran=True,
    work_s=0.3,
)


def causes(sent, received=(), stops=(STOP,), held=()):
    history = soak_history.History(stops=list(stops), held=list(held))
    observed = soak_observations.Observations([sent], received, history)
    return [
        (finding.rule, finding.cause)
        for finding in soak_stop_checks.loss_violations(observed)
    ]


def test_request_that_was_passed_on_and_cut_is_lost():
    # Guards against an excuse by the time of the cut, which the rule lacks
    # for requests that reached an upstream.
    sent = attrs.evolve(SENT, whole_at=TERM + 3.19)
    assert causes(sent, [ARRIVAL]) == [('LOST', 'passed on, once only')]


@pytest.mark.parametrize(
    ('waited_s', 'held_s', 'is_lost'),
    [(0.19, 0.0, False), (0.21, 0.0, True), (0.4, 0.25, False)],
)
def test_request_that_was_not_passed_on_is_lost_after_the_slack(
    waited_s, held_s, is_lost
):
    # Guards against findings for requests that cross the close, and against
    # an excuse beyond the time for which the process was held.
    sent = attrs.evolve(SENT, ended_at=SENT.whole_at + waited_s)
    holds = [
        soak_history.Disruption(vm, SENT.whole_at, SENT.whole_at + s)
        for vm, s in (('vm-0', held_s), ('vm-1', 3.0))
    ]
    lost = [('LOST', 'not passed on, late, once only')]
    assert causes(sent, held=holds) == (lost if is_lost else [])


def test_request_that_was_sent_in_part_is_not_lost():
    # Guards against findings for bodies that were never whole.
    assert causes(attrs.evolve(SENT, whole_at=0.0), [ARRIVAL]) == []


@pytest.mark.parametrize('status', [200, 503])
def test_complete_answer_and_refusal_are_not_lost(status):
    # Guards against a check that counts refusals as lost.
    sent = attrs.evolve(SENT, is_cut=False, status=status)
    received = [ARRIVAL] if status == 200 else []
    assert causes(attrs.evolve(sent, signed=True), received) == []


@pytest.mark.parametrize(
    ('status', 'work_s', 'deadline_s', 'is_lost'),
    [
        (502, 0.3, 6.0, True),
        (503, 0.3, 6.0, True),
        (502, 0.1, 6.0, False),
        (504, 0.3, 0.25, False),
    ],
)
def test_answer_in_place_of_an_upstream_at_work_is_lost(
    status, work_s, deadline_s, is_lost
):
    # Guards against stops that break off runs and answer for them.
    sent = attrs.evolve(
        SENT, is_cut=False, status=status, deadline_s=deadline_s
    )
    lost = [('LOST', f'at work, answered {status}, once only')]
    received = [attrs.evolve(ARRIVAL, work_s=work_s)]
    assert causes(sent, received) == (lost if is_lost else [])


@pytest.mark.parametrize(
    ('sent_s', 'ended_s', 'deadline_s', 'is_lost'),
    [
        (2.9, 5.1, 6.0, False),
        (3.1, 5.05, 6.0, True),
        (2.99, 4.9, 6.0, True),
        (0.5, 2.6, 6.0, False),
        (2.9, 3.25, 0.3, False),
    ],
)
def test_end_of_the_grace_time_and_of_the_request_excuse(
    sent_s, ended_s, deadline_s, is_lost
):
    # Guards against an excuse for all requests late in a stop: only those
    # that were sent in time, or whose own time is over, have one.
    sent = attrs.evolve(
        SENT,
        sent_at=TERM + sent_s,
        whole_at=TERM + sent_s,
        ended_at=TERM + ended_s,
        deadline_s=deadline_s,
    )
    stop = attrs.evolve(STOP, exited_at=TERM + 6.0)
    assert bool(causes(sent, [ARRIVAL], [stop])) is is_lost


def test_cut_at_another_time_or_vm_is_no_finding_of_a_stop():
    # Guards against findings about VMs that don't stop.
    for changes in ({'vm': 'vm-1'}, {'term_at': 110.0, 'exited_at': 113.0}):
        assert causes(SENT, [ARRIVAL], [attrs.evolve(STOP, **changes)]) == []


@pytest.mark.parametrize(('closes', 'is_cut'), [(True, True), (False, False)])
def test_caller_tells_a_cut_connection_from_giving_up(
    closes, is_cut, monkeypatch
):
    # Guards against a soak that sees no lost request: a caller that gives up
    # is no cut, and a connection that ends without an answer is one.
    monkeypatch.setattr(soak_callers, 'PATIENCE_S', 0.0)
    monkeypatch.setattr(soak_callers, 'DEADLINES_MS', (200,))

    async def serve(reader, writer):
        await reader.read(1)
        if not closes:
            await reader.read()
        writer.close()

    async def send():
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        listen = {'front': f'{host}:{port}'}
        vm = types.SimpleNamespace(
            vm=types.SimpleNamespace(name='vm-0', listen=listen),
            incarnation=1,
        )
        caller = soak_callers.KeptCaller(
            random.Random(1), [vm], None, itertools.count(), []
        )
        await caller.send_home_request()
        server.close()
        return caller.sent

    (sent,) = asyncio.run(asyncio.wait_for(send(), 10))
    assert (sent.is_cut, sent.status) == (is_cut, 0)
    if is_cut:
        assert sent.ended_at >= sent.sent_at
