"""Configurations in the platform's form, for tests."""

import typing

HOST = 'shop.example'


def rule(prefix: str, **changes: typing.Any) -> dict[str, typing.Any]:
    """Return a route in the platform's form.

    Args:
        prefix: Its path prefix.
        **changes: Fields of the route or of its action that differ.
    """
    action = {
        'service': 'catalog',
        'timeout': '2s',
        'max_attempts': 2,
        'home_regions': [],
    }
    fields = {
        'name': prefix.strip('/'),
        'kind': 'idempotent',
        'target_latency': '500ms',
        'priority': 1,
        'session_affinity': False,
        'match': {'prefix': prefix},
        'action': action,
    }
    in_action = {*action, 'traffic_split'}
    for name, value in changes.items():
        (action if name in in_action else fields)[name] = value
    return fields


def configuration(
    version: int, *rules: dict[str, typing.Any]
) -> dict[str, typing.Any]:
    """Return a configuration in the platform's form.

    Args:
        version: Its version.
        *rules: Its routes.
    """
    cluster = {
        'health_path': '/health',
        'max_connections': 100,
        'warmup': '3s',
        'warmup_per_s': 10.0,
    }
    services = ('catalog', 'orders', 'artwork')
    return {
        'version': version,
        'limits': {'max_body_bytes': 1 << 20, 'idle_timeout': '15s'},
        'listeners': [{'host': HOST, 'rules': list(rules)}],
        'clusters': [{'name': name, **cluster} for name in services],
    }


DEFAULT_RULES = (
    rule('/browse/'),
    rule('/order/', kind='non_idempotent'),
)
