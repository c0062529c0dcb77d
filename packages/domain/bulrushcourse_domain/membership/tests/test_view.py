"""Tests of the membership view: states and look-up candidates."""

import hypothesis
import pytest
from hypothesis import strategies

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.membership import member
from bulrushcourse_domain.membership import view


def info(name, **fields):
    return member.MemberInfo(name, f'{name}1', f'vm-{name}', 'north', **fields)


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def member_view(clock):
    return view.MemberView(clock, info('a'))


def names(member_view):
    return [candidate.entry for candidate in member_view.lookup_candidates()]


def test_dead_entry_is_dropped_within_two_seconds(clock, member_view):
    """Guards against callers that are sent to an entry that died."""
    member_view.record_heartbeat(info('b'))
    for _ in range(7):
        clock.advance(0.25)
        member_view.record_heartbeat(info('c'))
        member_view.sweep()
    assert names(member_view) == ['a', 'c']


@pytest.mark.parametrize('by_list', [True, False])
def test_leaving_entry_is_dropped_immediately(member_view, by_list):
    """Guards against look-ups that name an entry before a planned stop."""
    member_view.record_heartbeat(info('b'))
    if by_list:
        member_view.update_vm_list(
            [member.ListedVm('vm-b', 'b', leaving=True)]
        )
    else:
        member_view.record_heartbeat(info('b', state='leaving'))
    assert names(member_view) == ['a']


def test_isolated_entry_names_others_instead_of_itself(clock, member_view):
    """Guards against an isolated entry that keeps its callers."""
    member_view.record_heartbeat(info('b'))
    clock.advance(view.ISOLATED_AFTER_S - 0.01)
    assert names(member_view) == ['a']
    clock.advance(0.01)
    assert member_view.is_isolated
    assert names(member_view) == ['b']


def test_store_contact_prevents_isolation(clock, member_view):
    """Guards against isolation of an entry that can read the store."""
    member_view.record_heartbeat(info('b'))
    clock.advance(view.ISOLATED_AFTER_S - 1)
    member_view.record_store_contact()
    clock.advance(view.ISOLATED_AFTER_S - 1)
    assert not member_view.is_isolated


def test_late_heartbeat_of_a_replaced_incarnation_is_dropped(member_view):
    """Guards against a delayed heartbeat that revives an ended process."""
    member_view.record_heartbeat(info('b'))
    member_view.record_heartbeat(
        member.MemberInfo('b', 'b2', 'vm-b', 'north', address='new')
    )
    member_view.record_heartbeat(info('b', address='old'))
    assert [
        candidate.address
        for candidate in member_view.lookup_candidates()
        if candidate.entry == 'b'
    ] == ['new']


def test_replacement_vm_is_named_without_flapping(member_view):
    """Guards against answers that alternate between two VMs of an entry."""
    member_view.record_heartbeat(info('b'))
    member_view.record_heartbeat(
        member.MemberInfo('b', 'b2', 'vm-b2', 'north')
    )
    member_view.record_heartbeat(info('b'))
    assert [
        candidate.incarnation for candidate in member_view.lookup_candidates()
    ] == [
        'a1',
        'b2',
    ]


def test_silent_member_is_gone_only_by_a_newer_list(clock, member_view):
    """Guards against removal by a list that predates a new VM."""
    member_view.update_vm_list([])
    member_view.record_heartbeat(info('b'))
    clock.advance(view.SUSPECT_AFTER_S)
    assert [m.state for m in member_view.sweep()] == [
        member.MemberState.SUSPECTED
    ]
    member_view.update_vm_list([])
    assert [m.state for m in member_view.sweep()] == [member.MemberState.GONE]


def test_silent_vms_are_live_vms_only(clock, member_view):
    """Guards against a starting entry that waits for leaving VMs."""
    member_view.update_vm_list(
        member.ListedVm(f'vm-{name}', name, name == 'd') for name in 'abcd'
    )
    member_view.record_heartbeat(info('b'))
    assert member_view.silent_vms() == {'vm-c'}


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from('bcd'),
            strategies.sampled_from(['serving', 'leaving', 'starting']),
            strategies.floats(0, 2),
        ),
        max_size=30,
    )
)
@hypothesis.settings(derandomize=True, max_examples=200)
def test_candidates_are_exactly_the_recent_serving_entries(events):
    """Guards against dead or leaving entries after any heartbeat order."""
    clock = clocks.ManualClock()
    member_view = view.MemberView(clock, info('a'))
    last = {}
    for name, state, pause in events:
        clock.advance(pause)
        member_view.record_heartbeat(info(name, state=state))
        member_view.sweep()
        last[name] = (state, clock.now)
    expected = {
        name
        for name, (state, at) in last.items()
        if state == 'serving' and clock.now - at < view.SUSPECT_AFTER_S
    }
    assert set(names(member_view)) == expected | {'a'}
