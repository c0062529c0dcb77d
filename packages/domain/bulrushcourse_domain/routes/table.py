"""The aggregate that finds the route of a request."""

import typing

import attrs

from bulrushcourse_domain.routes import route as routes


@attrs.frozen
class HostRoutes:
    """The routes of one host, ready to be found.

    Attributes:
        by_prefix: Routes by prefix; the first of several with one prefix.
        lengths: Lengths of the prefixes, longest first.
        home_regions: Regions that every route may run in, empty for all.
    """

    by_prefix: typing.Mapping[str, routes.Route]
    lengths: tuple[int, ...]
    home_regions: frozenset[str]

    def match(self, path: str) -> routes.Route | None:
        """Return the route with the longest prefix that begins the path.

        Args:
            path: Path of a request, without the query.
        """
        for length in self.lengths:
            route = self.by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


def _by_host(route_set: routes.RouteSet) -> dict[str, HostRoutes]:
    by_host: dict[str, list[routes.Route]] = {}
    for route in route_set.routes:
        by_host.setdefault(route.host, []).append(route)
    return {host: _host_routes(found) for host, found in by_host.items()}


def _host_routes(found: list[routes.Route]) -> HostRoutes:
    by_prefix = {route.prefix: route for route in reversed(found)}
    homes = [r.home_regions for r in found if r.home_regions]
    return HostRoutes(
        by_prefix,
        tuple(sorted({len(prefix) for prefix in by_prefix}, reverse=True)),
        frozenset.intersection(*homes) if homes else frozenset(),
    )


@attrs.define
class RouteTable:
    """The newest configuration that this VM has seen.

    A version that is not newer is ignored, so the table never reverts,
    whatever order the store and the peers deliver versions in.

    Attributes:
        active: The configuration in force, ``None`` before the first.
        by_host: Its routes by host.
    """

    active: routes.RouteSet | None = None
    by_host: dict[str, HostRoutes] = attrs.field(factory=dict)

    @property
    def version(self) -> int:
        """Version in force, 0 before the first."""
        return self.active.version if self.active else 0

    def install(self, route_set: routes.RouteSet) -> bool:
        """Put a configuration in force if it is newer.

        Args:
            route_set: The configuration.

        Returns:
            Whether it is now in force.

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
        self.by_host = _by_host(route_set)
        return True

    def match(self, host: str, path: str) -> routes.Route | None:
        """Return the route with the longest prefix that begins the path.

        Args:
            host: Host that the request names.
            path: Its path, without the query.
        """
        found = self.by_host.get(host)
        return found.match(path) if found else None

    def service(self, name: str) -> routes.Service:
        """Return a service; one that is not configured has the defaults.

        Args:
            name: Name of the service.
        """
        known = self.active.services if self.active else {}
        return known.get(name) or routes.Service(name)

    def home_regions(self, host: str) -> frozenset[str]:
        """Return the regions that every route of a host may run in.

        Args:
            host: Name of the host.

        Returns:
            The common home regions, empty if the routes have none.
        """
        found = self.by_host.get(host)
        return found.home_regions if found else frozenset()
