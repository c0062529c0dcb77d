"""Routes, services and request limits of one configuration version."""

import typing

import attrs

DEFAULT_TIMEOUT_S = 30.0
DEFAULT_OBJECTIVE_S = 1.0


@attrs.frozen
class WeightedService:
    """One service that a route sends requests to.

    Attributes:
        service: Name of the service.
        weight: Share of the route's requests, relative to the other parts.
    """

    service: str
    weight: float = 1.0


@attrs.frozen
class Route:
    """Requests of one host under one path prefix.

    Attributes:
        host: Host that the requests name.
        prefix: Beginning of their paths, with slashes at both ends.
        weighted_services: Services that run the requests.
        idempotent: Whether a request may run more than once.
        upload: Whether bodies are large.
        timeout_s: Longest time that a caller is kept waiting.
        objective_s: Time within which an answer is of full use.
        max_attempts: Most upstreams that one request may be sent to.
        priority: Rank among routes; 0 is served first.
        home_regions: The only regions that may serve it; empty for all.
        affinity: Whether an upstream works faster on an object that it
            handled lately.
    """

    host: str
    prefix: str
    weighted_services: tuple[WeightedService, ...]
    idempotent: bool = False
    upload: bool = False
    timeout_s: float = DEFAULT_TIMEOUT_S
    objective_s: float = DEFAULT_OBJECTIVE_S
    max_attempts: int = 1
    priority: int = 0
    home_regions: frozenset[str] = frozenset()
    affinity: bool = False

    @property
    def key(self) -> str:
        """Identifier of the route that is stable over versions."""
        return self.host + self.prefix

    def may_run_in(self, region: str) -> bool:
        """Return whether upstreams of a region may serve the route.

        Args:
            region: Name of the region.
        """
        return not self.home_regions or region in self.home_regions


@attrs.frozen
class Service:
    """A named group of upstreams.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check.
        max_connections: Connections that one upstream accepts from all VMs.
        warmup_s: Time that an upstream is cold after its start.
        warmup_per_s: Requests a second that a cold upstream stands.
    """

    name: str
    health_path: str = '/health'
    max_connections: int = 100
    warmup_s: float = 0.0
    warmup_per_s: float = 10.0


@attrs.frozen
class RequestLimits:
    """Bounds on what a client may send.

    Attributes:
        header_bytes: Largest size of all headers.
        body_bytes: Largest size of a body.
        header_timeout_s: Longest time to send the headers.
        idle_timeout_s: Longest time that a connection may be idle.
    """

    header_bytes: int = 16384
    body_bytes: int = 64 << 20
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@attrs.frozen
class RouteSet:
    """Everything that one configuration version says about requests.

    Attributes:
        version: Version of the configuration.
        routes: All routes.
        services: Services by name.
        limits: Bounds on client requests.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: typing.Mapping[str, Service] = attrs.field(factory=dict)
    limits: RequestLimits = RequestLimits()
