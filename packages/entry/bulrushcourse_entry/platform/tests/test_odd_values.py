"""Values of other writers are refused before they reach any computation.

Operators reported processes that ended, or stopped following a list, because
of one entry that was nested very deeply, had a number that was too large or a
port out of range.
"""

import json

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from bulrushcourse_domain import ranges
from bulrushcourse_entry.platform import headers
from bulrushcourse_entry.platform import operator_rows
from bulrushcourse_entry.platform import rows
from bulrushcourse_entry.platform import units
from bulrushcourse_entry.platform import upstream_rows
from bulrushcourse_entry.platform import vm_rows
from bulrushcourse_entry.platform.tests import test_decoding

NESTED = b'[' * 100_000 + b']' * 100_000
NESTED_MAPS = b'{"a":' * 50_000 + b'1' + b'}' * 50_000
HUGE = b'9' * 4000
TOO_LONG = b'9' * 5000
ODD_DOCUMENTS = (
    NESTED,
    NESTED_MAPS,
    HUGE,
    TOO_LONG,
    b'1e999',
    b'NaN',
    b'"\\ud800"',
    b'\x00',
    b'\xff\xfe',
    b'',
    b'null',
    b'{}',
)
ODD_VALUES = (
    HUGE,
    TOO_LONG,
    NESTED[:2000] + NESTED[-2000:],
    b'1e999',
    b'-1',
    b'NaN',
    b'Infinity',
    b'"\\ud800"',
    b'"a\\r\\nb"',
    b'""',
    b'true',
    b'{"a":[1]}',
)
ODD_ADDRESSES = (
    '10.0.0.1:65536',
    '10.0.0.1:99999999999999999999',
    '10.0.0.1:0',
    '10.0.0.1:-1',
    '10.0.0.1:٣٣',
    '10.0.0.1:8²',
    '[::1:80',
    'a host:80',
    '10.0.0.1\r\nX: y:80',
    '10.0.0.256:80',
    ':80',
    '10.0.0.1',
)


def decode_upstream(content):
    return upstream_rows.decode(rows.StoredRow('u', content, 1), {})


def decode_vm(content):
    return vm_rows.decode(rows.StoredRow('vm', content, 1))


DECODERS = (decode_upstream, decode_vm, operator_rows.decode_configuration)


@pytest.mark.parametrize('decode', DECODERS)
@pytest.mark.parametrize('content', ODD_DOCUMENTS)
def test_odd_document_is_refused(decode, content):
    with pytest.raises(units.MalformedValue):
        decode(content)


@pytest.mark.parametrize('decode', DECODERS)
@given(strategies.binary(max_size=200))
@hypothesis_settings(max_examples=50)
def test_any_bytes_are_refused_or_decoded(decode, content):
    try:
        decode(content)
    except units.MalformedValue:
        pass


@pytest.mark.parametrize('value', ODD_VALUES)
@pytest.mark.parametrize('field', sorted(test_decoding.UPSTREAM_FIELDS))
def test_odd_field_of_an_upstream_is_refused_or_in_range(field, value):
    # Guards against a slot count of 4,000 digits in a division, and against
    # a failure domain that no message to another VM can encode.
    document = json.dumps({**test_decoding.UPSTREAM_FIELDS, field: 0}).replace(
        f'"{field}": 0', f'"{field}": {value.decode()}'
    )
    try:
        upstream = decode_upstream(document.encode())
    except units.MalformedValue:
        return
    assert 1 <= upstream.slots <= ranges.MAX_SLOTS
    assert 0 <= upstream.born <= ranges.MAX_INTEGER
    assert 0 <= upstream.cold_for_s <= ranges.MAX_DURATION_S
    upstream.failure_domain.encode()


@pytest.mark.parametrize('address', ODD_ADDRESSES)
def test_odd_address_is_refused(address):
    with pytest.raises(units.MalformedValue):
        units.address(address, 'address')


def test_one_odd_row_hides_no_other():
    # Guards against a task that never gets past one row.
    content = json.dumps(test_decoding.UPSTREAM_FIELDS).encode()
    batch = rows.RowBatch(
        9,
        (
            rows.StoredRow('odd-1', NESTED, 7),
            rows.StoredRow('u1', content, 8),
            rows.StoredRow('\ud800', content, 9),
        ),
    )
    refused = []
    snapshot = upstream_rows.decode_all(
        batch, {}, lambda row, error: refused.append(row.key)
    )
    assert [u.name for u in snapshot.upstreams] == ['u1']
    assert refused == ['odd-1', '\ud800']


@pytest.mark.parametrize(
    'key', ['evacuate/', 'evacuate/\ud800', 'evacuate/a\n']
)
def test_odd_evacuation_is_ignored(key):
    # Guards against a name that no report to another VM can encode.
    assert operator_rows.evacuated_domain(key) is None


@pytest.mark.parametrize(
    'text', ['9' * 5000, '1e999', 'NaN', '-5', '٣', '3,0', '1,2,3,' + '9' * 99]
)
def test_odd_header_values_are_ignored(text):
    assert headers.decode_load({headers.LOAD: text}) is None
    assert not headers.decode_warmup_s({headers.WARMUP_MS: text}) or (
        headers.decode_warmup_s({headers.WARMUP_MS: text}) < 1.0
    )


@pytest.mark.parametrize(
    'text',
    ['', '-1', 'nan', 'inf', '1e999', '9' * 99, 'Fri, 04 Dec 2026 10:00:00'],
)
def test_odd_pause_is_ignored(text):
    assert headers.decode_pause_s(503, {headers.RETRY_AFTER: text}) == 0.0


def test_pause_counts_only_with_its_status():
    assert headers.decode_pause_s(503, {headers.RETRY_AFTER: '2.5'}) == 2.5
    assert headers.decode_pause_s(429, {headers.RETRY_AFTER: '2.5'}) == 0.0
