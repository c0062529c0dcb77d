"""Guards against reports between VMs that lose content or grow too large."""

import pytest
from hypothesis import given
from hypothesis import strategies

from bulrushcourse_domain.fleet import fleet
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_wire import fleet_messages

VM = fleet.Vm('vm-1', 1, '10.0.0.1:1', '10.0.0.1:2', 'r', 'd')
NAMES = strategies.text('abc', min_size=1, max_size=3)
HUNDREDTHS = strategies.integers(0, 10_000).map(lambda n: n / 100)
REPORTS = strategies.builds(
    fleet_messages.Report,
    vm=strategies.sampled_from([VM, None]),
    phase=strategies.sampled_from(fleet.Phase),
    configuration_version=strategies.integers(0, 1 << 40),
    in_flight=strategies.dictionaries(NAMES, strategies.integers(1, 99)),
    slowness=strategies.dictionaries(
        NAMES, strategies.tuples(HUNDREDTHS, HUNDREDTHS)
    ),
    demand=strategies.dictionaries(NAMES, HUNDREDTHS),
    losses=strategies.lists(strategies.tuples(NAMES, NAMES)),
    operators_version=strategies.integers(0, 1 << 40),
    evacuated=strategies.lists(NAMES),
    directory_delta=strategies.sampled_from(
        [None, upstreams.DirectoryDelta(3, 4, (), ('u',), 0.25)]
    ),
    vms=strategies.sampled_from([[], [VM]]),
    vms_known=strategies.integers(0, 999),
    configuration=strategies.binary(max_size=8),
)


@given(REPORTS)
def test_reports_survive_a_round_trip(report):
    assert fleet_messages.decode(fleet_messages.encode(report)) == report


@given(strategies.binary(max_size=40))
def test_arbitrary_bytes_are_refused(content):
    # Guards against an unexpected exception that would end the receiving task.
    try:
        fleet_messages.decode(content)
    except fleet_messages.MalformedReport:
        pass


def test_later_reports_of_a_stream_are_short():
    # Guards against field names and floating-point numbers in each report:
    # bytes between regions were the highest cost of a fleet of 76 VMs.
    names = [f'i-{number:010x}' for number in range(10)]
    report = fleet_messages.Report(
        vm=None,
        phase=fleet.Phase.READY,
        configuration_version=7,
        in_flight=dict.fromkeys(names, 2),
        slowness=dict.fromkeys(names, (1.07, 0.12)),
        demand={'catalog': 3.21, 'orders': 1.13, 'artwork': 0.74},
        operators_version=1000,
    )
    assert len(fleet_messages.encode(report)) < 420


def test_unknown_phase_is_refused():
    with pytest.raises(fleet_messages.MalformedReport):
        fleet_messages.decode(b'\x81\xa1p\xa3odd')


@pytest.mark.parametrize(
    'packed',
    [
        b'',
        b'no zlib',
        fleet_messages.pack_content(b'x' * 1000)[:-4],
        fleet_messages.pack_content(bytes(17 << 20)),
    ],
)
def test_damaged_or_huge_configurations_are_refused(packed):
    # Guards against a few bytes that decompress to more than a VM's memory.
    with pytest.raises(fleet_messages.MalformedReport):
        fleet_messages.unpack_content(packed)


def test_configuration_of_many_routes_is_compressed():
    # Guards against sending 150 KB to each of 74 VMs on each change of routes.
    routes = b','.join(
        b'{"host": "h%d.example", "prefix": "/p%d/", "timeout": "1200ms"}'
        % (number, number * 7919)
        for number in range(1400)
    )
    assert len(fleet_messages.pack_content(routes)) < len(routes) / 5
