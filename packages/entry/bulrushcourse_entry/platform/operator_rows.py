"""What operators write to the store: configuration and evacuations."""

import json
import typing

from bulrushcourse_domain.routes import route as routes
from bulrushcourse_entry.platform import units

TABLE = 'op'
CONFIGURATION_KEY = 'config'
EVACUATION_PREFIX = 'evacuate/'

# Kinds of routes that may be sent more than once. All others, known or not,
# run at most once.
_IDEMPOTENT_KINDS = frozenset({'idempotent'})
_UPLOAD_KINDS = frozenset({'upload'})


def evacuated_domain(key: str) -> str | None:
    """Return the failure domain that a row asks to evacuate.

    Args:
        key: Key of a row of the operators' table.
    """
    if not key.startswith(EVACUATION_PREFIX):
        return None
    return key.removeprefix(EVACUATION_PREFIX)


def decode_configuration(value: bytes) -> routes.RouteSet:
    """Return a configuration in own types.

    Args:
        value: Content of the configuration's row.

    Raises:
        MalformedValue: If it cannot be read as a whole.
    """
    try:
        document = json.loads(value)
        return routes.RouteSet(
            version=units.whole(document['version'], 'version'),
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
    # ``traffic_split`` takes the place of ``service``.
    parts = tuple(
        routes.WeightedService(
            units.text(part['service'], 'service'), part['weight']
        )
        for part in action.get('traffic_split') or ()
    ) or (routes.WeightedService(units.text(action['service'], 'service')),)
    timeout_s = _time(action, 'timeout', routes.DEFAULT_TIMEOUT_S)
    return routes.Route(
        host=units.text(host, 'host').lower(),
        prefix=units.text(rule['match']['prefix'], 'prefix'),
        weighted_services=parts,
        idempotent=kind in _IDEMPOTENT_KINDS,
        upload=kind in _UPLOAD_KINDS,
        timeout_s=timeout_s,
        # ``target_latency`` is the time for full credit, not a timeout.
        objective_s=_time(rule, 'target_latency', min(1.0, timeout_s)),
        max_attempts=max(1, int(action.get('max_attempts') or 1)),
        priority=int(rule.get('priority') or 0),
        home_regions=frozenset(action.get('home_regions') or ()),
        affinity=bool(rule.get('session_affinity')),
    )


def _service(cluster: dict[str, typing.Any]) -> routes.Service:
    return routes.Service(
        name=units.text(cluster['name'], 'name'),
        health_path=cluster.get('health_path') or '/health',
        max_connections=int(cluster.get('max_connections') or 100),
        warmup_s=_time(cluster, 'warmup', 0.0),
        warmup_per_s=float(cluster.get('warmup_per_s') or 10.0),
    )


def _limits(fields: dict[str, typing.Any]) -> routes.RequestLimits:
    usual = routes.RequestLimits()
    return routes.RequestLimits(
        header_bytes=fields.get('max_header_bytes', usual.header_bytes),
        body_bytes=fields.get('max_body_bytes', usual.body_bytes),
        header_timeout_s=_time(
            fields, 'header_timeout', usual.header_timeout_s
        ),
        idle_timeout_s=_time(fields, 'idle_timeout', usual.idle_timeout_s),
    )


def _time(fields: dict[str, typing.Any], name: str, default: float) -> float:
    value = fields.get(name)
    return default if value is None else units.seconds(value)
