"""Fields of the platform are decoded into own types, or left out."""

import json

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies
from returns import result

from bulrushcourse_domain.fleet import fleet
from bulrushcourse_entry.platform import headers
from bulrushcourse_entry.platform import lookups
from bulrushcourse_entry.platform import operator_rows
from bulrushcourse_entry.platform import rows
from bulrushcourse_entry.platform import settings_file
from bulrushcourse_entry.platform import units
from bulrushcourse_entry.platform import upstream_rows
from bulrushcourse_entry.platform import vm_rows

ENTRY = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'version': 'v1',
    'slots': 4,
    'state': 'ready',
    'warmup_left': '1500ms',
    'seq': 3,
    'born': 17,
}
SETTINGS = {
    'self': {'node_name': 'n', 'zone': 'z', 'region': 'r'},
    'network': {'listen': {'front': '10.0.0.1:1'}, 'zones': {'z': 'r'}},
    'platform': {'platform': {'address': '10.0.0.2:2'}},
    'terms': {'bounds': {'drain': '1500ms', 'retry_budget_extra': 7}},
}
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(), inner, max_size=3)
    ),
    max_leaves=8,
)


def row(value, key='u'):
    return rows.StoredRow(key, json.dumps(value).encode(), 5)


def test_entry_of_an_upstream():
    found = upstream_rows.decode(row(ENTRY), {'z': 'r'})
    assert (found.region, found.failure_domain) == ('r', 'z')
    assert (found.cold_for_s, found.born, found.slots) == (1.5, 17, 4)
    assert not found.draining


@given(strategies.sampled_from(sorted(ENTRY)), JSON)
def test_entry_with_any_field_wrong_is_decoded_or_refused(field, value):
    # Guards against an entry of another writer that ends the process.
    try:
        upstream_rows.decode(row({**ENTRY, field: value}), {})
    except units.MalformedValue:
        pass


@given(JSON)
def test_any_configuration_is_decoded_or_refused(value):
    try:
        operator_rows.decode_configuration(json.dumps(value).encode())
    except units.MalformedValue:
        pass


@pytest.mark.parametrize('field', ['service', 'address', 'zone', 'state'])
def test_entry_without_a_needed_field_is_refused(field):
    with pytest.raises(units.MalformedValue):
        entry = {name: v for name, v in ENTRY.items() if name != field}
        upstream_rows.decode(row(entry), {})


VM = fleet.Vm('vm-1', 7, '10.0.0.1:1', '10.0.0.1:2', 'r', 'd')


def test_entry_of_a_vm():
    for vm in (VM, attrs.evolve(VM, peer_address='')):
        row = rows.StoredRow(vm.name, vm_rows.encode(vm), 1)
        assert vm_rows.decode(row) == vm


@given(strategies.sampled_from(sorted(attrs.asdict(VM))), JSON)
def test_entry_of_a_vm_with_any_field_wrong_is_decoded_or_refused(
    field, value
):
    # Guards against an address or an incarnation of another type, which
    # ended the task that sends to that VM, or the one that reads all VMs.
    row = rows.StoredRow(
        'vm-1', json.dumps({**attrs.asdict(VM), field: value}).encode(), 1
    )
    try:
        decoded = vm_rows.decode(row)
    except units.MalformedValue:
        return
    assert isinstance(decoded.incarnation, int)
    assert decoded.caller_address.rpartition(':')[2].isdigit()


def test_settings_with_few_fields_are_enough():
    # Guards against deployments whose settings leave optional fields out.
    settings = settings_file.decode(SETTINGS).unwrap()
    assert settings.bounds.drain_s == 1.5
    assert settings.bounds.retry_extra == 7
    assert (settings.lookups, settings.seeds) == ('', ())


def test_all_findings_of_settings_come_together_with_their_places():
    loaded = settings_file.decode(
        {'self': {'zone': 7}, 'terms': {'bounds': {'drain': 'soon'}}}
    )
    assert isinstance(loaded, result.Failure)
    places = {finding.place for finding in loaded.failure()}
    assert {
        'self.node_name',
        'self.zone',
        'network.listen.front',
        'platform.platform.address',
        'terms.bounds.drain',
    } <= places


def test_load_header_with_and_without_its_fourth_figure():
    assert headers.decode_load({headers.LOAD: '3,1,8'}).slowness is None
    assert headers.decode_load({headers.LOAD: '3,1,8,250'}).slowness == 2.5
    assert headers.decode_load({headers.LOAD: 'busy'}) is None
    assert headers.decode_load({}) is None


def test_answer_is_genuine_only_with_its_identifier_and_signature():
    # Guards against taking a late answer to another request for one's own.
    signed = {headers.REQUEST_ID: 'a', headers.SIGNATURE: 'x'}
    assert headers.is_genuine(200, signed, 'a')
    assert not headers.is_genuine(200, signed, 'b')
    assert not headers.is_genuine(200, {headers.REQUEST_ID: 'a'}, 'a')
    assert not headers.is_genuine(500, signed, 'b')


def test_lookup_is_decoded_and_answered():
    query = {'name': 'H.example', 'region': 'r', 'zone': 'z'}
    question = lookups.decode('/resolve', query)
    assert (question.host, question.region) == ('h.example', 'r')
    assert lookups.decode('/other', query) is None
    assert json.loads(lookups.encode(['a:1'], 2.0)) == {
        'addresses': ['a:1'],
        'ttl': '2s',
    }


@pytest.mark.parametrize('bad', [None, 5, '', '5', 'ms', '-1s', 'nans', '1m'])
def test_times_without_number_or_unit_are_refused(bad):
    with pytest.raises(units.MalformedValue):
        units.seconds(bad)
