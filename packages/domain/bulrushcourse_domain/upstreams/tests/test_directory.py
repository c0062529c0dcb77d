"""The directory knows which upstreams may get requests."""

import attrs
from hypothesis import given
from hypothesis import strategies

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.upstreams import directory as directories
from bulrushcourse_domain.upstreams import upstream as upstreams


def make(name='u', **changes):
    usual = upstreams.Upstream(name, 's', '1.2.3.4:5', 'd', 'r', 4, born=1)
    return attrs.evolve(usual, **changes)


def directory():
    return directories.UpstreamDirectory(clocks.ManualClock())


def names(known):
    return {entry.name for entry in known.usable('s')}


def test_draining_missing_and_evacuated_upstreams_are_not_usable():
    known = directory()
    known.apply_snapshot(
        upstreams.Snapshot(
            1,
            (
                make('ready'),
                make('leaving', draining=True),
                make('lost'),
                make('there', failure_domain='e'),
            ),
        )
    )
    known.evacuate(frozenset({'e'}), 3.0)
    known.apply_snapshot(
        upstreams.Snapshot(2, (make('ready'), make('leaving', draining=True)))
    )
    assert names(known) == {'ready'}


def test_old_reading_changes_nothing():
    # Guards against a store that answers with old rows after a failure.
    known = directory()
    known.apply_snapshot(upstreams.Snapshot(5, (make(draining=True),)))
    assert known.apply_snapshot(upstreams.Snapshot(4, (make(),))) == ()
    assert names(known) == set()


def test_lapsed_entries_are_kept_for_the_grace_after_an_outage_only():
    known = directory()
    known.apply_snapshot(upstreams.Snapshot(1, (make(),)))
    known.mark_store_unavailable()
    known.apply_snapshot(upstreams.Snapshot(2, ()))
    assert names(known) == {'u'}
    known.clock.advance(directories.LAPSE_GRACE_S)
    known.apply_snapshot(upstreams.Snapshot(3, ()))
    assert names(known) == set()


def test_few_missing_entries_after_an_outage_were_removed():
    # Guards against requests to an upstream that left while only this VM was
    # cut off from the store: it was kept like entries that lapse while the
    # store is away for all, 3 s after the VM was back in touch.
    known = directory()
    listed = [make(f'u{number}') for number in range(6)]
    other = make('x', service='t')
    known.apply_snapshot(upstreams.Snapshot(1, (*listed, other)))
    known.mark_store_unavailable()
    known.apply_snapshot(upstreams.Snapshot(2, tuple(listed[1:])))
    assert names(known) == {u.name for u in listed[1:]}
    # All of a service's entries are missing: those lapsed.
    assert [u.name for u in known.usable('t')] == ['x']


def test_restart_under_the_same_name_is_told():
    # Guards against taking a fresh process for the one that was warm.
    known = directory()
    known.apply_snapshot(upstreams.Snapshot(1, (make(),)))
    changes = known.apply_snapshot(upstreams.Snapshot(2, (make(born=2),)))
    assert [change.kind for change in changes] == ['restarted']


def test_upstream_is_cold_while_it_says_so_and_after_an_evacuation():
    known = directory()
    known.apply_snapshot(upstreams.Snapshot(1, (make(cold_for_s=2.0),)))
    assert known.is_cold('u')
    known.clock.advance(2.0 + directories.WARMUP_MARGIN_S)
    assert not known.is_cold('u')
    known.evacuate(frozenset({'d'}), 3.0)
    assert not known.is_cold('u')
    known.evacuate(frozenset(), 3.0)
    assert known.is_cold('u')


READINGS = strategies.lists(
    strategies.dictionaries(
        strategies.sampled_from('abc'), strategies.booleans()
    ),
    min_size=1,
    max_size=8,
)


@given(READINGS, strategies.data())
def test_news_bring_a_peer_to_the_same_entries(readings, data):
    # Guards against a VM that misses a change when it is told by another.
    reader, told = directory(), directory()
    known = 0
    for version, states in enumerate(readings, 1):
        listed = tuple(make(n, draining=d) for n, d in states.items())
        reader.apply_snapshot(upstreams.Snapshot(version, listed))
        if data.draw(strategies.booleans()) or version == len(readings):
            told.apply_delta(reader.delta_since(known))
            known = reader.version
    assert told.entries == reader.entries


@given(READINGS, strategies.sets(strategies.sampled_from(['d', 'e'])))
def test_usable_upstreams_follow_each_change(readings, evacuated):
    # Guards against an answer that is kept over a change of the entries.
    known = directory()
    for version, states in enumerate(readings, 1):
        listed = tuple(make(n, draining=d) for n, d in states.items())
        known.apply_snapshot(upstreams.Snapshot(version, listed))
        usable = {u.name for u in known.usable('s')}
        assert usable == {n for n, draining in states.items() if not draining}
        assert set(known.preferred('s', '', 'object')) <= usable
    known.evacuate(frozenset(evacuated), 1.0)
    assert {u.name for u in known.usable('s')} == {
        u.name
        for u in known.entries.values()
        if not u.draining and u.failure_domain not in evacuated
    }


def test_news_on_an_unknown_base_are_ignored():
    reader, told = directory(), directory()
    reader.apply_snapshot(upstreams.Snapshot(4, (make('a'),)))
    reader.apply_snapshot(upstreams.Snapshot(7, (make('a'), make('b'))))
    assert told.apply_delta(reader.delta_since(5)) == ()
    assert told.version == 0
