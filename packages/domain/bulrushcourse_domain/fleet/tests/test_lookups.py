"""Answers to look-ups are kept for a moment, and no longer."""

from bulrushcourse_domain.fleet import fleet
from bulrushcourse_domain.fleet import lookups
from bulrushcourse_domain.fleet.tests import test_fleet as scenes


def test_vm_that_fell_silent_leaves_the_answers():
    # Guards against a kept answer that outlives the VMs in it.
    known = scenes.ready_fleet(scenes.make('b'))
    answers = lookups.LookupAnswers(known)
    both = answers.addresses('a', frozenset())
    assert set(both) == {'me:2', 'b:2'}
    known.clock.advance(fleet.SILENT_S + 2 * lookups.ANSWER_AGE_S)
    assert answers.addresses('a', frozenset()) == ('me:2',)


def test_answers_differ_by_region_and_homes():
    known = scenes.ready_fleet(scenes.make('b', 'b'), scenes.make('c', 'c'))
    answers = lookups.LookupAnswers(known)
    assert answers.addresses('b', frozenset()) == ('b:2',)
    assert answers.addresses('x', frozenset({'c'})) == ('c:2',)
