"""Repetition of calls to the store that may have gone silent."""

import hypothesis
import pytest
from hypothesis import strategies

from bulrushcourse_domain.membership import feed_poll


@hypothesis.given(
    started=strategies.floats(0.0, 100.0),
    waited_s=strategies.floats(0.0, 20.0),
    reconnect_s=strategies.floats(1.0, 30.0),
)
def test_suspected_call_is_repeated_neither_at_once_nor_late(
    started, waited_s, reconnect_s
):
    # Guards against a call that is repeated while its answer is on its way,
    # and against hints that repeat the call without a bound on the rate.
    poll = feed_poll.FeedPoll(started, reconnect_s, is_reader=False)
    suspected = started + waited_s
    abandoned = poll.abandon_at(suspected)
    assert abandoned >= suspected + feed_poll.ANSWER_MARGIN_S
    assert abandoned >= started + reconnect_s * feed_poll.MIN_AGE_SHARE
    assert abandoned <= suspected + reconnect_s / 2


@pytest.mark.parametrize('reconnect_s', [3.0, 4.0, 10.0])
def test_wait_of_a_reader_follows_the_agreed_bound(reconnect_s):
    # Guards against waits that do not depend on the agreed bounds.
    polls = [
        feed_poll.FeedPoll(0.0, reconnect_s, is_reader)
        for is_reader in (True, False)
    ]
    assert [poll.wait_s for poll in polls] == [2 * reconnect_s, 20.0]
