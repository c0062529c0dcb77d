"""Callers get the addresses of serving VMs only."""

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.fleet import fleet


def make_vm(name, region='a', incarnation=1):
    return fleet.Vm(name, incarnation, f'{name}:1', f'{name}:2', region, 'd')


def make_ready_fleet(*others):
    members = fleet.Fleet(clocks.ManualClock(), make_vm('me'))
    members.phase = fleet.Phase.READY
    for vm in others:
        members.record_heartbeat(vm, fleet.Phase.READY)
    return members


def test_silent_starting_and_leaving_vms_are_not_serving():
    members = make_ready_fleet(make_vm('b'))
    members.record_heartbeat(make_vm('c'), fleet.Phase.STARTING)
    members.record_heartbeat(make_vm('d'), fleet.Phase.LEAVING)
    assert {vm.name for vm in members.serving()} == {'me', 'b'}
    members.clock.advance(fleet.HEARTBEAT_TIMEOUT_S + 0.1)
    assert {vm.name for vm in members.serving()} == {'me'}


def test_vm_that_resumes_waits_until_it_has_heard_all_regions():
    # Guards against look-ups after a pause that name VMs of a wrong region,
    # and against a region that is lost for good.
    members = make_ready_fleet(make_vm('b'), make_vm('c', 'other'))
    assert members.has_heard_all_regions()
    members.clock.advance(5.0)
    members.resume()
    members.record_heartbeat(make_vm('b'), fleet.Phase.READY)
    assert not members.has_heard_all_regions()
    members.record_heartbeat(make_vm('c', 'other'), fleet.Phase.READY)
    assert members.has_heard_all_regions()
    members.clock.advance(5.0)
    members.resume()
    members.clock.advance(fleet.INTRODUCTION_S)
    assert members.has_heard_all_regions()


def test_restarted_vm_replaces_its_former_incarnation():
    # Guards against late heartbeats of a process that has ended.
    members = make_ready_fleet(make_vm('b'))
    restarted = attrs.evolve(
        make_vm('b', incarnation=2), caller_address='new:2'
    )
    members.record_heartbeat(restarted, fleet.Phase.READY)
    members.record_heartbeat(make_vm('b'), fleet.Phase.READY)
    assert {vm.caller_address for vm in members.serving()} == {'me:2', 'new:2'}


def test_own_region_is_preferred_then_home_regions_then_any():
    vms = [make_vm('x', 'a'), make_vm('y', 'b'), make_vm('z', 'c')]
    home_regions = frozenset({'b'})
    assert fleet.select_addresses(vms, 'a', home_regions) == ('x:2',)
    assert fleet.select_addresses(vms, 'q', home_regions) == ('y:2',)
    assert fleet.select_addresses(vms, 'q', frozenset()) == (
        'x:2',
        'y:2',
        'z:2',
    )
    assert fleet.select_addresses([], 'a', home_regions) == ()


def test_silent_vms_still_share_the_limits():
    # Guards against using the share of a VM that is cut off from this one but
    # still serves.
    members = make_ready_fleet(make_vm('b'), make_vm('c'))
    members.clock.advance(fleet.HEARTBEAT_TIMEOUT_S + 0.1)
    assert members.sharing_vm_count() == 3
    members.clock.advance(fleet.SHARING_TIMEOUT_S)
    assert members.sharing_vm_count() == 1


def test_removed_vms_expire_and_may_come_back():
    # Guards against VMs that were replaced under new names and are kept
    # forever, each with a stream that tries to connect to it.
    members = make_ready_fleet(make_vm('b'))
    members.add_vm(make_vm('never-heard', 'x'))
    members.clock.advance(fleet.REMOVAL_TIMEOUT_S - 1.0)
    members.record_heartbeat(make_vm('b'), fleet.Phase.READY)
    members.clock.advance(2.0)
    assert members.remove_expired() == ('never-heard',)
    assert set(members.peers) == {'b'}
    assert members.region_sizes['x'] == 0
    members.clock.advance(fleet.REMOVAL_TIMEOUT_S)
    assert members.remove_expired() == ('b',)
    members.record_heartbeat(make_vm('b'), fleet.Phase.READY)
    assert {vm.name for vm in members.serving()} == {'me', 'b'}
    assert members.region_sizes['a'] == 1


def test_vm_whose_clock_was_set_back_replaces_its_silent_incarnation():
    # Guards against a VM that is mistaken for its former process forever.
    members = make_ready_fleet(make_vm('b', incarnation=5))
    restarted = attrs.evolve(
        make_vm('b', incarnation=3), caller_address='new:2'
    )
    members.record_heartbeat(restarted, fleet.Phase.READY)
    assert {vm.caller_address for vm in members.serving()} == {'me:2', 'b:2'}
    members.clock.advance(fleet.HEARTBEAT_TIMEOUT_S + 0.1)
    assert not members.add_vm(restarted)
    assert members.record_heartbeat(restarted, fleet.Phase.READY)
    assert {vm.caller_address for vm in members.serving()} == {'me:2', 'new:2'}
