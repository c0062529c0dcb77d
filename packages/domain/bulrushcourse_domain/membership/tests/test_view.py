"""Tests of the membership view."""

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
def members(clock):
    return view.MemberView(clock, info('a'))


def names(members):
    return [run.entry for run in members.lookup_candidates()]


def test_dead_entry_leaves_answers_within_two_seconds(clock, members):
    """Callers must not be sent to an entry that died."""
    members.record_heartbeat(info('b'))
    for _ in range(7):
        clock.advance(0.25)
        members.record_heartbeat(info('c'))
        members.sweep()
    assert names(members) == ['a', 'c']


@pytest.mark.parametrize('by_list', [True, False])
def test_leaving_entry_leaves_answers_at_once(members, by_list):
    """A planned stop must get no new callers from a look-up."""
    members.record_heartbeat(info('b'))
    if by_list:
        members.update_vm_list([member.ListedVm('vm-b', 'b', leaving=True)])
    else:
        members.record_heartbeat(info('b', state='leaving'))
    assert names(members) == ['a']


def test_isolated_entry_names_others_instead_of_itself(clock, members):
    """An entry that no peer hears must not keep callers to itself."""
    members.record_heartbeat(info('b'))
    clock.advance(view.ISOLATED_AFTER_S - 0.01)
    assert names(members) == ['a']
    clock.advance(0.01)
    assert members.is_isolated
    assert names(members) == ['b']


def test_store_contact_prevents_isolation(clock, members):
    """An entry that reads the store can serve the newest configuration."""
    members.record_heartbeat(info('b'))
    clock.advance(view.ISOLATED_AFTER_S - 1)
    members.record_store_contact()
    clock.advance(view.ISOLATED_AFTER_S - 1)
    assert not members.is_isolated


def test_late_heartbeat_of_a_replaced_run_is_dropped(members):
    """A delayed heartbeat must not revive the process before a restart."""
    members.record_heartbeat(info('b'))
    members.record_heartbeat(
        member.MemberInfo('b', 'b2', 'vm-b', 'north', address='new')
    )
    members.record_heartbeat(info('b', address='old'))
    assert [
        run.address for run in members.lookup_candidates() if run.entry == 'b'
    ] == ['new']


def test_replacement_vm_takes_the_seat_without_flapping(members):
    """Answers must not alternate while two VMs of a seat are alive."""
    members.record_heartbeat(info('b'))
    members.record_heartbeat(member.MemberInfo('b', 'b2', 'vm-b2', 'north'))
    members.record_heartbeat(info('b'))
    assert [run.incarnation for run in members.lookup_candidates()] == [
        'a1',
        'b2',
    ]


def test_silent_member_is_gone_only_by_a_newer_list(clock, members):
    """A list older than the heartbeat may lack a VM that is just created."""
    members.update_vm_list([])
    members.record_heartbeat(info('b'))
    clock.advance(view.SUSPECT_AFTER_S)
    assert [m.state for m in members.sweep()] == [member.MemberState.SUSPECTED]
    members.update_vm_list([])
    assert [m.state for m in members.sweep()] == [member.MemberState.GONE]


def test_unheard_counts_live_vms_only(clock, members):
    """A starting entry waits for live VMs, not for leaving ones."""
    members.update_vm_list(
        member.ListedVm(f'vm-{name}', name, name == 'd') for name in 'abcd'
    )
    members.record_heartbeat(info('b'))
    assert members.silent_vms() == {'vm-c'}


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
def test_named_are_exactly_the_recent_serving_entries(events):
    """No order of heartbeats may keep a dead or leaving entry in answers."""
    clock = clocks.ManualClock()
    members = view.MemberView(clock, info('a'))
    last = {}
    for name, state, pause in events:
        clock.advance(pause)
        members.record_heartbeat(info(name, state=state))
        members.sweep()
        last[name] = (state, clock.now)
    expected = {
        name
        for name, (state, at) in last.items()
        if state == 'serving' and clock.now - at < view.SUSPECT_AFTER_S
    }
    assert set(names(members)) == expected | {'a'}
