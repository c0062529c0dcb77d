"""The route table: routes of the active configuration by host and prefix."""

import typing

import attrs

from bulrushcourse_domain import findings as finding_lists
from bulrushcourse_domain.accounts import account_table
from bulrushcourse_domain.routes import route as routes

NO_ACCOUNTS = account_table.AccountTable()


@attrs.frozen
class HostRoutes:
    """The routes of one host, indexed by prefix.

    Attributes:
        by_prefix: Routes by prefix; the first one if several have the same.
        prefix_lengths: Distinct lengths of the prefixes, longest first.
        home_regions: Regions that every route may run in, or else that some
            route with homes may run in; empty for all.
    """

    by_prefix: typing.Mapping[str, routes.Route]
    prefix_lengths: tuple[int, ...]
    home_regions: frozenset[str]

    def match(self, path: str) -> routes.Route | None:
        """Return the route with the longest matching prefix.

        Args:
            path: Path of a request, without the query.
        """
        for length in self.prefix_lengths:
            route = self.by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


def _routes_by_host(route_set: routes.RouteSet) -> dict[str, HostRoutes]:
    by_host: dict[str, list[routes.Route]] = {}
    for route in route_set.routes:
        by_host.setdefault(route.host, []).append(route)
    return {host: _index_host(listed) for host, listed in by_host.items()}


def _index_host(listed: list[routes.Route]) -> HostRoutes:
    by_prefix = {route.prefix: route for route in reversed(listed)}
    homes = [r.home_regions for r in listed if r.home_regions]
    # Without a region that suits all routes, one that suits some is better
    # than any other.
    home_regions = (
        frozenset.intersection(*homes) or frozenset.union(*homes)
        if homes
        else frozenset()
    )
    return HostRoutes(
        by_prefix,
        tuple(sorted({len(prefix) for prefix in by_prefix}, reverse=True)),
        home_regions,
    )


@attrs.define
class RouteTable:
    """Routes of the newest configuration that this VM has received.

    A version that is not newer is ignored, so the table never reverts,
    whatever the order in which the store and the peers deliver versions.

    Attributes:
        active: The active configuration, ``None`` before the first.
        by_host: Its routes by host.
    """

    active: routes.RouteSet | None = None
    by_host: dict[str, HostRoutes] = attrs.field(factory=dict)

    @property
    def version(self) -> int:
        """Active version, 0 before the first."""
        return self.active.version if self.active else 0

    @property
    def accounts(self) -> account_table.AccountTable:
        """Accounts of the active configuration."""
        return self.active.accounts if self.active else NO_ACCOUNTS

    @property
    def findings(self) -> tuple[finding_lists.Finding, ...]:
        """Defects of the active configuration and its accounts."""
        if self.active is None:
            return ()
        return self.active.findings + self.active.accounts.findings

    def install(self, route_set: routes.RouteSet) -> bool:
        """Activate a configuration if it is newer.

        Args:
            route_set: The configuration.

        Returns:
            Whether it was activated.

        Examples:
            >>> table = RouteTable()
            >>> (
            ...     table.install(routes.RouteSet(7)),
            ...     table.install(routes.RouteSet(5)),
            ... )
            (True, False)
        """
        if route_set.version <= self.version:
            return False
        self.active = route_set
        self.by_host = _routes_by_host(route_set)
        return True

    def match(self, host: str, path: str) -> routes.Route | None:
        """Return the route of a host with the longest matching prefix.

        Args:
            host: Host name in the request.
            path: Path of the request, without the query.
        """
        host_routes = self.by_host.get(host)
        return host_routes.match(path) if host_routes else None

    def service(self, name: str) -> routes.Service:
        """Return a service, with default settings if it is not configured.

        Args:
            name: Name of the service.
        """
        services = self.active.services if self.active else {}
        return services.get(name) or routes.Service(name)

    def home_regions(self, host: str) -> frozenset[str]:
        """Return the regions in which the VMs of a host should be.

        Args:
            host: Name of the host.

        Returns:
            The home regions common to all routes that have some, or all of
            them if there is no common one; empty if no route has any.
        """
        host_routes = self.by_host.get(host)
        return host_routes.home_regions if host_routes else frozenset()
