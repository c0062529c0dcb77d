"""Rules for publishing configurations.

A publication is written by one compare-and-set that covers the current row
and its history row. Its version is that of its base plus one, so a publish
whose reply was lost can have taken effect in one history row only.
"""

import datetime
import typing

import attrs
from returns import result

from bulrushcourse_domain.configuration import difference
from bulrushcourse_domain.configuration import objects


@attrs.frozen
class Publication:
    """A published configuration with its origin.

    Attributes:
        version: Version, one more than that of its base.
        publish_id: Identifier of the publish request, chosen by the operator's
            tool.
        operator: Who published it.
        note: Why it was published.
        published_at: Time of the publish in UTC.
        objects: The published objects.
    """

    version: int
    publish_id: str
    operator: str
    note: str
    published_at: datetime.datetime
    objects: objects.Objects


@attrs.frozen
class PublishRequest:
    """An operator's request to publish.

    Attributes:
        base_version: Version that the operator's changes are based on.
        publish_id: Identifier of the request, the same in each retry.
        operator: Who publishes.
        objects: Checked objects.
        note: Why they are published.
    """

    base_version: int
    publish_id: str
    operator: str
    objects: objects.Objects
    note: str = ''


@attrs.frozen
class Conflict:
    """Rejection of a publish whose base is not the stored version.

    Attributes:
        base_version: Version that the operator's changes are based on.
        stored: The stored publication, ``None`` if there is none.
        changes: What changed from the base to the stored publication.
    """

    base_version: int
    stored: Publication | None
    changes: tuple[difference.Change, ...] = ()


@attrs.frozen
class Proposal:
    """The publication that results from a request.

    Attributes:
        publication: The publication.
        already_stored: Whether an earlier attempt of the same request stored
            it.
    """

    publication: Publication
    already_stored: bool


def propose(
    stored: Publication | None,
    history: typing.Mapping[int, Publication],
    request: PublishRequest,
    now: datetime.datetime,
) -> result.Result[Proposal, Conflict]:
    """Decide a publish request, given the content of the store.

    Args:
        stored: The stored publication, ``None`` if there is none.
        history: Publications of ``request.base_version`` and the version after
            it, as far as they are stored.
        request: The operator's request.
        now: Time of the publish in UTC.

    Examples:
        >>> now = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
        >>> request = PublishRequest(0, 'p1', 'ana', objects.Objects())
        >>> first = propose(None, {}, request, now).unwrap()
        >>> first.publication.version, first.already_stored
        (1, False)
        >>> second = propose(first.publication, {}, request, now).unwrap()
        >>> second.already_stored
        True
    """
    for earlier in (stored, history.get(request.base_version + 1)):
        if earlier is not None and earlier.publish_id == request.publish_id:
            return result.Success(Proposal(earlier, True))
    version = stored.version if stored else 0
    if version != request.base_version:
        base = history.get(request.base_version)
        before = base.objects if base else objects.Objects()
        after = stored.objects if stored else objects.Objects()
        return result.Failure(
            Conflict(
                request.base_version,
                stored,
                difference.list_changes(before, after),
            )
        )
    publication = Publication(
        version + 1,
        request.publish_id,
        request.operator,
        request.note,
        now,
        request.objects,
    )
    return result.Success(Proposal(publication, False))


def rollback_request(
    base_version: int, old: Publication, publish_id: str, operator: str
) -> PublishRequest:
    """Return the request that publishes old content as a new version.

    The old version itself cannot become active again: entries that have seen
    a later version reject it.

    Args:
        base_version: Version to be replaced.
        old: The publication whose content is restored.
        publish_id: Identifier of the new request.
        operator: Who rolls back.
    """
    return PublishRequest(
        base_version,
        publish_id,
        operator,
        old.objects,
        f'rollback to version {old.version}',
    )
