"""Tests of look-up answers."""

import collections

import hypothesis
from hypothesis import strategies

from bulrushcourse_domain.membership import lookup
from bulrushcourse_domain.membership import member

CALLERS = [f'10.{i >> 8}.{i & 255}.7' for i in range(4000)]


def entries(number, region='north'):
    return tuple(
        member.MemberInfo(
            f'{region}-{i}',
            f'i{i}',
            f'vm-{i}',
            region,
            failure_domain=f'{region}-{"ab"[i % 2]}',
        )
        for i in range(number)
    )


@hypothesis.given(
    strategies.integers(2, 12), strategies.integers(0, 11), strategies.data()
)
@hypothesis.settings(derandomize=True, max_examples=25, deadline=None)
def test_only_callers_of_a_lost_entry_move(number, lost, data):
    """Guards against a restart that moves callers of other entries."""
    all_entries = entries(number)
    lost %= number
    before = lookup.Lookup(all_entries)
    after = lookup.Lookup(all_entries[:lost] + all_entries[lost + 1 :])
    for caller in data.draw(strategies.sets(strategies.sampled_from(CALLERS))):
        first = before.answer(caller, 'north')[0]
        if first is not all_entries[lost]:
            assert after.answer(caller, 'north')[0] is first


def test_callers_are_spread_evenly():
    """Guards against an entry with far more callers than another."""
    answers = lookup.Lookup(entries(4))
    counts = collections.Counter(
        answers.answer(caller, 'north')[0].entry for caller in CALLERS
    )
    mean = len(CALLERS) / 4
    assert len(counts) == 4
    assert all(0.85 < count / mean < 1.15 for count in counts.values())


def test_callers_of_a_lost_entry_spread_over_the_others():
    """Guards against all callers of a lost entry moving to one other."""
    answers = lookup.Lookup(entries(6))
    seconds = collections.Counter(
        answers.answer(caller, 'north')[1].entry
        for caller in CALLERS
        if answers.answer(caller, 'north')[0].entry == 'north-0'
    )
    # The second choice is in the other failure domain, which has three.
    assert set(seconds) == {'north-1', 'north-3', 'north-5'}


def test_answers_end_with_other_regions_nearest_first():
    """Guards against callers without an entry when a whole region fails."""
    all_entries = entries(4) + entries(2, 'east') + entries(2, 'west')
    answers = lookup.Lookup(all_entries, {'north': ('west', 'east')})
    found = answers.answer('10.0.0.1', 'north')
    assert [m.region for m in found] == ['north'] * 3 + ['west', 'east']
    assert found[0].failure_domain != found[1].failure_domain


def test_unknown_region_and_no_members_are_answered():
    """Guards against errors for callers in no prefix, or without members."""
    assert lookup.Lookup(()).answer('10.0.0.1', 'north') == ()
    found = lookup.Lookup(entries(2)).answer('10.0.0.1', '')
    assert len(found) == 2
