"""Tests of publication rules and differences."""

import datetime

from bulrushcourse_domain.configuration import difference
from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.configuration import publication

NOW = datetime.datetime(2026, 12, 4, tzinfo=datetime.UTC)


def place_set(*names):
    return objects.Objects(tuple(objects.Place(n, 'nord') for n in names))


def order(base, publish_id, content):
    return publication.PublishRequest(base, publish_id, 'ana', content)


def publish(stored, history, wanted):
    proposal = publication.propose(stored, history, wanted, NOW).unwrap()
    history[proposal.publication.version] = proposal.publication
    return proposal


def test_lost_answer_is_recognised_after_a_later_publish():
    """A repeated publish must not be reported as a conflict with itself."""
    history = {}
    wanted = order(0, 'p1', place_set('a'))
    first = publish(None, history, wanted).publication
    later = publish(first, history, order(1, 'p2', place_set('b')))
    again = publication.propose(later.publication, history, wanted, NOW)
    assert again.unwrap() == publication.Proposal(first, True)


def test_conflict_tells_what_changed_since_the_base():
    """The operator who lost the race must see the other's changes."""
    history = {}
    first = publish(None, history, order(0, 'p1', place_set('a')))
    second = publish(
        first.publication, history, order(1, 'p2', place_set('a', 'b'))
    )
    refused = publication.propose(
        second.publication, history, order(1, 'p3', place_set('c')), NOW
    ).failure()
    assert refused.stored == second.publication
    assert [str(change) for change in refused.changes] == ['places[b]: added']


def test_rollback_is_a_new_version_with_old_content():
    """An old version number would be refused by every entry."""
    history = {}
    first = publish(None, history, order(0, 'p1', place_set('a')))
    second = publish(first.publication, history, order(1, 'p2', place_set()))
    wanted = publication.roll_back(2, first.publication, 'p3', 'ana')
    third = publish(second.publication, history, wanted).publication
    assert (third.version, third.objects) == (3, place_set('a'))


def test_changes_reach_into_pools():
    """A changed instance must not show as a whole changed pool."""
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
