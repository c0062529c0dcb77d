"""Gradual changes of the shares of a route's work that the regions run."""

import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain import rendezvous
from bulrushcourse_domain.routes import weighted_round_robin

# The bound on the change between consecutive windows of two seconds is
# ``shift_share``. In one second this part of the bound may move, so that two
# such windows differ by 0.4 of the bound.
RAMP_SHARE_PER_S = 0.2
DEFAULT_SHIFT_SHARE = 0.15
MAX_STEP_S = 1.0
# Smaller differences are ignored: each change makes some objects cold, and the
# measured demand always fluctuates.
DEAD_BAND = 0.05
# The region of a request is chosen by its object, so that each object stays in
# one region. These bound how far consecutive requests for the same objects may
# make a region exceed its share.
OBJECT_SLACK_REQUESTS = 3.0
OBJECT_MEMORY_REQUESTS = 30.0
# The same for objects that all regions divide: a request elsewhere is cold,
# and chance alone makes the requests of one VM exceed a share by some.
DIVIDED_SLACK_REQUESTS = 10.0


def move_towards(
    shares: typing.Mapping[str, float],
    target: typing.Mapping[str, float],
    max_increase: float,
    dead_band: float = 0.0,
) -> dict[str, float]:
    """Move shares towards the target by a bounded amount.

    Args:
        shares: Current share of each region; the sum is 1.
        target: Target share of each region; the sum is 1.
        max_increase: Largest sum of all increases.
        dead_band: No share changes if the sum of all increases would be
            smaller.

    Examples:
        >>> move_towards({'a': 1.0}, {'b': 1.0}, 0.25)
        {'a': 0.75, 'b': 0.25}
    """
    regions = sorted(set(shares) | set(target))
    differences = {r: target.get(r, 0.0) - shares.get(r, 0.0) for r in regions}
    increase = sum(d for d in differences.values() if d > 0)
    if increase < dead_band:
        return dict(shares)
    scale = 1.0 if increase <= max_increase else max_increase / increase
    moved = {r: shares.get(r, 0.0) + differences[r] * scale for r in regions}
    return {r: share for r, share in moved.items() if share > 1e-9}


@attrs.define
class RegionMix:
    """Shares of a route's requests at this VM that go to each region.

    Attributes:
        clock: Source of time.
        shift_share: Largest share of the requests that may change region
            from one window of two seconds to the next.
        shares: Current share of each region.
        last_request_at: Time of the last request.
        round_robin: Chooses regions according to the shares.
    """

    clock: clocks.Clock
    shift_share: float = DEFAULT_SHIFT_SHARE
    shares: dict[str, float] = attrs.field(factory=dict)
    last_request_at: float = 0.0
    round_robin: weighted_round_robin.WeightedRoundRobin = attrs.field(
        factory=weighted_round_robin.WeightedRoundRobin
    )

    def choose_region(
        self,
        target: typing.Mapping[str, float],
        usable: typing.Container[str],
        object_key: str = '',
        divided: bool = False,
    ) -> str:
        """Move the shares towards the target and choose a request's region.

        Shares of regions that cannot serve the route go to the others
        immediately.

        Args:
            target: Target shares; at least one is positive.
            usable: Regions that can serve the route.
            object_key: Affinity object of the request, empty for none.
            divided: Whether callers in all regions share the target.
        """
        now = self.clock.monotonic()
        kept = {r: s for r, s in self.shares.items() if r in usable}
        if sum(kept.values()) <= 0:
            self.shares = dict(target)
        else:
            total = sum(kept.values())
            scaled = {r: share / total for r, share in kept.items()}
            elapsed = min(MAX_STEP_S, now - self.last_request_at)
            max_step = elapsed * RAMP_SHARE_PER_S * self.shift_share
            self.shares = move_towards(scaled, target, max_step, DEAD_BAND)
        self.last_request_at = now
        if not object_key:
            return self.round_robin.next_choice(self.shares)
        preferred = rendezvous.choose_weighted(object_key, self.shares)
        return self.round_robin.next_choice(
            self.shares,
            preferred,
            DIVIDED_SLACK_REQUESTS if divided else OBJECT_SLACK_REQUESTS,
            OBJECT_MEMORY_REQUESTS,
        )
