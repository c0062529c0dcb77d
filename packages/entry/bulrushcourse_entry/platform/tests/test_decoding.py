"""The platform's values are decoded into this project's types or refused."""

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

UPSTREAM_FIELDS = {
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


def test_row_of_an_upstream_is_decoded():
    upstream = upstream_rows.decode(row(UPSTREAM_FIELDS), {'z': 'r'})
    assert (upstream.region, upstream.failure_domain) == ('r', 'z')
    assert (upstream.cold_for_s, upstream.born, upstream.slots) == (1.5, 17, 4)
    assert not upstream.draining


def test_unknown_failure_domain_is_in_no_region_of_the_settings():
    # Guards against an upstream that counts as one of a home region because
    # its failure domain, which the settings do not name, is called like it.
    fields = {**UPSTREAM_FIELDS, 'zone': 'r'}
    upstream = upstream_rows.decode(row(fields), {'z': 'r'})
    assert upstream.region not in ('r', '')


@given(strategies.sampled_from(sorted(UPSTREAM_FIELDS)), JSON)
def test_upstream_row_with_any_wrong_field_is_decoded_or_refused(field, value):
    # Guards against a malformed row of an upstream that crashes the process.
    try:
        upstream_rows.decode(row({**UPSTREAM_FIELDS, field: value}), {})
    except units.MalformedValue:
        pass


@given(JSON)
def test_any_configuration_is_decoded_or_refused(value):
    try:
        operator_rows.decode_configuration(json.dumps(value).encode())
    except units.MalformedValue:
        pass


@pytest.mark.parametrize('field', ['service', 'address', 'zone', 'state'])
def test_upstream_row_without_a_required_field_is_refused(field):
    with pytest.raises(units.MalformedValue):
        fields = {
            name: v for name, v in UPSTREAM_FIELDS.items() if name != field
        }
        upstream_rows.decode(row(fields), {})


VM = fleet.Vm('vm-1', 7, '10.0.0.1:1', '10.0.0.1:2', 'r', 'd')


def test_vm_row_is_decoded_as_it_was_encoded():
    for vm in (VM, attrs.evolve(VM, peer_address='')):
        row = rows.StoredRow(vm.name, vm_rows.encode(vm), 1)
        assert vm_rows.decode(row) == vm


@given(strategies.sampled_from(sorted(attrs.asdict(VM))), JSON)
def test_vm_row_with_any_wrong_field_is_decoded_or_refused(field, value):
    # Guards against an address or an incarnation of another type, which
    # crashed the task that sends to that VM or the one that reads the rows.
    row = rows.StoredRow(
        'vm-1', json.dumps({**attrs.asdict(VM), field: value}).encode(), 1
    )
    try:
        decoded = vm_rows.decode(row)
    except units.MalformedValue:
        return
    assert isinstance(decoded.incarnation, int)
    assert decoded.caller_address.rpartition(':')[2].isdigit()


def test_settings_without_optional_fields_are_accepted():
    # Guards against deployments that fail to start without optional fields.
    settings = settings_file.decode(SETTINGS).unwrap()
    assert settings.bounds.drain_s == 1.5
    assert settings.bounds.retry_extra == 7
    assert (settings.lookups, settings.seeds) == ('', ())


def test_all_findings_in_settings_are_returned_with_their_places():
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


def test_bounds_on_withdrawn_keys_are_read_and_checked():
    # Guards against keys that are served without a bound because a field has
    # another form.
    def decode(**bounds):
        return settings_file.decode({**SETTINGS, 'terms': {'bounds': bounds}})

    bounds = decode(strict_revoke=True, revoke='2500ms').unwrap().bounds
    assert (bounds.strict_revoke, bounds.revoke_s) == (True, 2.5)
    assert not decode().unwrap().bounds.strict_revoke
    for bad in ({'strict_revoke': 'yes'}, {'revoke': 5}, {'revoke': '50ms'}):
        (finding,) = decode(**bad).failure()
        assert finding.place == f'terms.bounds.{next(iter(bad))}'


def test_resources_of_the_vm_are_read_and_checked():
    # Guards against limits on clients that follow a mistaken setting.
    limits = {'memory_mb': 200, 'max_fds': 4100}
    document = {**SETTINGS, 'self': {**SETTINGS['self'], 'limits': limits}}
    settings = settings_file.decode(document).unwrap()
    assert settings.memory_bytes == 200 << 20
    assert settings.max_descriptors == 4100
    limits.update(memory_mb=-1, max_fds='many')
    found = settings_file.decode(document).failure()
    assert [finding.place for finding in found] == [
        'self.limits.max_fds',
        'self.limits.memory_mb',
    ]


def test_load_header_with_and_without_its_fourth_number():
    assert headers.decode_load({headers.LOAD: '3,1,8'}).slowness is None
    assert headers.decode_load({headers.LOAD: '3,1,8,250'}).slowness == 2.5
    assert headers.decode_load({headers.LOAD: 'busy'}) is None
    assert headers.decode_load({}) is None


def test_response_is_genuine_only_with_its_identifier_and_signature():
    # Guards against a response that belongs to another request or is no
    # upstream's, and against a refusal that refers to the connection.
    signed = {headers.REQUEST_ID: 'a', headers.SIGNATURE: 's'}
    for reused in (False, True):
        assert headers.is_genuine(200, signed, 'a', reused)
        assert headers.is_genuine(500, {headers.REQUEST_ID: 'a'}, 'a', reused)
        for status in (301, 400, 404, 408, 429, 503):
            assert headers.is_genuine(status, signed, 'a', reused)
            named = {headers.REQUEST_ID: 'a'}
            assert not headers.is_genuine(status, named, 'a', reused)
            named[headers.NOT_EXECUTED] = '1'
            assert headers.is_genuine(status, named, 'a', reused)
        assert not headers.is_genuine(200, signed, 'b', reused)
        assert not headers.is_genuine(
            200, {headers.REQUEST_ID: 'a'}, 'a', reused
        )
        assert not headers.is_genuine(500, signed, 'b', reused)
        assert not headers.is_genuine(
            200, {headers.SIGNATURE: 's'}, 'a', reused
        )
    not_run = {headers.NOT_EXECUTED: '1'}
    assert headers.is_genuine(503, not_run, 'a', reused=False)
    assert not headers.is_genuine(503, not_run, 'a', reused=True)
    assert headers.is_genuine(500, {}, 'a', reused=False)
    assert not headers.is_genuine(500, {}, 'a', reused=True)
    assert not headers.is_genuine(503, {}, 'a', reused=False)


def test_lookup_is_decoded_and_its_response_encoded():
    query = {'name': 'H.example', 'region': 'r', 'zone': 'z'}
    lookup = lookups.decode('/resolve', query)
    assert (lookup.host, lookup.region) == ('h.example', 'r')
    assert lookups.decode('/other', query) is None
    assert json.loads(lookups.encode(['a:1'], 2.0)) == {
        'addresses': ['a:1'],
        'ttl': '2s',
    }


@pytest.mark.parametrize('bad', [None, 5, '', '5', 'ms', '-1s', 'nans', '1m'])
def test_durations_without_number_or_unit_are_refused(bad):
    with pytest.raises(units.MalformedValue):
        units.duration_s(bad)


def test_lookup_of_a_name_with_a_port_or_final_dot_finds_its_host():
    # Guards against look-ups that miss the home regions of their host.
    for name in ('H.Example.', 'h.example:80', 'h.example.:80'):
        assert lookups.decode('/resolve', {'name': name}).host == 'h.example'
