"""Tests of publications as rows."""

import pytest

from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.configuration import publication
from bulrushcourse_wire import publications


def test_a_row_gives_back_what_was_published():
    """A field lost in the row would hide who published, or a repeat."""
    published = publication.Publication(
        3, 'p3', 'ana', 'note', publications.EPOCH, objects.Objects()
    )
    row = publications.render_publication(published)
    assert publications.parse_publication(row).unwrap() == published


@pytest.mark.parametrize(
    'row',
    [None, [], {}, {'version': 'x', 'document': '{}'}, {'version': 1}]
    + [{'version': 1, 'document': '{}', 'published_at': 'x'}],
)
def test_malformed_row_is_a_finding(row):
    """A malformed row must not end the task that reads configurations."""
    assert publications.parse_publication(row).failure()
