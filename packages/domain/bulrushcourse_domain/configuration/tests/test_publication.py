"""Tests of the publication rules and of differences."""

import datetime

from bulrushcourse_domain.configuration import difference
from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.configuration import publication

NOW = datetime.datetime(2026, 12, 4, tzinfo=datetime.UTC)


def place_set(*names):
    return objects.Objects(tuple(objects.Place(n, 'nord') for n in names))


def publish_request(base, publish_id, content):
    return publication.PublishRequest(base, publish_id, 'ana', content)


def publish(stored, history, request):
    proposal = publication.propose(stored, history, request, NOW).unwrap()
    history[proposal.publication.version] = proposal.publication
    return proposal


def test_retried_publish_is_recognised_after_a_later_publish():
    """Guards against a retried publish that conflicts with itself."""
    history = {}
    request = publish_request(0, 'p1', place_set('a'))
    first = publish(None, history, request).publication
    later = publish(first, history, publish_request(1, 'p2', place_set('b')))
    retried = publication.propose(later.publication, history, request, NOW)
    assert retried.unwrap() == publication.Proposal(first, True)


def test_conflict_lists_changes_since_the_base():
    """Guards against a conflict that hides the other operator's changes."""
    history = {}
    first = publish(None, history, publish_request(0, 'p1', place_set('a')))
    second = publish(
        first.publication,
        history,
        publish_request(1, 'p2', place_set('a', 'b')),
    )
    conflict = publication.propose(
        second.publication,
        history,
        publish_request(1, 'p3', place_set('c')),
        NOW,
    ).failure()
    assert conflict.stored == second.publication
    assert [str(change) for change in conflict.changes] == ['places[b]: added']


def test_rollback_is_a_new_version_with_old_content():
    """Guards against reusing an old version, which every entry rejects."""
    history = {}
    first = publish(None, history, publish_request(0, 'p1', place_set('a')))
    second = publish(
        first.publication, history, publish_request(1, 'p2', place_set())
    )
    request = publication.rollback_request(2, first.publication, 'p3', 'ana')
    third = publish(second.publication, history, request).publication
    assert (third.version, third.objects) == (3, place_set('a'))


def test_changes_within_pools_are_listed_by_field():
    """Guards against one changed instance shown as a whole changed pool."""
    old = objects.Instance('i1', 'a', '10.0.0.1:80')
    new = objects.Instance('i1', 'a', '10.0.0.2:80')
    changes = difference.list_changes(
        objects.Objects(pools=(objects.Pool('p', 1, 1, (old,)),)),
        objects.Objects(pools=(objects.Pool('p', 2, 1, (new,)),)),
    )
    assert [change.place for change in changes] == [
        'pools[p].slots',
        'pools[p].instances[i1].address',
    ]
