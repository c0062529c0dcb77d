"""Which services have requests of different priorities.

Answers configurations with client accounts, whose requests are ranked by route
or account. All others are served as if there were no ranks.
"""

import typing

import attrs

from bulrushcourse_domain.accounts import account as accounts
from bulrushcourse_domain.routes import route as routes

# Weight of an account without a quota, and of requests without an account.
DEFAULT_WEIGHT = 1.0


@attrs.frozen
class ServicePriorities:
    """Priorities of the requests of each service.

    Attributes:
        version: Version of the configuration.
        by_service: Priorities of each service's requests.
        has_accounts: Whether requests belong to client accounts.
        mean_quota_per_s: Mean quota of the accounts that have one, in
            requests per second; 0 if none has.
    """

    version: int = 0
    by_service: typing.Mapping[str, frozenset[int]] = attrs.field(factory=dict)
    has_accounts: bool = False
    mean_quota_per_s: float = 0.0

    def applies_to(self, service: str) -> bool:
        """Return whether requests of a service wait for room by rank.

        Client accounts compete for room, so that one must not push out the
        others. Without accounts all callers are the operator's own, and those
        of the services seen so far were better served by the queues of the
        upstreams.

        Args:
            service: Name of the service.
        """
        return self.has_accounts and service in self.by_service

    def are_ranked(self, service: str) -> bool:
        """Return whether requests of a service differ in priority.

        Args:
            service: Name of the service.
        """
        return len(self.by_service.get(service, ())) > 1

    def most_urgent(self, service: str, priority: int) -> int:
        """Return the most urgent priority of a service's requests.

        Args:
            service: Name of the service.
            priority: Priority of a request of the service.
        """
        return min(self.by_service.get(service, (priority,)), default=priority)

    def weight(self, account: accounts.ClientAccount | None) -> float:
        """Return the share of an account, relative to a mean account.

        The operator agreed on more work with an account that has a larger
        quota.

        Args:
            account: The account, ``None`` for requests without one.
        """
        if account is None or account.quota is None:
            return DEFAULT_WEIGHT
        if self.mean_quota_per_s <= 0:
            return DEFAULT_WEIGHT
        # An account whose quota is nearly zero still gets a turn.
        return max(0.05, account.quota.rate_per_s / self.mean_quota_per_s)


def rank_services(active: routes.RouteSet) -> ServicePriorities:
    """Return the priorities of the services of a configuration.

    Args:
        active: The configuration.

    Examples:
        >>> def route(path, priority):
        ...     services = (routes.WeightedService('s'),)
        ...     return routes.Route('h', path, services, priority=priority)
        >>> pair = route('/a/', 0), route('/b/', 2)
        >>> ranks = rank_services(routes.RouteSet(1, pair))
        >>> sorted(ranks.by_service['s']), ranks.applies_to('s')
        ([0, 2], False)
    """
    listed = active.accounts.by_name.values()
    replaced = {a.priority for a in listed if a.priority is not None}
    by_service: dict[str, set[int]] = {}
    for route in active.routes:
        for weighted in route.weighted_services:
            priorities = by_service.setdefault(weighted.service, set())
            priorities.add(route.priority)
            priorities |= replaced
    quotas = [a.quota.rate_per_s for a in listed if a.quota is not None]
    return ServicePriorities(
        active.version,
        {name: frozenset(found) for name, found in by_service.items()},
        bool(listed),
        sum(quotas) / len(quotas) if quotas else 0.0,
    )
