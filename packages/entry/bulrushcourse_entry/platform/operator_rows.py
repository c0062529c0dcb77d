"""Decoding of operators' rows: configuration and evacuations."""

import json
import typing

from bulrushcourse_domain.routes import route as routes
from bulrushcourse_entry.platform import units

TABLE = 'op'
CONFIGURATION_KEY = 'config'
EVACUATION_PREFIX = 'evacuate/'

# Kinds of routes whose requests may be sent more than once. Requests of all
# other kinds, also unknown ones, are run at most once.
_IDEMPOTENT_KINDS = frozenset({'idempotent'})
_UPLOAD_KINDS = frozenset({'upload'})


def evacuated_domain(key: str) -> str | None:
    """Return the failure domain that a row evacuates, ``None`` if none.

    Args:
        key: Key of a row of the operators' table.
    """
    if not key.startswith(EVACUATION_PREFIX):
        return None
    return key.removeprefix(EVACUATION_PREFIX)


def decode_configuration(value: bytes) -> routes.RouteSet:
    """Return a configuration in this project's types.

    Args:
        value: Content of the configuration row.

    Raises:
        MalformedValue: If any part of it is malformed.
    """
    try:
        document = json.loads(value)
        return routes.RouteSet(
            version=units.integer(document['version'], 'version'),
            routes=tuple(
                _route(listener['host'], rule)
                for listener in document['listeners']
                for rule in listener['rules']
            ),
            services={
                cluster['name']: _service(cluster)
                for cluster in document['clusters']
            },
            limits=_limits(document.get('limits') or {}),
        )
    except units.MalformedValue:
        raise
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise units.MalformedValue(f'configuration: {error!r}') from error


def _route(host: str, rule: dict[str, typing.Any]) -> routes.Route:
    action = rule['action']
    kind = rule.get('kind')
    # ``traffic_split`` replaces ``service`` if it is given.
    weighted_services = tuple(
        routes.WeightedService(
            units.non_empty_string(weighted['service'], 'service'),
            weighted['weight'],
        )
        for weighted in action.get('traffic_split') or ()
    ) or (
        routes.WeightedService(
            units.non_empty_string(action['service'], 'service')
        ),
    )
    timeout_s = _duration_s(action, 'timeout', routes.DEFAULT_TIMEOUT_S)
    return routes.Route(
        host=units.non_empty_string(host, 'host').lower(),
        prefix=units.non_empty_string(rule['match']['prefix'], 'prefix'),
        weighted_services=weighted_services,
        idempotent=kind in _IDEMPOTENT_KINDS,
        upload=kind in _UPLOAD_KINDS,
        timeout_s=timeout_s,
        # ``target_latency`` is no timeout; it is the time within which a
        # response gets full credit.
        objective_s=_duration_s(rule, 'target_latency', min(1.0, timeout_s)),
        max_attempts=max(1, int(action.get('max_attempts') or 1)),
        priority=int(rule.get('priority') or 0),
        home_regions=frozenset(action.get('home_regions') or ()),
        affinity=bool(rule.get('session_affinity')),
    )


def _service(cluster: dict[str, typing.Any]) -> routes.Service:
    return routes.Service(
        name=units.non_empty_string(cluster['name'], 'name'),
        health_path=cluster.get('health_path') or '/health',
        max_connections=int(cluster.get('max_connections') or 100),
        warmup_s=_duration_s(cluster, 'warmup', 0.0),
        warmup_per_s=float(cluster.get('warmup_per_s') or 10.0),
    )


def _limits(fields: dict[str, typing.Any]) -> routes.RequestLimits:
    defaults = routes.RequestLimits()
    return routes.RequestLimits(
        header_bytes=fields.get('max_header_bytes', defaults.header_bytes),
        body_bytes=fields.get('max_body_bytes', defaults.body_bytes),
        header_timeout_s=_duration_s(
            fields, 'header_timeout', defaults.header_timeout_s
        ),
        idle_timeout_s=_duration_s(
            fields, 'idle_timeout', defaults.idle_timeout_s
        ),
    )


def _duration_s(
    fields: dict[str, typing.Any], name: str, default: float
) -> float:
    value = fields.get(name)
    return default if value is None else units.duration_s(value)
