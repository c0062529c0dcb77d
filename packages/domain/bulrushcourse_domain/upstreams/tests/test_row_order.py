"""The newest row of an upstream counts, in whichever order rows arrive."""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.store import store_era as store_eras
from bulrushcourse_domain.upstreams import directory as directories
from bulrushcourse_domain.upstreams import row_expiry
from bulrushcourse_domain.upstreams import row_order
from bulrushcourse_domain.upstreams import upstream as upstreams

READ_S = 0.7
READY = upstreams.Upstream('u', 's', 'h:1', 'd', 'r', 4, born=5, sequence=7)
DRAINING = attrs.evolve(READY, draining=True, sequence=8)


def new_directory():
    clock = clocks.ManualClock(100.0)
    return directories.UpstreamDirectory(
        clock, store_eras.StoreEra(clock, 3.0)
    )


def read(directory, *rows, after_s=READ_S):
    """Apply a read of the store with these rows."""
    directory.clock.advance(after_s)
    version = directory.position.version + 1
    return directory.apply_snapshot(
        upstreams.Snapshot(
            version, tuple(attrs.evolve(row, version=version) for row in rows)
        )
    )


def tell(sender, receiver):
    """Pass on changes and states, as a report does."""
    receiver.apply_states(sender.states_of_held_back())
    base = receiver.exact_position
    return receiver.apply_delta(sender.delta_since(base))


def is_used(directory):
    return 'u' in {u.name for u in directory.candidates.usable('s')}


@pytest.mark.parametrize(
    'late',
    [READY, attrs.evolve(READY, born=4, sequence=90)],
    ids=['sequence', 'born'],
)
def test_stale_row_does_not_revive_a_draining_upstream(late):
    # Guards against requests to an upstream whose leaving was acknowledged
    # (review/14).
    directory = new_directory()
    read(directory, READY)
    read(directory, DRAINING)
    assert not is_used(directory)
    assert read(directory, late) == ()
    assert not is_used(directory)


@pytest.mark.parametrize('sequence', [6, 7, 8])
def test_row_from_before_a_removal_does_not_bring_the_upstream_back(sequence):
    # Guards against the last row of an upstream that is performed once more,
    # and that no VM may have read before.
    directory = new_directory()
    read(directory, READY)
    read(directory)
    late = attrs.evolve(READY, sequence=sequence)
    for _ in range(5):
        read(directory, late)
        assert not is_used(directory)


def test_upstream_that_was_silent_is_used_after_its_second_row():
    # Guards against upstreams that stay out of use after a cut.
    directory, other = new_directory(), new_directory()
    read(directory, READY)
    tell(directory, other)
    read(directory)
    tell(directory, other)
    for sequence, expected in ((11, False), (11, False), (12, True)):
        read(directory, attrs.evolve(READY, sequence=sequence))
        tell(directory, other)
        assert [is_used(d) for d in (directory, other)] == [expected] * 2


def test_later_start_counts_at_once():
    # Guards against an upstream that started again and has to prove itself.
    directory = new_directory()
    read(directory, READY)
    read(directory)
    read(directory, attrs.evolve(READY, born=6, sequence=1))
    assert is_used(directory)


def test_start_with_a_clock_set_back_counts_once_it_goes_on():
    # Guards against an upstream that is never used again, since its clock was
    # stepped back before it started.
    directory = new_directory()
    read(directory, READY)
    read(directory, DRAINING)
    for sequence in (1, 1, 2, 2):
        read(directory, attrs.evolve(READY, born=3, sequence=sequence))
    assert is_used(directory)
    assert directory.by_name['u'].born == 3


def test_two_late_rows_of_an_earlier_process_do_not_count():
    # Guards against rows that were held up together and arrive in one moment.
    directory = new_directory()
    read(directory, attrs.evolve(READY, born=6, draining=True))
    for sequence in (90, 91):
        read(directory, attrs.evolve(READY, sequence=sequence), after_s=0.1)
    assert not is_used(directory)


@pytest.mark.parametrize('unknown', ['sequence', 'born'])
def test_rows_without_a_stamp_count_as_they_were_written(unknown):
    # Guards against rows of other writers, or VMs of earlier versions, whose
    # changes would have no effect.
    directory = new_directory()
    for row, expected in ((READY, True), (DRAINING, False), (READY, True)):
        read(directory, attrs.evolve(row, **{unknown: 0}))
        assert is_used(directory) == expected


def test_upstream_that_expired_in_an_outage_is_back_with_its_first_row():
    # Guards against a delay of all upstreams after each outage of the store.
    directory = new_directory()
    read(directory, READY)
    directory.mark_store_unavailable()
    read(directory)
    directory.clock.advance(row_expiry.EXPIRY_GRACE_S)
    directory.remove_expired()
    assert not is_used(directory)
    read(directory, attrs.evolve(READY, sequence=11))
    assert is_used(directory)


def test_upstream_whose_row_was_unreadable_is_back_with_its_next_row():
    # Guards against a longer loss of upstreams whose row another writer has
    # overwritten.
    directory, other = new_directory(), new_directory()
    read(directory, READY)
    tell(directory, other)
    directory.clock.advance(READ_S)
    directory.apply_snapshot(
        upstreams.Snapshot(
            directory.position.version + 1, (), unreadable=frozenset('u')
        )
    )
    tell(directory, other)
    assert not is_used(directory) and not is_used(other)
    read(directory, attrs.evolve(READY, sequence=8))
    tell(directory, other)
    assert is_used(directory) and is_used(other)


@pytest.mark.parametrize('latest', [DRAINING, None], ids=['draining', 'gone'])
def test_vm_that_starts_learns_why_others_hold_a_row_back(latest):
    # Guards against a VM that knows only the late row, and tells it others.
    informed, started = new_directory(), new_directory()
    read(informed, READY)
    read(informed, *filter(None, [latest]))
    read(informed, READY)
    read(started, READY)
    read(started, READY)
    assert is_used(started)
    tell(informed, started)
    assert not is_used(started)
    tell(started, informed)
    read(started, READY)
    assert not is_used(started) and not is_used(informed)


def test_late_knowledge_of_a_removal_does_not_stop_an_upstream_that_lives():
    # Guards against a VM that knows of a removal, not of the rows after it.
    late, present = new_directory(), new_directory()
    for directory in (late, present):
        read(directory, READY)
        read(directory)
    for sequence in (11, 12, 13):
        read(present, attrs.evolve(READY, sequence=sequence))
    read(late, attrs.evolve(READY, sequence=13))
    present.apply_states(late.states_of_held_back())
    assert is_used(present)


def test_rows_that_are_removed_are_held_back_no_longer():
    # Guards against reports and logs that name them for ever.
    directory = new_directory()
    read(directory, READY)
    read(directory)
    read(directory, READY)
    assert len(directory.states_of_held_back()) == 1
    read(directory)
    assert directory.states_of_held_back() == ()


def test_tombstones_are_bounded():
    order = row_order.RowOrder(clocks.ManualClock())
    for number in range(row_order.MAX_TOMBSTONES + 5):
        order.record_removal(attrs.evolve(READY, name=f'u{number}'))
    assert len(order.tombstones) == row_order.MAX_TOMBSTONES


@given(strategies.permutations(range(6)), strategies.integers(1, 6))
def test_no_order_of_late_rows_changes_the_newest_one(order, last):
    # Guards against orders of late writes that no other test plays.
    rows = [
        attrs.evolve(READY, sequence=n + 1, draining=n >= 4, slots=n + 1)
        for n in range(6)
    ]
    directory = new_directory()
    read(directory, rows[0])
    applied = 0
    for number in order[:last]:
        read(directory, rows[number])
        applied = max(applied, number)
        assert directory.by_name['u'] == rows[applied]
