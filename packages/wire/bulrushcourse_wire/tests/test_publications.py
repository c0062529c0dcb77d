"""Guards against lost or malformed publications in rows."""

import pytest

from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.configuration import publication
from bulrushcourse_wire import publications


def test_publication_survives_a_round_trip():
    """A lost field would hide the operator or a repeated publish request."""
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
