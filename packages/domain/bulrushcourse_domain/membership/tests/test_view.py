"""Tests of the membership view."""

import hypothesis
import pytest
from hypothesis import strategies

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.membership import member
from bulrushcourse_domain.membership import view


def sighting(name, **fields):
    return member.Sighting(name, f'{name}1', f'vm-{name}', 'north', **fields)


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def members(clock):
    return view.MemberView(clock, sighting('a'))


def names(members):
    return [run.entry for run in members.named()]


def test_dead_entry_leaves_answers_within_two_seconds(clock, members):
    """Callers must not be sent to an entry that died."""
    members.hear(sighting('b'))
    for _ in range(7):
        clock.advance(0.25)
        members.hear(sighting('c'))
        members.sweep()
    assert names(members) == ['a', 'c']


@pytest.mark.parametrize('by_list', [True, False])
def test_leaving_entry_leaves_answers_at_once(members, by_list):
    """A planned stop must get no new callers from a look-up."""
    members.hear(sighting('b'))
    if by_list:
        members.list_vms([member.ListedVm('vm-b', 'b', leaving=True)])
    else:
        members.hear(sighting('b', state='leaving'))
    assert names(members) == ['a']


def test_isolated_entry_names_others_instead_of_itself(clock, members):
    """An entry that no peer hears must not keep callers to itself."""
    members.hear(sighting('b'))
    clock.advance(view.ISOLATED_AFTER_S - 0.01)
    assert names(members) == ['a']
    clock.advance(0.01)
    assert members.isolated
    assert names(members) == ['b']


def test_store_contact_prevents_isolation(clock, members):
    """An entry that reads the store can serve the newest configuration."""
    members.hear(sighting('b'))
    clock.advance(view.ISOLATED_AFTER_S - 1)
    members.reach_store()
    clock.advance(view.ISOLATED_AFTER_S - 1)
    assert not members.isolated


def test_late_heartbeat_of_a_replaced_run_is_dropped(members):
    """A delayed heartbeat must not revive the process before a restart."""
    members.hear(sighting('b'))
    members.hear(member.Sighting('b', 'b2', 'vm-b', 'north', address='new'))
    members.hear(sighting('b', address='old'))
    assert [run.address for run in members.named() if run.entry == 'b'] == [
        'new'
    ]


def test_replacement_vm_takes_the_seat_without_flapping(members):
    """Answers must not alternate while two VMs of a seat are alive."""
    members.hear(sighting('b'))
    members.hear(member.Sighting('b', 'b2', 'vm-b2', 'north'))
    members.hear(sighting('b'))
    assert [run.incarnation for run in members.named()] == ['a1', 'b2']


def test_silent_member_is_gone_only_by_a_newer_list(clock, members):
    """A list older than the heartbeat may lack a VM that is just created."""
    members.list_vms([])
    members.hear(sighting('b'))
    clock.advance(view.SUSPECT_AFTER_S)
    assert [m.state for m in members.sweep()] == [member.MemberState.SUSPECTED]
    members.list_vms([])
    assert [m.state for m in members.sweep()] == [member.MemberState.GONE]


def test_unheard_counts_live_vms_only(clock, members):
    """A starting entry waits for live VMs, not for leaving ones."""
    members.list_vms(
        member.ListedVm(f'vm-{name}', name, name == 'd') for name in 'abcd'
    )
    members.hear(sighting('b'))
    assert members.unheard() == {'vm-c'}


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
    members = view.MemberView(clock, sighting('a'))
    last = {}
    for name, state, pause in events:
        clock.advance(pause)
        members.hear(sighting(name, state=state))
        members.sweep()
        last[name] = (state, clock.now)
    expected = {
        name
        for name, (state, at) in last.items()
        if state == 'serving' and clock.now - at < view.SUSPECT_AFTER_S
    }
    assert set(names(members)) == expected | {'a'}
