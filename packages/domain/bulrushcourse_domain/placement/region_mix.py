"""The aggregate that bounds how fast a route's work changes region."""

import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain import rendezvous
from bulrushcourse_domain.routes import weighted_round_robin

# Part of the requests that may change region between windows of two seconds
# that moves in one second; two windows then differ by 0.4 of the bound.
RAMP_SHARE = 0.2
USUAL_SHIFT_SHARE = 0.15
LONGEST_STEP_S = 1.0
# Smaller differences are left: each move makes some objects cold, and the
# measured demand is never quite still.
DEAD_BAND = 0.05
# Objects decide the region so that each is kept in one place. These bound
# how far a run of requests for the same objects may pull the shares.
OBJECT_SLACK = 3.0
OBJECT_MEMORY = 30.0


def move_towards(
    shares: typing.Mapping[str, float],
    target: typing.Mapping[str, float],
    most: float,
    dead_band: float = 0.0,
) -> dict[str, float]:
    """Return shares that are closer to the target by a bounded amount.

    Args:
        shares: Present share of each region; the sum is 1.
        target: Wanted share of each region; the sum is 1.
        most: Largest sum of all increases.
        dead_band: Smaller sums of all increases are left out.

    Examples:
        >>> move_towards({'a': 1.0}, {'b': 1.0}, 0.25)
        {'a': 0.75, 'b': 0.25}
    """
    regions = sorted(set(shares) | set(target))
    steps = {r: target.get(r, 0.0) - shares.get(r, 0.0) for r in regions}
    rise = sum(step for step in steps.values() if step > 0)
    if rise < dead_band:
        return dict(shares)
    scale = 1.0 if rise <= most else most / rise
    moved = {r: shares.get(r, 0.0) + steps[r] * scale for r in regions}
    return {r: share for r, share in moved.items() if share > 1e-9}


@attrs.define
class RegionMix:
    """Shares of the regions in one route's requests at this VM.

    Attributes:
        clock: Source of time.
        shift_share: Largest share of the requests that may change region
            from one window of two seconds to the next.
        shares: Present shares.
        at: Time of the last step.
        turns: Which region is next.
    """

    clock: clocks.Clock
    shift_share: float = USUAL_SHIFT_SHARE
    shares: dict[str, float] = attrs.field(factory=dict)
    at: float = 0.0
    turns: weighted_round_robin.WeightedRoundRobin = attrs.field(
        factory=weighted_round_robin.WeightedRoundRobin
    )

    def choose_region(
        self,
        target: typing.Mapping[str, float],
        usable: typing.Container[str],
        object_key: str = '',
    ) -> str:
        """Return the region of the next request and move the shares.

        Shares of regions that cannot serve at all go to the others at once.

        Args:
            target: Wanted shares; some region has a positive one.
            usable: Regions that can serve the route.
            object_key: Object that the request concerns, empty for none.
        """
        now = self.clock.monotonic()
        kept = {r: s for r, s in self.shares.items() if r in usable}
        if sum(kept.values()) <= 0:
            self.shares = dict(target)
        else:
            total = sum(kept.values())
            scaled = {r: share / total for r, share in kept.items()}
            elapsed = min(LONGEST_STEP_S, now - self.at)
            step = elapsed * RAMP_SHARE * self.shift_share
            self.shares = move_towards(scaled, target, step, DEAD_BAND)
        self.at = now
        if not object_key:
            return self.turns.next_choice(self.shares)
        wanted = rendezvous.choose_weighted(object_key, self.shares)
        return self.turns.next_choice(
            self.shares, wanted, OBJECT_SLACK, OBJECT_MEMORY
        )
