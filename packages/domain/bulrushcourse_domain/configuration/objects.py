"""Configuration objects that operators edit; references are by name."""

import enum

import attrs


class LimitKind(enum.Enum):
    """Kind of traffic that a limit bounds."""

    LINK = 'link'
    REGION = 'region'
    SHIFT = 'shift'


class PlanKind(enum.Enum):
    """Kind of planned traffic change."""

    SHIFT = 'shift'
    DRAIN = 'drain'


@attrs.frozen
class Place:
    """A failure domain within a region.

    Attributes:
        name: Name of the failure domain.
        region: Name of the region that it belongs to.
        near_regions: Other regions, nearest first, the same in all places of
            a region that list any. Regions not listed come last.
        clients: Address prefixes of the callers that are nearest to the place.
    """

    name: str
    region: str
    near_regions: tuple[str, ...] = ()
    clients: tuple[str, ...] = ()


@attrs.frozen
class Entry:
    """A configured entry; a replacement VM takes over its name.

    Attributes:
        name: Name of the entry, as in the settings of its VM.
        place: Name of its failure domain.
    """

    name: str
    place: str


@attrs.frozen
class Instance:
    """One upstream instance.

    Attributes:
        name: Name, unique over all pools.
        place: Name of its failure domain.
        address: ``ip:port`` of its HTTP listener.
    """

    name: str
    place: str
    address: str


@attrs.frozen
class Pool:
    """The instances that serve a service.

    Attributes:
        name: Name of the pool.
        slots: Requests that one instance runs concurrently.
        connections: Maximum connections to one instance, over all entries.
        not_run_header: Response header by which an instance states that it
            did not run the request; empty if its protocol has none.
        instances: The pool's instances.
    """

    name: str
    slots: int
    connections: int
    instances: tuple[Instance, ...]
    not_run_header: str = ''


@attrs.frozen
class RequestClass:
    """A class of requests that share a priority and limits.

    Attributes:
        name: Name that callers send.
        priority: Order in which classes get slots, 0 first.
        deadline_limit_ms: Longest deadline that a request may have.
        slot_share: Largest share of a pool's slots that the class may hold,
            between 0 and 1.
    """

    name: str
    priority: int
    deadline_limit_ms: int
    slot_share: float = 1.0


@attrs.frozen
class Service:
    """A named service that callers send requests to.

    Attributes:
        name: Name in the request's path.
        pool: Name of the pool that serves it.
        request_class: Default class, for requests that name none.
        idempotent: Whether a request may run more than once.
        deadline_ms: Default deadline, for requests that state none.
        max_body_bytes: Largest request body.
    """

    name: str
    pool: str
    request_class: str
    idempotent: bool
    deadline_ms: int = 5_000
    max_body_bytes: int = 1 << 20


@attrs.frozen
class Limit:
    """A limit that all entries share.

    Attributes:
        name: Name of the limit.
        kind: Kind of traffic that it bounds.
        source: Region that traffic leaves (link, shift).
        target: Region that traffic enters (link, shift, region).
        mbit_per_s: Cap of a link, in each window of one second.
        requests_per_s: Cap of a shift.
        in_flight: Cap of a region, in concurrent requests.
    """

    name: str
    kind: LimitKind
    target: str
    source: str = ''
    mbit_per_s: float = 0.0
    requests_per_s: float = 0.0
    in_flight: int = 0


@attrs.frozen
class Plan:
    """A planned shift or drain.

    Attributes:
        name: Name of the plan.
        kind: Shift or drain.
        service: Service whose traffic moves; empty for all.
        source: Region or place that traffic leaves.
        target: Region that traffic enters; empty for a drain.
        limit: Name of the shift limit that bounds the moved traffic.
        start: ISO 8601 time in UTC from which traffic moves.
        finish_by: ISO 8601 time in UTC by which the plan must have finished.
        share: Share of the source's traffic to move, between 0 and 1.
    """

    name: str
    kind: PlanKind
    source: str
    start: str
    finish_by: str
    service: str = ''
    target: str = ''
    limit: str = ''
    share: float = 1.0


@attrs.frozen
class Objects:
    """All objects of a configuration, not yet checked.

    Attributes:
        places: Failure domains and their regions.
        entries: Configured entries.
        request_classes: Classes of requests.
        pools: Upstream pools.
        services: Services that callers use.
        limits: Limits shared by all entries.
        plans: Planned shifts and drains.
    """

    places: tuple[Place, ...] = ()
    entries: tuple[Entry, ...] = ()
    request_classes: tuple[RequestClass, ...] = ()
    pools: tuple[Pool, ...] = ()
    services: tuple[Service, ...] = ()
    limits: tuple[Limit, ...] = ()
    plans: tuple[Plan, ...] = ()
