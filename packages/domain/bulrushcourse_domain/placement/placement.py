"""The aggregate that chooses an upstream for a request or refuses it."""

import random
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.placement import connections
from bulrushcourse_domain.placement import service_times
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_domain.upstreams import directory as directories
from bulrushcourse_domain.upstreams import loads
from bulrushcourse_domain.upstreams import trouble
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_domain.upstreams import warmth
from bulrushcourse_domain.upstreams import warmup

# Work at a cold upstream takes about this much longer.
COLD_FACTOR = 2.0
Standing = service_times.Standing

# A request that fails is repeated or lost; its cost in objectives.
FAILURE_COST = 2.0
# A busier upstream is avoided among equals, by this share of the work.
USE_COST = 0.15
# Estimates closer than this share of the objective are a draw, so that VMs
# with the same view do not all pick the same upstream.
DRAW_SHARE = 0.04


@attrs.frozen
class Wish:
    """What a request needs of an upstream.

    Attributes:
        route: The request's route.
        service: Service that shall run it.
        thing: Object that it concerns, empty if it names none.
        region: Region that shall run it, empty for any.
        tried: Upstreams that it was sent to.
    """

    route: routes.Route
    service: str
    thing: str = ''
    region: str = ''
    tried: frozenset[str] = frozenset()


@attrs.frozen
class Choice:
    """An upstream with what is expected of it.

    Attributes:
        upstream: The upstream.
        completion_s: Expected time until its answer.
        work_s: Part of it that is work.
        standing: What it has to do with the object.
        busy: Requests in flight beyond its slots, at least 0.
        cold: Whether it is in its warm-up.
    """

    upstream: upstreams.Upstream
    completion_s: float
    work_s: float
    standing: service_times.Standing
    busy: int
    cold: bool = False


@attrs.define
class Placement:
    """Expected completion of a request at each upstream.

    Attributes:
        clock: Source of time.
        directory: Known upstreams.
        load: Their load.
        troubles: Their failures.
        objects: Objects that they have handled.
        cold: Limits on cold upstreams.
        times: Service times.
        delays: Round trip to each failure domain in seconds.
        rng: Source of randomness for draws.
        sharers: Number of VMs that may use the same upstreams.
    """

    clock: clocks.Clock
    directory: directories.UpstreamDirectory
    load: loads.LoadView
    troubles: trouble.TroubleLog
    objects: warmth.Warmth
    cold: warmup.WarmupLimiter
    times: service_times.ServiceTimes
    delays: typing.Callable[[upstreams.Upstream], float]
    rng: random.Random
    sharers: int = 1

    def choose(self, wish: Wish, service: routes.Service) -> Choice | None:
        """Return the best upstream, ``None`` if there is none.

        Args:
            wish: What the request needs.
            service: The service that shall run it.
        """
        candidates = self._candidates(wish, service)
        if not candidates:
            return None
        choices = [
            self._estimate(wish, upstream, standing)
            for upstream, standing in self._standings(wish, candidates)
        ]
        spread = wish.route.objective_s * DRAW_SHARE

        def rank(choice: Choice) -> float:
            return self._cost(wish, choice) + self.rng.random() * spread

        return min(choices, key=rank)

    def _candidates(
        self, wish: Wish, service: routes.Service
    ) -> list[upstreams.Upstream]:
        allowed_each = connections.allowed_connections(
            service.max_connections, self.sharers
        )
        found = [
            u
            for u in self.directory.usable(wish.service)
            if wish.route.may_run_in(u.region)
            and self.load.own.get(u.name, 0) < allowed_each
            and (not wish.region or u.region == wish.region)
            and u.name not in wish.tried
        ]
        allowed = [
            u
            for u in found
            if not self.directory.is_cold(u.name)
            or self.cold.may_send(u.name, service.warmup_per_s)
        ]
        sound = [u for u in allowed if not self.troubles.is_paused(u.name)]
        # When every upstream looks bad, the fault is more likely to be here.
        return sound or allowed

    def _standings(
        self, wish: Wish, candidates: list[upstreams.Upstream]
    ) -> list[tuple[upstreams.Upstream, Standing]]:
        if not wish.thing:
            return [(u, Standing.NONE) for u in candidates]
        # Upstreams that are set aside or cold for the moment keep their
        # objects, so that these do not move for a short while.
        names = [
            u.name
            for u in self.directory.usable(wish.service)
            if not wish.region or u.region == wish.region
        ]
        first, second = warmth.keepers(wish.thing, names)
        named = {first: Standing.FIRST, second: Standing.SECOND}
        return [
            (u, named.get(u.name) or self._seen(u.name, wish.thing))
            for u in candidates
        ]

    def _seen(self, upstream: str, thing: str) -> Standing:
        known = self.objects.is_warm(upstream, thing)
        return Standing.SEEN if known else Standing.NONE

    def _estimate(
        self, wish: Wish, upstream: upstreams.Upstream, standing: Standing
    ) -> Choice:
        times = self.times.of(
            wish.route.key, wish.service, wish.route.objective_s
        )
        mean = times.expected_s(standing)
        work = mean * self.load.expected_slowness(upstream.name)
        cold = self.directory.is_cold(upstream.name)
        if cold:
            work *= COLD_FACTOR
        in_flight = self.load.in_flight(upstream.name)
        busy = max(0, in_flight + 1 - upstream.slots)
        wait = busy * times.usual_s / upstream.slots
        completion = self.delays(upstream) + wait + work
        return Choice(upstream, completion, work, standing, busy, cold)

    def _cost(self, wish: Wish, choice: Choice) -> float:
        upstream = choice.upstream
        failing = self.troubles.failure_share(upstream.name)
        use = self.load.in_flight(upstream.name) / upstream.slots
        displaced = 0.0
        if wish.thing and choice.standing is not Standing.FIRST:
            times = self.times.of(
                wish.route.key, wish.service, wish.route.objective_s
            )
            displaced = times.displacement_s()
        return (
            choice.completion_s
            + displaced
            + failing * FAILURE_COST * wish.route.objective_s
            + min(1.0, use) * USE_COST * choice.work_s
        )
