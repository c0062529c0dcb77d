"""Deliberately broken variants of the code for claims.

Each variant violates one rule. The trials must find a violation in each of
them; otherwise they would miss the same fault in production code.
"""

import typing

import attrs

from bulrushcourse_domain.claims import claim as claims
from bulrushcourse_domain.claims import issued_keys
from bulrushcourse_domain.claims import keys
from bulrushcourse_domain.claims import outcomes
from bulrushcourse_entry.claims import free_form
from bulrushcourse_entry.claims import issued_runs
from bulrushcourse_testkit.claims import world as claim_world

NOT_RUN = outcomes.Reply(outcomes.Outcome.NOT_RUN, 'broken')

Patch = typing.Callable[[typing.Any, str, typing.Any], None]


def without_attempt_id(patch: Patch) -> claim_world.World:
    """Give all attempts the same identifier."""
    return claim_world.World(make_attempt=lambda: 'same')


def refusal_not_written(patch: Patch) -> claim_world.World:
    """Refuse a request without writing the refusal to the store."""

    async def refuse(*args: typing.Any, **options: typing.Any):
        return NOT_RUN

    patch(free_form.FreeFormRuns, 'refuse', refuse)
    return claim_world.World()


def not_run_after_reset(patch: Patch) -> claim_world.World:
    """Take a connection reset as proof that the request did not run."""
    broken = outcomes.UPSTREAM_OUTCOMES | {
        outcomes.DispatchResult.RESET: outcomes.Outcome.NOT_RUN
    }
    patch(outcomes, 'UPSTREAM_OUTCOMES', broken)
    return claim_world.World()


def not_run_after_any_shed(patch: Patch) -> claim_world.World:
    """Take a shed response without the not-run header as proof."""
    broken = outcomes.UPSTREAM_OUTCOMES | {
        outcomes.DispatchResult.SHED: outcomes.Outcome.NOT_RUN
    }
    patch(outcomes, 'UPSTREAM_OUTCOMES', broken)
    return claim_world.World()


def forgotten_key_is_not_run(patch: Patch) -> claim_world.World:
    """Report ``not-run`` for an issued key whose record was removed."""

    def decline(self, check: issued_keys.KeyCheck) -> outcomes.Reply:
        return NOT_RUN

    patch(issued_runs.IssuedRuns, 'decline', decline)
    return claim_world.World()


@attrs.define
class AnyIncarnationKeys(issued_keys.IssuedKeys):
    """Issued keys that also run keys of other incarnations."""

    def check_request(
        self, text: str, service: str, digest: str
    ) -> issued_keys.KeyCheck:
        """Treat a key without a record as unused."""
        if text not in self.records:
            self.unused.setdefault(text, self.clock.monotonic() + 1.0)
        return issued_keys.IssuedKeys.check_request(
            self, text, service, digest
        )

    def may_run(self, key: keys.IssuedKey) -> bool:
        """Accept keys of all incarnations."""
        return True


def key_run_by_other_incarnation(patch: Patch) -> claim_world.World:
    """Run an issued key in an incarnation that did not issue it."""
    return claim_world.World(make_keys=AnyIncarnationKeys)


def unconfirmed_claim_is_held(patch: Patch) -> claim_world.World:
    """Take a claim as held although its write was not confirmed."""

    def may_dispatch(stored, row, attempt) -> bool:
        return row is None or row.attempt == attempt

    patch(claims, 'may_dispatch', may_dispatch)
    return claim_world.World()


def digest_not_compared(patch: Patch) -> claim_world.World:
    """Return the answer to the first body for a key with another body."""

    def check_record(record, digest) -> issued_keys.KeyCheck:
        if record.reply is None:
            return issued_keys.KeyCheck.RUNNING
        return issued_keys.KeyCheck.FINAL

    patch(issued_keys, '_meet_record', check_record)
    return claim_world.World()


def refusal_by_other_attempt(patch: Patch) -> claim_world.World:
    """Let an attempt refuse a key that another attempt has claimed."""

    def finish(self, attempt, outcome, now, answer=None):
        state = claims.TRANSITIONS[claims.ClaimState.CLAIMED, outcome]
        return attrs.evolve(self, state=state, answer=answer)

    def check_attempt(self, attempt, digest) -> claims.AttemptCheck:
        if self.state is claims.ClaimState.CLAIMED:
            return claims.AttemptCheck.OWN
        return claims.AttemptCheck.FINAL

    patch(claims.Claim, 'finish', finish)
    patch(claims.Claim, 'check_attempt', check_attempt)
    return claim_world.World()


VARIANTS = (
    without_attempt_id,
    refusal_not_written,
    not_run_after_reset,
    not_run_after_any_shed,
    forgotten_key_is_not_run,
    key_run_by_other_incarnation,
    unconfirmed_claim_is_held,
    digest_not_compared,
    refusal_by_other_attempt,
)
