"""Deliberately broken variants of the rules on claims.

Each breaks one rule. The trials must find a violation in every one of them;
otherwise they would not notice the same fault in the product.
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

Set = typing.Callable[[typing.Any, str, typing.Any], None]


def without_attempt_id(patch: Set) -> claim_world.World:
    """All attempts have the same identifier."""
    return claim_world.World(make_attempt=lambda: 'same')


def refusal_not_durable(patch: Set) -> claim_world.World:
    """A refusal is told without its row."""

    async def refuse(*args: typing.Any, **options: typing.Any):
        return NOT_RUN

    patch(free_form.FreeFormRuns, 'refuse', refuse)
    return claim_world.World()


def not_run_after_reset(patch: Set) -> claim_world.World:
    """A reset counts as proof that nothing ran."""
    broken = outcomes.UPSTREAM_OUTCOMES | {
        outcomes.UpstreamFact.RESET: outcomes.Outcome.NOT_RUN
    }
    patch(outcomes, 'UPSTREAM_OUTCOMES', broken)
    return claim_world.World()


def not_run_after_any_shed(patch: Set) -> claim_world.World:
    """A shed answer without the pool's header counts as proof."""
    broken = outcomes.UPSTREAM_OUTCOMES | {
        outcomes.UpstreamFact.SHED: outcomes.Outcome.NOT_RUN
    }
    patch(outcomes, 'UPSTREAM_OUTCOMES', broken)
    return claim_world.World()


def forgotten_key_not_run(patch: Set) -> claim_world.World:
    """An issued key that was forgotten is said not to have run."""

    def decline(self, check: issued_keys.KeyCheck) -> outcomes.Reply:
        return NOT_RUN

    patch(issued_runs.IssuedRuns, 'decline', decline)
    return claim_world.World()


@attrs.define
class KeysOfAnyone(issued_keys.IssuedKeys):
    """Runs the keys of other incarnations too."""

    def check_request(
        self, text: str, service: str, digest: str
    ) -> issued_keys.KeyCheck:
        """Treat a key that is not recorded here as new."""
        if text not in self.records:
            self.unused.setdefault(text, self.clock.monotonic() + 1.0)
        return issued_keys.IssuedKeys.check_request(
            self, text, service, digest
        )

    def may_run(self, key: keys.IssuedKey) -> bool:
        """Accept any incarnation."""
        return True


def key_run_by_another(patch: Set) -> claim_world.World:
    """An issued key is run by an incarnation that did not issue it."""
    return claim_world.World(make_keys=KeysOfAnyone)


def lost_claim_taken_as_held(patch: Set) -> claim_world.World:
    """A claim whose write was not answered counts as held."""

    def may_dispatch(stored, row, attempt) -> bool:
        return row is None or row.attempt == attempt

    patch(claims, 'may_dispatch', may_dispatch)
    return claim_world.World()


def digest_not_compared(patch: Set) -> claim_world.World:
    """A key with another body gets the answer of the first body."""

    def meet_record(record, digest) -> issued_keys.KeyCheck:
        if record.reply is None:
            return issued_keys.KeyCheck.RUNNING
        return issued_keys.KeyCheck.FINAL

    patch(issued_keys, '_meet_record', meet_record)
    return claim_world.World()


def anyone_refuses(patch: Set) -> claim_world.World:
    """An attempt refuses a key that another attempt has claimed."""

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
    refusal_not_durable,
    not_run_after_reset,
    not_run_after_any_shed,
    forgotten_key_not_run,
    key_run_by_another,
    lost_claim_taken_as_held,
    digest_not_compared,
    anyone_refuses,
)
