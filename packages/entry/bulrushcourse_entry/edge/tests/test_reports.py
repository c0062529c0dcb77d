"""What a VM tells the others stays small as the fleet grows."""

import random

import pytest

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.fleet import fleet
from bulrushcourse_domain.fleet import peer_versions
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_domain.upstreams import loads
from bulrushcourse_entry.edge import event_log as event_logs
from bulrushcourse_entry.edge import knowledge as knowledges
from bulrushcourse_entry.edge import reports
from bulrushcourse_entry.edge import settings as edge_settings

CONTENT = b'configuration'


def make_reports(reads_for_all):
    clock = clocks.ManualClock(1.0)
    settings = edge_settings.EdgeSettings(
        'vm-1', 'r1', 'd', '127.0.0.1:1', '127.0.0.1:2', peers='127.0.0.1:3'
    )
    known = knowledges.assemble(settings, clock, random.Random(1))
    known.routes.install(routes.RouteSet(version=5))
    known.configuration = CONTENT
    known.reads_for_all = reads_for_all
    return reports.Reports(known, event_logs.EventLog(clock))


@pytest.mark.parametrize('reads_for_all', [True, False])
def test_only_readers_send_a_configuration_at_once(reads_for_all):
    # Guards against each of 76 VMs sending a new configuration to each
    # other VM that has not yet said that it has it from the store.
    reporting = make_reports(reads_for_all)
    reporting.versions.record_version('vm-2', 4, own_level=4)
    assert bool(reporting.make(to='vm-2').configuration) == reads_for_all
    reporting.versions.record_version('vm-2', 4, own_level=5)
    assert bool(reporting.make(to='vm-2').configuration) == reads_for_all
    reporting.versions.record_version('vm-2', 5, own_level=5)
    assert reporting.make(to='vm-2').configuration == b''


def test_all_vms_help_one_that_stays_behind():
    # Guards against a VM that keeps an old configuration because the store
    # turns it and both readers away.
    reporting = make_reports(False)
    reporting.versions.record_version('vm-2', 4, own_level=5)
    reporting.known.clock.advance(peer_versions.HELP_AFTER_S * 1.1)
    reporting.versions.record_version('vm-2', 4, own_level=5)
    assert reporting.make(to='vm-2').configuration == CONTENT


def test_vm_that_was_not_heard_is_sent_nothing():
    reporting = make_reports(True)
    assert reporting.make(to='vm-2').configuration == b''


def test_list_of_vms_goes_to_those_that_know_fewer():
    # Guards against 76 lists of 76 VMs to each VM at each start.
    reporting = make_reports(False)
    for number in (2, 3, 4):
        name = f'vm-{number}'
        reporting.known.fleet.add_vm(fleet.Vm(name, 1, '', '', 'r1', 'd'))
    reporting.meetings.record_version('vm-2', 3, own_level=3)
    reporting.meetings.record_version('vm-3', 1, own_level=3)
    assert not reporting.make(to='vm-3').vms
    reporting.known.clock.advance(peer_versions.HELP_AFTER_S * 1.1)
    assert len(reporting.make(to='vm-3').vms) == 3
    assert not reporting.make(to='vm-2').vms


def test_slowness_stays_in_its_region():
    # Guards against dear bytes for reports that fade before they matter.
    reporting = make_reports(True)
    reporting.known.load.record_load_report(
        'u', loads.LoadReport(1, 0, 4, 2.0)
    )
    near, far = (
        reporting.make(to='vm-2', region=region) for region in ('r1', 'r2')
    )
    assert near.slowness
    assert not far.slowness


def test_reports_are_as_frequent_as_the_region_allows():
    # Guards against counts that are older than the work they describe: with
    # 76 VMs in three regions, every VM reported once a second.
    reporting = make_reports(True)
    for number in range(2, 77):
        region = f'r{number % 3}'
        vm = fleet.Vm(f'vm-{number}', 1, '', '', region, 'd')
        reporting.known.fleet.add_vm(vm)
    assert reporting.interval_s('r1') < 0.45
    assert reporting.interval_s('r2') > 1.0
