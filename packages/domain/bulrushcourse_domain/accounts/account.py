"""Client accounts of one configuration version."""

import attrs


@attrs.frozen
class Quota:
    """Limit on the requests of an account, over all VMs together.

    Attributes:
        rate_per_s: Requests per second in the long run.
        burst: Requests beyond the rate that may come at once.
    """

    rate_per_s: float
    burst: float = 0.0


@attrs.frozen
class ClientAccount:
    """An account on whose behalf callers send requests.

    Attributes:
        name: Name of the account, which is sent to upstreams.
        key_digests: Digests of its API keys; see ``accounts.keys``.
        priority: Priority of its requests, which replaces that of the route;
            0 is served first, ``None`` if the account has none of its own.
        home_regions: The only regions that may run its requests; empty for
            all.
        quota: Limit on its requests, ``None`` for no limit.
    """

    name: str
    key_digests: frozenset[bytes] = frozenset()
    priority: int | None = None
    home_regions: frozenset[str] = frozenset()
    quota: Quota | None = None
