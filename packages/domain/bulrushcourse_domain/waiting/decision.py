"""Decision whether a request is sent, waits for room or is refused.

Answers an overload in which some requests are worth more to their callers
than others. When there is room, every request is sent at once.
"""

import enum

import attrs

from bulrushcourse_domain.placement import admission
from bulrushcourse_domain.placement import placement
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_domain.waiting import pressure
from bulrushcourse_domain.waiting import standing_queue
from bulrushcourse_domain.waiting import waiting_room

# Longest wait, as a share of the objective. Beyond it, room at another VM or a
# later return is more likely to help.
MAX_HOLD_SHARE = 0.25
# How far a request that misses its objective in any case yields to those of
# its rank that can still meet theirs, relative to the yield by rank.
LATE_YIELD = 0.5


class Action(enum.Enum):
    """What happens to a request."""

    SEND = 'send'
    WAIT = 'wait'
    NO_UPSTREAM = 'no-upstream'
    TOO_LATE = 'too-late'


_UNLESS_SENT = {
    admission.Verdict.NO_UPSTREAM: Action.NO_UPSTREAM,
    admission.Verdict.TOO_LATE: Action.TOO_LATE,
    # The queue is too long now, but a place in it may become free.
    admission.Verdict.FULL: Action.WAIT,
}


@attrs.frozen
class Demand:
    """What is known about a request when it is decided on.

    Attributes:
        route: Its route.
        elapsed_s: Seconds since it arrived.
        remaining_s: Seconds until its deadline.
        typical_work_s: Mean service time of the requests of its pool.
        level: Pressure on the requests of its priority.
        overuse: Use by its account as a multiple of its fair share.
    """

    route: routes.Route
    elapsed_s: float
    remaining_s: float
    typical_work_s: float
    level: pressure.Level = pressure.Level()
    overuse: float = 1.0


def decide(
    choice: placement.Choice | None,
    load: standing_queue.UpstreamLoad,
    demand: Demand,
) -> Action:
    """Decide what happens to a request.

    Args:
        choice: The best upstream, ``None`` if there is none.
        load: Load of that upstream.
        demand: The request.
    """
    verdict = admission.admit(
        choice, demand.route, demand.elapsed_s, demand.remaining_s
    )
    if verdict is not admission.Verdict.SEND:
        return _UNLESS_SENT[verdict]
    limit = room_limit(choice, demand)
    return Action.SEND if load.excess < limit else Action.WAIT


def room_limit(choice: placement.Choice, demand: Demand) -> float:
    """Return the excess of an upstream up to which a request is sent.

    Args:
        choice: The upstream.
        demand: The request.
    """
    slots = choice.upstream.slots
    limit = standing_queue.queue_limit(
        slots, demand.typical_work_s, demand.route.objective_s
    )
    share = max(
        1.0 - 1.0 / max(1.0, demand.overuse),
        _yield_by_rank_and_gain(choice, demand),
    )
    return standing_queue.yielding_limit(limit, slots, share)


def _yield_by_rank_and_gain(choice: placement.Choice, demand: Demand) -> float:
    """Return how far a request yields to those that need the room more."""
    level = demand.level
    if level.is_starved:
        return 0.0
    by_rank = standing_queue.yielded_share(level.urgent_share)
    expected_s = demand.elapsed_s + _needed_s(choice, demand)
    if expected_s <= demand.route.objective_s:
        return by_rank
    return max(
        by_rank,
        LATE_YIELD * standing_queue.yielded_share(level.share_to_rank),
    )


def _needed_s(choice: placement.Choice, demand: Demand) -> float:
    """Return the expected time from sending to the response without queue."""
    wait_s = choice.queued * demand.typical_work_s / choice.upstream.slots
    return max(choice.work_s, choice.completion_s - wait_s)


def make_entry(  # noqa: PLR0913
    pool: waiting_room.Pool,
    choice: placement.Choice,
    demand: Demand,
    priority: int,
    tag: float,
    now: float,
    body_size: int,
) -> waiting_room.Entry:
    """Return the entry of a request that waits.

    Args:
        pool: Service and region that must run it.
        choice: Its best upstream at present.
        demand: The request.
        priority: Its priority.
        tag: Its tag of fair queueing.
        now: The time.
        body_size: Bytes of its body.
    """
    objective_s = demand.route.objective_s
    needed_s = _needed_s(choice, demand)
    objective_until = now + objective_s - demand.elapsed_s - needed_s
    deadline_until = (
        now + demand.remaining_s * admission.DEADLINE_SHARE - needed_s
    )
    # A request that misses its objective waits for the next counts of the
    # other VMs, which may show room for a late response.
    useful_s = max(objective_until - now, standing_queue.COUNTS_AGE_S)
    hold_s = min(useful_s, MAX_HOLD_SHARE * objective_s)
    return waiting_room.Entry(
        pool,
        priority,
        tag,
        now,
        objective_until,
        deadline_until,
        min(now + hold_s, deadline_until),
        waiting_room.ENTRY_BYTES + body_size,
    )
