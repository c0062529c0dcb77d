"""Choice of the region that serves a request."""

import enum
import typing

import attrs


class Reason(enum.Enum):
    """Why a region was chosen, or passed over."""

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
    """What is known of a service's pool in a region.

    Attributes:
        region: Name of the region.
        slots: Slots of the pool, 0 without an instance.
        in_flight: Slots in use by grants.
        waiting: Requests that wait for a slot.
        healthy: Slots at instances that are not set aside nor would be if
            more than half of a pool might; ``None`` for all slots.
    """

    region: str
    slots: int
    in_flight: int = 0
    waiting: int = 0
    healthy: int | None = None

    @property
    def headroom(self) -> float:
        """Part of the slots that is free, negative if requests wait.

        Only healthy slots count: a pool whose instances all fail keeps half
        of them in use, but other regions serve its requests better.
        """
        if not self.slots:
            return 0.0
        healthy = self.slots if self.healthy is None else self.healthy
        return (healthy - self.in_flight - self.waiting) / self.slots


class LimitChecker(typing.Protocol):
    """Tells whether shares of limits have room."""

    def blocked_by(self, source: str, target: str) -> Reason | None:
        """Return the kind of cap without room, ``None`` if there is room.

        Args:
            source: Region of this entry.
            target: Another region, or this one for its own cap.
        """
        ...


@attrs.frozen
class RoutingRequest:
    """A request that needs a region.

    Attributes:
        region: Region of this entry.
        rank: Priority of the request's class, 0 first.
        ranks: Number of priorities.
        planned: Region that a plan moves the request to, empty for none.
        drained: Regions that a plan takes traffic from.
    """

    region: str
    rank: int
    ranks: int
    planned: str = ''
    drained: frozenset[str] = frozenset()


@attrs.frozen
class RoutingDecision:
    """A decision with what it was based on.

    Attributes:
        region: Region to ask for a slot; ``None`` if the request is shed.
        reason: Why that region.
        passed_over: Other regions and why they were not chosen.
    """

    region: str | None
    reason: Reason
    passed_over: tuple[tuple[str, Reason], ...] = ()


# Work per slot from which the lowest priority is shed. Each higher priority
# bears twice as much, so rush work is shed last.
SHED_AT = 1.5
# Spill starts when the local pool has no free slot left.
SPILL_BELOW = 0.0
# Regions whose headroom differs by less count as equal; the nearer one wins.
HEADROOM_STEP = 0.25


@attrs.frozen
class Router:
    """Prefers the local region, then near regions with headroom.

    Attributes:
        limit_checker: Shares of limits.
        near: Other regions, nearest first.
    """

    limit_checker: LimitChecker
    near: tuple[str, ...]

    def route(
        self, request: RoutingRequest, loads: typing.Mapping[str, RegionLoad]
    ) -> RoutingDecision:
        """Return where a request goes, with reasons for ``explain``.

        Args:
            request: The request.
            loads: Load of the service's pools by region.
        """
        passed: list[tuple[str, Reason]] = []
        if request.planned:
            block = self._block(
                request, request.planned, loads, need_room=False
            )
            if block is None:
                return RoutingDecision(request.planned, Reason.PLAN)
            passed.append((request.planned, block))
        local = loads.get(request.region, RegionLoad(request.region, 0))
        block = self._block_local(request, local)
        if block is None:
            return RoutingDecision(request.region, Reason.LOCAL, tuple(passed))
        passed.append((request.region, block))
        spill, others = self._spill(request, loads)
        passed += others
        if spill is not None:
            return RoutingDecision(spill, Reason.SPILL, tuple(passed))
        if self._may_queue(request, local, block):
            return RoutingDecision(
                request.region, Reason.QUEUE_LOCAL, tuple(passed)
            )
        return RoutingDecision(None, Reason.SHED, tuple(passed))

    def _block_local(
        self, request: RoutingRequest, local: RegionLoad
    ) -> Reason | None:
        if not local.slots:
            return Reason.NO_INSTANCE
        if request.region in request.drained:
            return Reason.PLAN
        if local.headroom <= SPILL_BELOW:
            return Reason.NO_HEADROOM
        return self.limit_checker.blocked_by(request.region, request.region)

    def _may_queue(
        self, request: RoutingRequest, local: RegionLoad, block: Reason
    ) -> bool:
        if block is Reason.NO_INSTANCE:
            return False
        return not is_shed(request.rank, request.ranks, local)

    def _spill(
        self, request: RoutingRequest, loads: typing.Mapping[str, RegionLoad]
    ) -> tuple[str | None, list[tuple[str, Reason]]]:
        fits: list[tuple[int, int, str]] = []
        passed = []
        for distance, region in enumerate(self.near):
            block = self._block(request, region, loads, need_room=True)
            if block is not None:
                passed.append((region, block))
                continue
            room = int(loads[region].headroom / HEADROOM_STEP)
            fits.append((-room, distance, region))
        return (min(fits)[2] if fits else None), passed

    def _block(
        self,
        request: RoutingRequest,
        region: str,
        loads: typing.Mapping[str, RegionLoad],
        need_room: bool,
    ) -> Reason | None:
        load = loads.get(region)
        if load is None or not load.slots:
            return Reason.NO_INSTANCE
        if region in request.drained:
            return Reason.PLAN
        if need_room and load.headroom <= SPILL_BELOW:
            return Reason.NO_HEADROOM
        return self.limit_checker.blocked_by(request.region, region)


def is_shed(rank: int, ranks: int, load: RegionLoad) -> bool:
    """Return whether a pool has too much work for one more request.

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
    work = (load.in_flight + load.waiting) / load.slots
    return work >= SHED_AT * 2 ** (ranks - 1 - rank)
