"""Routes, services and request limits of one configuration version."""

import typing

import attrs

from bulrushcourse_domain import findings as finding_lists
from bulrushcourse_domain.accounts import account_table

DEFAULT_TIMEOUT_S = 30.0
DEFAULT_OBJECTIVE_S = 1.0
DEFAULT_HEALTH_PATH = '/health'
# Named as the home where two sets of home regions have none in common, so that
# no upstream may run the request.
NO_COMMON_HOME = ''


@attrs.frozen
class WeightedService:
    """A service that receives a share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Share of the route's requests, relative to the weights of its
            other services.
    """

    service: str
    weight: float = 1.0


@attrs.frozen
class Route:
    """Settings of the requests to one host and path prefix.

    Attributes:
        host: Host name in the requests.
        prefix: Path prefix, with slashes at both ends.
        weighted_services: Services that run the requests.
        idempotent: Whether a request may run more than once.
        upload: Whether request bodies are large.
        timeout_s: Longest time that a caller waits for the response.
        objective_s: Latency objective; a later response is of less use.
        max_attempts: Largest number of upstreams that a request is sent to.
        priority: Priority among routes; 0 is served first.
        home_regions: The only regions that may run it; empty for all.
        affinity: Whether an upstream is faster with an object that it handled
            recently.
        public: Whether requests need no key of a client account.
        is_defective: Whether only its host and prefix are known, so that its
            requests cannot be sent.
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
    public: bool = False
    is_defective: bool = False

    @property
    def key(self) -> str:
        """Identifier of the route, the same in all versions."""
        return self.host + self.prefix

    def is_confined(self, regions: typing.Iterable[str]) -> bool:
        """Return whether requests must not reach some of the regions.

        Args:
            regions: Names of all regions.
        """
        if not self.home_regions:
            return False
        return not self.home_regions.issuperset(regions)

    def may_run_in(self, region: str) -> bool:
        """Return whether upstreams in a region may run the requests.

        Args:
            region: Name of the region.
        """
        return not self.home_regions or region in self.home_regions


def within_homes(route: Route, home_regions: frozenset[str]) -> Route:
    """Return a route that is also bound to other home regions.

    Args:
        route: The route.
        home_regions: Home regions that bind as well, empty for none.

    Examples:
        >>> route = Route('h', '/', (), home_regions=frozenset('ab'))
        >>> within_homes(route, frozenset('bc')).home_regions
        frozenset({'b'})
    """
    if not home_regions:
        return route
    homes = home_regions
    if route.home_regions:
        homes &= route.home_regions
    return attrs.evolve(
        route, home_regions=homes or frozenset({NO_COMMON_HOME})
    )


@attrs.frozen
class Service:
    """Settings of the upstreams of one service.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check.
        max_connections: Connections that one upstream accepts from all VMs
            together.
        warmup_s: Time that an upstream is cold after its start.
        warmup_per_s: Requests per second that a cold upstream can handle.
    """

    name: str
    health_path: str = DEFAULT_HEALTH_PATH
    max_connections: int = 100
    warmup_s: float = 0.0
    warmup_per_s: float = 10.0


@attrs.frozen
class RequestLimits:
    """Limits on the requests of clients.

    Attributes:
        header_bytes: Largest total size of the headers.
        body_bytes: Largest size of a body.
        header_timeout_s: Longest time to receive the headers.
        idle_timeout_s: Longest time that a connection may be idle.
    """

    header_bytes: int = 16384
    body_bytes: int = 64 << 20
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@attrs.frozen
class RouteSet:
    """Routes, services and request limits of one configuration version.

    Attributes:
        version: Version of the configuration.
        routes: All routes.
        services: Services by name.
        limits: Limits on the requests of clients.
        accounts: Client accounts.
        findings: Defects of its parts, except for those of the accounts.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: typing.Mapping[str, Service] = attrs.field(factory=dict)
    limits: RequestLimits = RequestLimits()
    accounts: account_table.AccountTable = account_table.AccountTable()
    findings: tuple[finding_lists.Finding, ...] = ()
