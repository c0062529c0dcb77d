"""Upstreams with slots, queues and memory for objects, on virtual time."""

import collections
import random
import typing

import attrs

from bulrushcourse_domain.routes import route as routes
from bulrushcourse_domain.upstreams import loads
from bulrushcourse_domain.upstreams import upstream as upstreams


@attrs.frozen
class Work:
    """Work of the requests of one route.

    Attributes:
        route: Name of the route.
        service: Service that runs the requests.
        per_s: Requests per second over all regions.
        objects: Number of distinct objects, asked for equally often.
        work_s: Mean service time of a cold object in seconds.
        aim_s: Latency objective in seconds.
        timeout_s: Time after which a request is given up.
        warm_ratio: Service time of a warm object, relative to a cold one.
        spread: Standard deviation of the logarithm of the service time.
        tail_share: Share of the requests that are ``tail_factor`` longer.
        tail_factor: Factor on their service time.
        idempotent: Whether a request may be hedged.
        local: Whether each region's callers ask for objects of their own.
    """

    route: str
    service: str
    per_s: float
    objects: int
    work_s: float
    aim_s: float
    timeout_s: float
    warm_ratio: float = 0.3
    spread: float = 0.15
    tail_share: float = 0.03
    tail_factor: float = 7.0
    idempotent: bool = True
    local: bool = True

    def to_route(self) -> routes.Route:
        """Return the route with these properties."""
        return routes.Route(
            self.route,
            '/',
            (routes.WeightedService(self.service),),
            idempotent=self.idempotent,
            timeout_s=self.timeout_s,
            objective_s=self.aim_s,
            max_attempts=3,
            affinity=True,
        )


@attrs.frozen
class Pool:
    """Upstreams of one service.

    Attributes:
        service: Name of the service.
        counts: Number of upstreams by region.
        keeps: Number of objects that each keeps in memory.
        slots: Requests that each runs concurrently.
        queue: Requests that each holds beyond its slots.
        noise_share: Share of the time in which one is slower.
        noise_factor: Factor on the service time in that time.
        noise_s: Duration of one slow or normal period.
    """

    service: str
    counts: typing.Mapping[str, int]
    keeps: int
    slots: int = 3
    queue: int = 9
    noise_share: float = 0.15
    noise_factor: float = 2.5
    noise_s: float = 0.6


@attrs.define(eq=False)
class Attempt:
    """One attempt at an upstream.

    Attributes:
        work: Work of its route.
        object_key: Its object.
        sent: Time when it was sent.
        end: Called with its outcome: whether the object was warm, ``None`` if
            it was cancelled.
        running: Whether it has a slot.
        over: Whether it was answered or cancelled.
    """

    work: Work
    object_key: str
    sent: float
    end: typing.Callable[[bool | None], None]
    running: bool = False
    over: bool = False


@attrs.define(eq=False)
class Server:
    """An upstream: slots, a queue and the objects in its memory.

    Attributes:
        upstream: Its row.
        pool: Its service.
        rng: Source of randomness.
        schedule: Calls a function at a time.
        noise_seed: Determines when it is slow.
        running: Number of attempts that are running.
        waiting: Attempts in the queue.
        warm: Objects in memory, the latest last.
    """

    upstream: upstreams.Upstream
    pool: Pool
    rng: random.Random
    schedule: typing.Callable[[float, typing.Callable[[], None]], None]
    noise_seed: int
    running: int = 0
    waiting: collections.deque[Attempt] = attrs.field(
        factory=collections.deque
    )
    warm: collections.OrderedDict[str, None] = attrs.field(
        factory=collections.OrderedDict
    )

    def slowness(self, now: float) -> float:
        """Return the factor on the service time at a moment.

        Args:
            now: The time.
        """
        period = int(now / self.pool.noise_s)
        draw = random.Random(self.noise_seed * 100_003 + period).random()
        return self.pool.noise_factor if draw < self.pool.noise_share else 1.0

    def report(self, now: float) -> loads.LoadReport:
        """Return the load that is reported with an answer.

        Args:
            now: The time.
        """
        return loads.LoadReport(
            self.running,
            len(self.waiting),
            self.pool.slots,
            self.slowness(now),
        )

    def offer(self, attempt: Attempt, now: float) -> bool:
        """Take an attempt, and return whether there was room.

        Args:
            attempt: The attempt.
            now: The time.
        """
        if self.running < self.pool.slots:
            self._run(attempt, now)
        elif len(self.waiting) < self.pool.queue:
            self.waiting.append(attempt)
        else:
            return False
        return True

    def cancel(self, attempt: Attempt, now: float) -> None:
        """Give up an attempt that is not over.

        Args:
            attempt: The attempt.
            now: The time.
        """
        attempt.over = True
        attempt.end(None)
        if attempt.running:
            self._release(now)

    def _run(self, attempt: Attempt, now: float) -> None:
        self.running += 1
        attempt.running = True
        was_warm = attempt.object_key in self.warm
        self.warm[attempt.object_key] = None
        self.warm.move_to_end(attempt.object_key)
        if len(self.warm) > self.pool.keeps:
            self.warm.popitem(last=False)
        ends = now + self._service_time(attempt.work, was_warm, now)

        def finish() -> None:
            if not attempt.over:
                attempt.over = True
                self._release(ends)
                attempt.end(was_warm)

        self.schedule(ends, finish)

    def _service_time(self, work: Work, was_warm: bool, now: float) -> float:
        seconds = work.work_s * self.rng.lognormvariate(0.0, work.spread)
        if self.rng.random() < work.tail_share:
            seconds *= work.tail_factor
        return (
            seconds
            * self.slowness(now)
            * (work.warm_ratio if was_warm else 1.0)
        )

    def _release(self, now: float) -> None:
        self.running -= 1
        while self.waiting and self.running < self.pool.slots:
            following = self.waiting.popleft()
            if not following.over:
                self._run(following, now)
