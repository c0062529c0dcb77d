"""Choice of the region that serves a request."""

import enum
import typing

import attrs


class Reason(enum.Enum):
    """Why a region was chosen or passed over."""

    LOCAL = 'local'
    PLAN = 'plan'
    SPILL = 'spill'
    NO_INSTANCE = 'no-instance'
    NO_HEADROOM = 'no-headroom'
    LINK_CAP = 'link-cap'
    REGION_CAP = 'region-cap'
    SHIFT_CAP = 'shift-cap'
    QUEUE_LOCAL = 'queue-local'
    SHED = 'shed'


@attrs.frozen
class RegionLoad:
    """Load of a service's pool in a region, as far as this entry knows it.

    Attributes:
        region: Name of the region.
        slots: Slots of the pool, 0 if it has no instance.
        in_flight: Slots in use by grants.
        waiting: Requests that wait for a slot.
        healthy: Slots that the instances' own states allow to use, without
            the rule that keeps at least half of a pool in use; ``None`` for
            all slots.
    """

    region: str
    slots: int
    in_flight: int = 0
    waiting: int = 0
    healthy: int | None = None

    @property
    def headroom(self) -> float:
        """Share of the slots that is free, negative if requests wait.

        Only healthy slots count: half of a pool whose instances all fail stays
        in use, but other regions serve its requests better.
        """
        if not self.slots:
            return 0.0
        healthy = self.slots if self.healthy is None else self.healthy
        return (healthy - self.in_flight - self.waiting) / self.slots


class LimitChecker(typing.Protocol):
    """Checks this entry's shares of limits."""

    def blocked_by(self, source: str, target: str) -> Reason | None:
        """Return the reason if a limit is exhausted, ``None`` otherwise.

        Args:
            source: Region of this entry.
            target: Another region, or this one for its region limit.
        """
        ...


@attrs.frozen
class RoutingRequest:
    """A request to be routed to a region.

    Attributes:
        region: Region of this entry.
        rank: Priority of the request's class, 0 first.
        ranks: Number of priorities.
        planned: Region that a plan moves the request to, empty for none.
        drained: Regions that a plan moves traffic out of.
    """

    region: str
    rank: int
    ranks: int
    planned: str = ''
    drained: frozenset[str] = frozenset()


@attrs.frozen
class RoutingDecision:
    """The chosen region with the reasons.

    Attributes:
        region: Region to request a slot in; ``None`` if the request is shed.
        reason: Why the region was chosen, or ``SHED``.
        passed_over: Other regions, each with the reason against it.
    """

    region: str | None
    reason: Reason
    passed_over: tuple[tuple[str, Reason], ...] = ()


# Requests per slot, running and waiting, from which the lowest priority is
# shed. Each higher priority tolerates twice as many, so that the most urgent
# requests are shed last.
SHED_REQUESTS_PER_SLOT = 1.5
# Requests spill from a pool without a free slot, and only to pools with one.
SPILL_HEADROOM_SHARE = 0.0
# Headroom is compared in steps of this size; within a step the nearer region
# wins.
HEADROOM_STEP_SHARE = 0.25


@attrs.frozen
class Router:
    """Prefers the local region, then near regions with headroom.

    Attributes:
        limit_checker: Checks this entry's shares of limits.
        near: Other regions, nearest first.
    """

    limit_checker: LimitChecker
    near: tuple[str, ...]

    def route(
        self, request: RoutingRequest, loads: typing.Mapping[str, RegionLoad]
    ) -> RoutingDecision:
        """Choose a request's region, with the reasons that ``explain`` shows.

        Args:
            request: The request.
            loads: Load of the service's pool in each region.
        """
        passed_over: list[tuple[str, Reason]] = []
        if request.planned:
            reason = self._region_blocked_by(
                request, request.planned, loads, need_headroom=False
            )
            if reason is None:
                return RoutingDecision(request.planned, Reason.PLAN)
            passed_over.append((request.planned, reason))
        local = loads.get(request.region, RegionLoad(request.region, 0))
        reason = self._local_blocked_by(request, local)
        if reason is None:
            return RoutingDecision(
                request.region, Reason.LOCAL, tuple(passed_over)
            )
        passed_over.append((request.region, reason))
        spill, others = self._spill(request, loads)
        passed_over += others
        if spill is not None:
            return RoutingDecision(spill, Reason.SPILL, tuple(passed_over))
        if self._may_queue(request, local, reason):
            return RoutingDecision(
                request.region, Reason.QUEUE_LOCAL, tuple(passed_over)
            )
        return RoutingDecision(None, Reason.SHED, tuple(passed_over))

    def _local_blocked_by(
        self, request: RoutingRequest, local: RegionLoad
    ) -> Reason | None:
        if not local.slots:
            return Reason.NO_INSTANCE
        if request.region in request.drained:
            return Reason.PLAN
        if local.headroom <= SPILL_HEADROOM_SHARE:
            return Reason.NO_HEADROOM
        return self.limit_checker.blocked_by(request.region, request.region)

    def _may_queue(
        self, request: RoutingRequest, local: RegionLoad, reason: Reason
    ) -> bool:
        if reason is Reason.NO_INSTANCE:
            return False
        return not is_shed(request.rank, request.ranks, local)

    def _spill(
        self, request: RoutingRequest, loads: typing.Mapping[str, RegionLoad]
    ) -> tuple[str | None, list[tuple[str, Reason]]]:
        candidates: list[tuple[int, int, str]] = []
        passed_over = []
        for distance, region in enumerate(self.near):
            reason = self._region_blocked_by(
                request, region, loads, need_headroom=True
            )
            if reason is not None:
                passed_over.append((region, reason))
                continue
            free_steps = int(loads[region].headroom / HEADROOM_STEP_SHARE)
            candidates.append((-free_steps, distance, region))
        return (min(candidates)[2] if candidates else None), passed_over

    def _region_blocked_by(
        self,
        request: RoutingRequest,
        region: str,
        loads: typing.Mapping[str, RegionLoad],
        need_headroom: bool,
    ) -> Reason | None:
        load = loads.get(region)
        if load is None or not load.slots:
            return Reason.NO_INSTANCE
        if region in request.drained:
            return Reason.PLAN
        if need_headroom and load.headroom <= SPILL_HEADROOM_SHARE:
            return Reason.NO_HEADROOM
        return self.limit_checker.blocked_by(request.region, region)


def is_shed(rank: int, ranks: int, load: RegionLoad) -> bool:
    """Return whether a pool is too loaded for a request of this priority.

    Args:
        rank: Priority of the request's class, 0 first.
        ranks: Number of priorities.
        load: Load of the pool.

    Examples:
        >>> full = RegionLoad('dakar', slots=10, in_flight=10, waiting=8)
        >>> [is_shed(rank, 3, full) for rank in range(3)]
        [False, False, True]
    """
    if not load.slots:
        return True
    requests_per_slot = (load.in_flight + load.waiting) / load.slots
    return requests_per_slot >= SHED_REQUESTS_PER_SLOT * 2 ** (
        ranks - 1 - rank
    )
