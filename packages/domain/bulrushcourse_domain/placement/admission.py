"""Admission of requests, and Retry-After delays for those refused."""

import enum
import random

import attrs

from bulrushcourse_domain.placement import placement
from bulrushcourse_domain.routes import route as routes

# A request that is expected to need more than this share of its remaining
# time would most likely miss its deadline.
DEADLINE_SHARE = 0.8
# Clients honour a Retry-After delay of at most a third of their remaining
# time.
MAX_RETRY_AFTER_SHARE = 0.3
# Lower bound of the longest Retry-After delay.
MIN_RETRY_AFTER_S = 0.05
# Maximum sum of the elapsed time and the expected wait in the queue, as a
# multiple of the route's latency objective.
MAX_WAIT_RATIO = 1.5


class Verdict(enum.Enum):
    """Decision whether a request is sent, or why it is refused."""

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
    """Decide whether a request is sent to its chosen upstream.

    Args:
        choice: The chosen upstream, ``None`` if there is none.
        route: Route of the request.
        elapsed_s: Seconds since the request arrived.
        remaining_s: Seconds until its deadline.
    """
    if choice is None:
        return Verdict.NO_UPSTREAM
    # At a free slot only the service time is uncertain. If the estimate alone
    # led to a refusal, no measurement could ever correct it.
    needed_s = choice.completion_s - (0.0 if choice.queued else choice.work_s)
    if needed_s > remaining_s * DEADLINE_SHARE:
        return Verdict.TOO_LATE
    wait_s = choice.completion_s - choice.work_s
    if choice.queued and wait_s + elapsed_s > (
        MAX_WAIT_RATIO * route.objective_s
    ):
        return Verdict.FULL
    return Verdict.SEND


@attrs.define
class RetryAfterSampler:
    """Samples Retry-After delays, so that clients don't all retry together.

    Attributes:
        rng: Source of randomness.
    """

    rng: random.Random

    def sample(self, remaining_s: float) -> float:
        """Return a random delay in seconds after which a client may retry.

        Args:
            remaining_s: Seconds until the client's deadline.
        """
        longest_s = max(MIN_RETRY_AFTER_S, remaining_s * MAX_RETRY_AFTER_SHARE)
        return self.rng.uniform(longest_s / 3, longest_s)
