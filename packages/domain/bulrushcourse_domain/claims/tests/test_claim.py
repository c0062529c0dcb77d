"""Tests of claim rows."""

import pytest

from bulrushcourse_domain.claims import claim as claims
from bulrushcourse_domain.claims import outcomes

ANSWER = outcomes.Answer(200, (), b'x')
STATES = {
    outcomes.Outcome.DONE: claims.ClaimState.DONE,
    outcomes.Outcome.NOT_RUN: claims.ClaimState.REFUSED,
    outcomes.Outcome.UNKNOWN: claims.ClaimState.UNKNOWN,
}


def finish(claim, outcome):
    answer = ANSWER if outcome is outcomes.Outcome.DONE else None
    return claim.finish('a1', outcome, 5.0, answer)


@pytest.mark.parametrize('outcome', STATES)
def test_outcome_of_a_claim_is_final(outcome):
    """Guards against an outcome that changes after it was reported."""
    finished = finish(claims.open_claim('a1', 'd', 0.0), outcome)
    assert finished.state is STATES[outcome]
    assert finished.reply().outcome is outcome
    for other in STATES:
        with pytest.raises(claims.ClaimError):
            finish(finished, other)


def test_refused_key_is_final_for_every_attempt():
    """Guards against a run after ``not-run`` was reported."""
    row = claims.refused_claim('a1', 'd', 0.0)
    for attempt in ('a1', 'a2'):
        assert row.check_attempt(attempt, 'd') is claims.AttemptCheck.FINAL
        for write_result in outcomes.StoreWriteResult:
            if write_result is not outcomes.StoreWriteResult.COMMITTED:
                assert not claims.may_dispatch(write_result, row, attempt)


def test_claimed_row_proves_nothing_to_other_attempts():
    """Guards against ``not-run`` while the claiming attempt may resume."""
    row = claims.open_claim('a1', 'd', 0.0)
    reply = claims.refusal_reply(outcomes.StoreWriteResult.CONFLICT, row)
    assert reply.outcome is outcomes.Outcome.UNKNOWN


def test_answer_is_required_exactly_when_done():
    """Guards against answers without a run and runs without an answer."""
    row = claims.open_claim('a1', 'd', 0.0)
    with pytest.raises(claims.ClaimError):
        row.finish('a1', outcomes.Outcome.DONE, 1.0)
    with pytest.raises(claims.ClaimError):
        row.finish('a1', outcomes.Outcome.NOT_RUN, 1.0, ANSWER)


def test_rows_outlive_late_retries():
    """Guards against a refusal written after the row was deleted."""
    row = claims.open_claim('a1', 'd', 0.0)
    done = finish(row, outcomes.Outcome.DONE)
    assert done.expires_at() >= 5.0 + claims.RETENTION_S + 300.0
    assert row.expires_at() > done.expires_at()
