"""VMs know which of them serve, and name only those."""

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.fleet import fleet


def make(name, region='a', incarnation=1):
    return fleet.Vm(name, incarnation, f'{name}:1', f'{name}:2', region, 'd')


def ready_fleet(*others):
    known = fleet.Fleet(clocks.ManualClock(), make('me'))
    known.phase = fleet.Phase.READY
    for vm in others:
        known.record_heartbeat(vm, fleet.Phase.READY)
    return known


def test_silent_starting_and_leaving_vms_are_not_named():
    known = ready_fleet(make('b'))
    known.record_heartbeat(make('c'), fleet.Phase.STARTING)
    known.record_heartbeat(make('d'), fleet.Phase.LEAVING)
    assert {vm.name for vm in known.serving()} == {'me', 'b'}
    known.clock.advance(fleet.SILENT_S + 0.1)
    assert {vm.name for vm in known.serving()} == {'me'}


def test_restarted_vm_replaces_its_former_incarnation():
    # Guards against late reports of a process that has ended.
    known = ready_fleet(make('b'))
    again = attrs.evolve(make('b', incarnation=2), caller_address='new:2')
    known.record_heartbeat(again, fleet.Phase.READY)
    known.record_heartbeat(make('b'), fleet.Phase.READY)
    assert {vm.caller_address for vm in known.serving()} == {'me:2', 'new:2'}


def test_own_region_then_homes_then_any():
    vms = [make('x', 'a'), make('y', 'b'), make('z', 'c')]
    homes = frozenset({'b'})
    assert fleet.select_addresses(vms, 'a', homes) == ('x:2',)
    assert fleet.select_addresses(vms, 'q', homes) == ('y:2',)
    assert fleet.select_addresses(vms, 'q', frozenset()) == (
        'x:2',
        'y:2',
        'z:2',
    )
    assert fleet.select_addresses([], 'a', homes) == ()


def test_vms_that_fell_silent_still_share_the_limits():
    # Guards against spending the part of a VM that is only cut off from here.
    known = ready_fleet(make('b'), make('c'))
    known.clock.advance(fleet.SILENT_S + 0.1)
    assert known.sharing_vm_count() == 3
    known.clock.advance(fleet.SHARER_MEMORY_S)
    assert known.sharing_vm_count() == 1


def test_removed_vms_are_forgotten_and_may_come_back():
    # Guards against VMs that were replaced under new names and stay known,
    # each with a stream that tries to reach it, for ever.
    known = ready_fleet(make('b'))
    known.add_vm(make('never-heard', 'x'))
    known.clock.advance(fleet.REMOVED_S - 1.0)
    known.record_heartbeat(make('b'), fleet.Phase.READY)
    known.clock.advance(2.0)
    assert known.remove_expired() == ('never-heard',)
    assert set(known.known) == {'b'}
    assert known.sizes['x'] == 0
    known.clock.advance(fleet.REMOVED_S)
    assert known.remove_expired() == ('b',)
    known.record_heartbeat(make('b'), fleet.Phase.READY)
    assert {vm.name for vm in known.serving()} == {'me', 'b'}
    assert known.sizes['a'] == 1


def test_vm_whose_time_was_set_back_is_taken_over_once_its_past_is_silent():
    # Guards against a VM that counts as its own former process for ever.
    known = ready_fleet(make('b', incarnation=5))
    again = attrs.evolve(make('b', incarnation=3), caller_address='new:2')
    known.record_heartbeat(again, fleet.Phase.READY)
    assert {vm.caller_address for vm in known.serving()} == {'me:2', 'b:2'}
    known.clock.advance(fleet.SILENT_S + 0.1)
    assert not known.add_vm(again)
    assert known.record_heartbeat(again, fleet.Phase.READY)
    assert {vm.caller_address for vm in known.serving()} == {'me:2', 'new:2'}
