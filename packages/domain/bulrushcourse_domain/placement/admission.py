"""Which requests are served, and when refused ones may come back."""

import enum
import random

import attrs

from bulrushcourse_domain.placement import placement
from bulrushcourse_domain.routes import route as routes

# A request that is expected to end later than this share of its remaining
# time would most likely be lost at its deadline.
DEADLINE_SHARE = 0.8
# Clients wait for at most a third of their remaining time.
LONGEST_RETRY_SHARE = 0.3
SHORTEST_RETRY_S = 0.05
# The queue of an upstream is used up to this many objectives of waiting.
QUEUE_OBJECTIVES = 1.5


class Verdict(enum.Enum):
    """What happens to a request."""

    SEND = 'send'
    NO_UPSTREAM = 'no-upstream'
    TOO_LATE = 'too-late'
    FULL = 'full'


def admit(
    choice: placement.Choice | None,
    route: routes.Route,
    elapsed_s: float,
    remaining_s: float,
) -> Verdict:
    """Return whether a request is sent to the best upstream.

    Args:
        choice: The best upstream, if there is one.
        route: Route of the request.
        elapsed_s: Time since it arrived.
        remaining_s: Time until it is of no use.
    """
    if choice is None:
        return Verdict.NO_UPSTREAM
    # With a free slot, the work itself is all that is uncertain. Refusing
    # on an estimate alone could never be corrected by a measurement.
    needed = choice.completion_s - (0.0 if choice.busy else choice.work_s)
    if needed > remaining_s * DEADLINE_SHARE:
        return Verdict.TOO_LATE
    waited = choice.completion_s - choice.work_s
    if choice.busy and waited + elapsed_s > (
        QUEUE_OBJECTIVES * route.objective_s
    ):
        return Verdict.FULL
    return Verdict.SEND


@attrs.define
class RetryAfterSampler:
    """Times to come back that spread the returns of refused requests.

    Attributes:
        rng: Source of randomness.
    """

    rng: random.Random

    def sample(self, remaining_s: float) -> float:
        """Return the seconds after which a client may return.

        Args:
            remaining_s: Time that the client has left.
        """
        longest = max(SHORTEST_RETRY_S, remaining_s * LONGEST_RETRY_SHARE)
        return self.rng.uniform(longest / 3, longest)
