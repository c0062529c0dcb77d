"""Decoding of operators' rows: configuration and evacuations."""

import typing

import attrs

from bulrushcourse_domain import findings
from bulrushcourse_domain import ranges
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_entry.platform import account_fields
from bulrushcourse_entry.platform import units

TABLE = 'op'
CONFIGURATION_KEY = 'config'
EVACUATION_PREFIX = 'evacuate/'

# Kinds of routes whose requests may be sent more than once. Requests of all
# other kinds, also unknown ones, are run at most once.
_IDEMPOTENT_KINDS = frozenset({'idempotent', 'download'})
_UPLOAD_KINDS = frozenset({'upload'})
MAX_ATTEMPTS = 1000
MAX_CONNECTIONS = 1_000_000
MAX_BODY_BYTES = 1 << 40
MAX_WARMUP_PER_S = 1e9
# Sums of weights stay finite.
MAX_WEIGHT = 1e300
DEFAULT_CONNECTIONS = 100
DEFAULT_WARMUP_PER_S = 10.0
# Prefix of all paths.
ROOT = '/'

_Part = typing.TypeVar('_Part')


def evacuated_domain(key: str) -> str | None:
    """Return the failure domain that a row evacuates, ``None`` if none.

    Args:
        key: Key of a row of the operators' table.
    """
    if not key.startswith(EVACUATION_PREFIX):
        return None
    try:
        return units.non_empty_string(
            key.removeprefix(EVACUATION_PREFIX), 'failure domain'
        )
    except units.MalformedValue:
        # No failure domain of the settings has such a name.
        return None


def decode_configuration(value: bytes) -> routes.RouteSet:
    """Return a configuration in this project's types.

    A part that is malformed does not void the others. It is a finding of the
    configuration; a route that is malformed is kept as a defective one, whose
    requests are neither denied nor sent.

    Args:
        value: Content of the configuration row.

    Raises:
        MalformedValue: If the document as a whole is unreadable.
    """
    try:
        document = units.parse_json(value)
        parts = _Parts()
        return routes.RouteSet(
            version=units.integer(document['version'], 'version', 1),
            routes=tuple(
                route
                for number, listener in enumerate(
                    _listed(document, 'listeners')
                )
                for route in parts.listener(f'listeners[{number}]', listener)
            ),
            services=parts.services(_listed(document, 'clusters')),
            limits=parts.limits(document.get('limits') or {}),
            accounts=account_fields.decode_accounts(document.get('tenants')),
            findings=findings.sort_findings(parts.found),
        )
    except units.MalformedValue:
        raise
    except units.DECODING_ERRORS as error:
        raise units.MalformedValue(f'configuration: {error!r:.200}') from error


def _listed(document: dict[str, typing.Any], name: str) -> list[typing.Any]:
    if not isinstance(document[name], list):
        raise units.MalformedValue(f'{name} is not a list')
    return document[name]


@attrs.define
class _Parts:
    """Decodes parts of a configuration one by one.

    Attributes:
        found: Defects of the parts so far.
    """

    found: list[findings.Finding] = attrs.field(factory=list)

    def attempt(
        self,
        place: str,
        decoder: typing.Callable[..., _Part],
        *values: typing.Any,
    ) -> _Part | None:
        """Return a decoded part, ``None`` if it is malformed."""
        try:
            return decoder(*values)
        except units.DECODING_ERRORS as error:
            self.found.append(
                findings.Finding(place, 'malformed', f'{error!s:.200}')
            )
            return None

    def listener(
        self, place: str, listener: typing.Any
    ) -> typing.Iterator[routes.Route]:
        """Return the routes of a host."""
        host = self.attempt(place, _host, listener)
        if host is None:
            return
        rules = self.attempt(place, _listed, listener, 'rules')
        if rules is None:
            yield routes.Route(host, ROOT, (), is_defective=True)
            return
        for number, rule in enumerate(rules):
            route = self.route(f'{place}.rules[{number}]', host, rule)
            if route is not None:
                yield route

    def route(
        self, place: str, host: str, rule: typing.Any
    ) -> routes.Route | None:
        """Return a route, ``None`` if its prefix is malformed."""
        prefix = self.attempt(place, _prefix, rule)
        if prefix is None:
            # No path begins with it.
            return None
        return self.attempt(place, _route, host, prefix, rule) or routes.Route(
            host, prefix, (), is_defective=True
        )

    def services(
        self, clusters: list[typing.Any]
    ) -> dict[str, routes.Service]:
        """Return the services by name; defaults hold for all others."""
        decoded = [
            self.attempt(f'clusters[{number}]', _service, cluster)
            for number, cluster in enumerate(clusters)
        ]
        return {s.name: s for s in decoded if s is not None}

    def limits(self, fields: typing.Any) -> routes.RequestLimits:
        """Return the limits on clients, the defaults for malformed ones."""
        limits = routes.RequestLimits()
        for name, (attribute, decoder) in _LIMITS.items():
            default = getattr(limits, attribute)
            value = self.attempt(
                f'limits.{name}', decoder, fields, name, default
            )
            if value is not None:
                limits = attrs.evolve(limits, **{attribute: value})
        return limits


def _host(listener: typing.Any) -> str:
    return units.non_empty_string(listener['host'], 'host').lower()


def _prefix(rule: typing.Any) -> str:
    return units.non_empty_string(rule['match']['prefix'], 'prefix')


def _route(
    host: str, prefix: str, rule: dict[str, typing.Any]
) -> routes.Route:
    action = rule['action']
    kind = rule.get('kind')
    timeout_s = _duration_s(action, 'timeout', routes.DEFAULT_TIMEOUT_S)
    return routes.Route(
        host=host,
        prefix=prefix,
        weighted_services=_weighted_services(action),
        idempotent=kind in _IDEMPOTENT_KINDS,
        upload=kind in _UPLOAD_KINDS,
        timeout_s=timeout_s,
        # ``target_latency`` is no timeout; it is the time within which a
        # response gets full credit.
        objective_s=_duration_s(rule, 'target_latency', min(1.0, timeout_s)),
        max_attempts=max(1, _integer(action, 'max_attempts', 1, MAX_ATTEMPTS)),
        priority=_integer(rule, 'priority', 0, ranges.MAX_PRIORITY),
        home_regions=frozenset(
            units.non_empty_string(region, 'home_regions')
            for region in action.get('home_regions') or ()
        ),
        affinity=bool(rule.get('session_affinity')),
        public=bool(rule.get('public')),
    )


def _weighted_services(
    action: dict[str, typing.Any],
) -> tuple[routes.WeightedService, ...]:
    """Return the services of a route; a split replaces a single one."""
    split = tuple(
        routes.WeightedService(
            units.non_empty_string(weighted['service'], 'service'),
            units.number(weighted['weight'], 'weight', 0.0, MAX_WEIGHT),
        )
        for weighted in action.get('traffic_split') or ()
    )
    if not split:
        name = units.non_empty_string(action['service'], 'service')
        return (routes.WeightedService(name),)
    if len(split) > 1 and not any(part.weight for part in split):
        raise units.MalformedValue('no service has a weight above 0')
    return split


def _service(cluster: dict[str, typing.Any]) -> routes.Service:
    return routes.Service(
        name=units.non_empty_string(cluster['name'], 'name'),
        health_path=units.non_empty_string(
            cluster.get('health_path') or routes.DEFAULT_HEALTH_PATH,
            'health_path',
        ),
        max_connections=_integer(
            cluster, 'max_connections', DEFAULT_CONNECTIONS, MAX_CONNECTIONS
        ),
        warmup_s=_duration_s(cluster, 'warmup', 0.0),
        warmup_per_s=units.capped_number(
            cluster.get('warmup_per_s') or DEFAULT_WARMUP_PER_S,
            'warmup_per_s',
            MAX_WARMUP_PER_S,
        ),
    )


def _bytes(fields: dict[str, typing.Any], name: str, default: int) -> int:
    return _integer(fields, name, default, MAX_BODY_BYTES)


def _duration_s(
    fields: dict[str, typing.Any], name: str, default: float
) -> float:
    value = fields.get(name)
    return default if value is None else units.capped_duration_s(value)


def _integer(
    fields: dict[str, typing.Any], name: str, default: int, maximum: int
) -> int:
    return units.capped_integer(fields.get(name) or default, name, maximum)


# Limits on clients: the platform's name, this project's name and the
# conversion.
_LIMITS: typing.Mapping[str, tuple[str, typing.Callable]] = {
    'max_header_bytes': ('header_bytes', _bytes),
    'max_body_bytes': ('body_bytes', _bytes),
    'header_timeout': ('header_timeout_s', _duration_s),
    'idle_timeout': ('idle_timeout_s', _duration_s),
}
