"""Conversion of publications to and from JSON values of table rows."""

import datetime
import typing

from returns import result

from bulrushcourse_domain import findings
from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.configuration import publication
from bulrushcourse_wire import documents

EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)


def render_publication(
    published: publication.Publication,
) -> dict[str, typing.Any]:
    """Return the value of a row that stores a publication.

    Args:
        published: The publication.
    """
    return describe_publication(published) | {
        'document': documents.render_document(published.objects)
    }


def describe_publication(
    published: publication.Publication,
) -> dict[str, typing.Any]:
    """Return a publication's metadata, without its objects.

    Args:
        published: The publication.

    Examples:
        >>> published = publication.Publication(
        ...     1, 'p1', 'ana', '', EPOCH, objects.Objects()
        ... )
        >>> describe_publication(published)['published_at']
        '1970-01-01T00:00:00+00:00'
    """
    return {
        'version': published.version,
        'publish_id': published.publish_id,
        'operator': published.operator,
        'note': published.note,
        'published_at': published.published_at.isoformat(),
    }


def parse_publication(
    value: typing.Any,
) -> result.Result[publication.Publication, tuple[findings.Finding, ...]]:
    """Return the publication in a row, or all findings if it is malformed.

    Args:
        value: Value of the row; only version and document are required.

    Examples:
        >>> parse_publication({'version': 1}).failure()[0].code
        'row'
    """
    try:
        version, document = int(value['version']), str(value['document'])
        published_at = datetime.datetime.fromisoformat(
            value.get('published_at', EPOCH.isoformat())
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        found = findings.Finding('row', 'row', repr(error), 'a publication')
        return result.Failure((found,))
    return documents.parse_document(document, objects.Objects).map(
        lambda parsed: publication.Publication(
            version,
            str(value.get('publish_id', '')),
            str(value.get('operator', '')),
            str(value.get('note', '')),
            published_at,
            parsed,
        )
    )
