"""Tests for the findings of malformed documents."""

import json

import pytest

from bulrushcourse_domain.configuration import objects
from bulrushcourse_wire import documents


@pytest.mark.parametrize(
    'content, place, message',
    [
        ({'places': 3}, 'places', 'is an integer, expected a list'),
        ({'places': None}, 'places', 'is null, expected a list'),
        ({'places': ['a']}, 'places[0]', 'is a string, expected an object'),
        ({'places': {'a': 1}}, 'places[0]', 'is a string, expected an object'),
        ({'places': [[]]}, 'places[0]', 'is a list, expected an object'),
        (
            {'places': [{'name': 3, 'region': 'r'}]},
            'places[3].name',
            'is 3, expected str',
        ),
        (
            {'limits': [{'name': 'l', 'kind': 'x', 'target': 't'}]},
            'limits[l].kind',
            "is 'x', expected one of 'link', 'region', 'shift'",
        ),
        (
            {
                'limits': [
                    {
                        'name': 'l',
                        'kind': 'link',
                        'target': 't',
                        'mbit_per_s': 10**400,
                    }
                ]
            },
            'limits[l].mbit_per_s',
            'is too large a number, expected one in the range of a float',
        ),
    ],
)
def test_finding_states_what_was_found_and_expected(content, place, message):
    """Guards against findings that show the text of a Python exception."""
    parsed = documents.parse_document(json.dumps(content), objects.Objects)
    (finding,) = parsed.failure()
    assert (finding.place, finding.code) == (place, 'type')
    assert finding.message == message


@pytest.mark.parametrize(
    'text, message',
    [
        ('{"a": }', 'is not valid JSON at line 1, column 7: expecting value'),
        (
            f'{{"a": {"9" * 5000}}}',
            'contains an integer with too many digits, expected fewer digits',
        ),
    ],
)
def test_finding_locates_a_syntax_error(text, message):
    """Guards against a document rejected without the place of the error."""
    parsed = documents.parse_document(text, objects.Objects)
    (finding,) = parsed.failure()
    assert (finding.place, finding.code) == ('document', 'json')
    assert finding.message == message
