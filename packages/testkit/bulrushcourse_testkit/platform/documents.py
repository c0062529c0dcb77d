"""Build configuration documents in the platform's format for tests."""

import typing

HOST = 'shop.example'


def rule(prefix: str, **changes: typing.Any) -> dict[str, typing.Any]:
    """Return a route in the platform's format.

    Args:
        prefix: Path prefix that the route matches.
        **changes: Fields of the route or of its action that override the
            defaults.
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
    action_fields = {*action, 'traffic_split'}
    for name, value in changes.items():
        (action if name in action_fields else fields)[name] = value
    return fields


def account(
    name: str, *keys: str, **changes: typing.Any
) -> dict[str, typing.Any]:
    """Return a client account in the platform's format.

    Args:
        name: Name of the account.
        *keys: Its API keys.
        **changes: Fields that override the defaults.
    """
    fields = {
        'name': name,
        'api_keys': list(keys),
        'priority': 1,
        'rate_per_s': 0,
        'burst': 0,
        'home_regions': [],
    }
    return {**fields, **changes}


def configuration(
    version: int, *rules: dict[str, typing.Any]
) -> dict[str, typing.Any]:
    """Return a configuration in the platform's format.

    Args:
        version: Version of the configuration.
        *rules: Routes of the configuration.
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
