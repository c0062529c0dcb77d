"""Answers to look-ups are cached for a short time only."""

from bulrushcourse_domain.fleet import fleet
from bulrushcourse_domain.fleet import lookups
from bulrushcourse_domain.fleet.tests import test_fleet as helpers


def test_silent_vm_is_omitted_from_the_answers():
    # Guards against a cached answer that outlives the VMs in it.
    members = helpers.make_ready_fleet(helpers.make_vm('b'))
    answers = lookups.LookupCache(members)
    before = answers.addresses('a', frozenset())
    assert set(before) == {'me:2', 'b:2'}
    members.clock.advance(fleet.HEARTBEAT_TIMEOUT_S + 2 * lookups.CACHE_TTL_S)
    assert answers.addresses('a', frozenset()) == ('me:2',)


def test_answers_depend_on_region_and_home_regions():
    members = helpers.make_ready_fleet(
        helpers.make_vm('b', 'b'), helpers.make_vm('c', 'c')
    )
    answers = lookups.LookupCache(members)
    assert answers.addresses('b', frozenset()) == ('b:2',)
    assert answers.addresses('x', frozenset({'c'})) == ('c:2',)
