"""Change the configuration of a soak as an operator does."""

import asyncio
import random
import time
import typing

import attrs

from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import documents
from bulrushcourse_testkit.platform import soak_history

POLL_INTERVAL_S = 0.02
# Versions whose marking routes a configuration keeps.
KEPT_VERSIONS = 3
HOMES: tuple[tuple[str, ...], ...] = (('a',), ('b',), ('a', 'b'))
BODY_BYTES = (256 << 10, 1 << 20)
HEADER_BYTES = (8 << 10, 16 << 10)
# Routes that come and go.
OPTIONAL_PREFIXES = tuple(f'/extra{number}/' for number in range(4))
MOVING_HOMES = ('/home/', '/homeorder/', '/homeupload/')
_KINDS = {
    '/order/': 'non_idempotent',
    '/homeorder/': 'non_idempotent',
    '/upload/': 'upload',
    '/homeupload/': 'upload',
}
_SERVICES = {
    '/order/': 'orders',
    '/homeorder/': 'orders',
    '/upload/': 'artwork',
    '/homeupload/': 'artwork',
}
PERMANENT_ACCOUNTS = ('anywhere', 'bound')
OPTIONAL_ACCOUNT = 'guest'


def is_repeatable(prefix: str) -> bool:
    """Return whether requests of a route may run more than once.

    Args:
        prefix: Prefix of the route.
    """
    return prefix not in _KINDS


def version_prefix(number: int) -> str:
    """Return the prefix of the route that marks a version.

    Args:
        number: Number of the version.
    """
    return f'/v{number}/'


@attrs.define(eq=False)
class Operator:
    """Writes configurations and evacuations, one random change at a time.

    Attributes:
        rng: Source of randomness.
        cluster: Store and upstreams.
        history: Where it records what it wrote.
        version: Number of the newest version.
        homes: Home regions by prefix, for routes that have them.
        account_homes: Home regions by client account.
        moving_service: Service of the route that changes it.
        weight: Weight of the first part of the split route.
        optional: Prefixes of the optional routes that exist.
        body_bytes: Maximum size of a body.
        header_bytes: Maximum size of a head.
        document: Newest version as it was written.
    """

    rng: random.Random
    cluster: clusters.EdgeCluster
    history: soak_history.History
    version: int = 0
    homes: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    account_homes: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    moving_service: str = 'catalog'
    weight: int = 5
    optional: set[str] = attrs.field(factory=set)
    body_bytes: int = BODY_BYTES[-1]
    header_bytes: int = HEADER_BYTES[-1]
    document: dict[str, typing.Any] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Choose the homes of the first version."""
        for prefix in MOVING_HOMES:
            self.homes[prefix] = self.rng.choice(HOMES[:2])
        self.account_homes = {'anywhere': (), 'bound': ('a',)}

    async def change(self) -> None:
        """Write a version with one to three changes."""
        changes = (
            self._move_homes,
            self._move_account,
            self._toggle_route,
            self._toggle_route,
            self._toggle_account,
            self._change_split,
            self._move_route,
            self._change_limits,
        )
        for change in self.rng.sample(changes, self.rng.randint(1, 3)):
            change()
        await self.publish()

    async def move_all_homes(self) -> None:
        """Write a version in which all homes are in another region."""
        for homes in (self.homes, self.account_homes):
            for name in sorted(homes):
                if homes[name]:
                    homes[name] = HOMES[homes[name] == HOMES[0]]
        await self.publish()

    async def publish(self) -> None:
        """Write the current objects as a new version."""
        await store_available(self.cluster)
        self.version += self.rng.randint(1, 3)
        sent_at = time.monotonic()
        rules = [self._rule(prefix) for prefix in self._prefixes()]
        document = documents.configuration(self.version, *rules)
        document['limits'] |= {
            'max_body_bytes': self.body_bytes,
            'max_header_bytes': self.header_bytes,
        }
        document['tenants'] = [
            documents.account(name, f'key-{name}', home_regions=list(homes))
            for name, homes in self.account_homes.items()
        ]
        self.document = document
        self.cluster.store.put('op', 'config', document)
        self.history.versions.append(
            soak_history.Version(
                self.version,
                sent_at,
                time.monotonic(),
                {
                    rule['match']['prefix']: _route_state(rule)
                    for rule in rules
                },
                {k: frozenset(v) for k, v in self.account_homes.items()},
                self.body_bytes,
                self.header_bytes,
            )
        )

    async def evacuate(self, failure_domain: str, duration_s: float) -> None:
        """Evacuate a failure domain for some time unless it is evacuated.

        Args:
            failure_domain: The failure domain.
            duration_s: Time until it is taken back, in seconds.
        """
        key = f'evacuate/{failure_domain}'
        await store_available(self.cluster)
        if ('op', key) in self.cluster.store.rows:
            return
        self.cluster.store.put('op', key, {})
        acknowledged_at = time.monotonic()
        await asyncio.sleep(duration_s)
        await store_available(self.cluster)
        self.history.evacuations.append(
            soak_history.Evacuation(
                failure_domain, acknowledged_at, time.monotonic()
            )
        )
        self.cluster.store.remove('op', key)

    def _prefixes(self) -> list[str]:
        marks = [v.number for v in self.history.versions[-KEPT_VERSIONS:]]
        return [
            '/browse/',
            '/order/',
            '/upload/',
            '/split/',
            '/moving/',
            *MOVING_HOMES,
            *sorted(self.optional),
            *map(version_prefix, (*marks, self.version)),
        ]

    def _rule(self, prefix: str) -> dict[str, typing.Any]:
        fields: dict[str, typing.Any] = {
            'kind': _KINDS.get(prefix, 'idempotent'),
            'service': _SERVICES.get(prefix, 'catalog'),
            'home_regions': list(self.homes.get(prefix, ())),
        }
        if prefix == '/moving/':
            fields['service'] = self.moving_service
        if prefix == '/split/':
            fields['traffic_split'] = [
                {'service': 'catalog', 'weight': self.weight},
                {'service': 'orders', 'weight': 10 - self.weight},
            ]
        return documents.rule(prefix, **fields)

    def _move_homes(self) -> None:
        prefix = self.rng.choice([*MOVING_HOMES, *sorted(self.optional)])
        self.homes[prefix] = self.rng.choice(HOMES)

    def _move_account(self) -> None:
        self.account_homes['bound'] = self.rng.choice(HOMES)

    def _toggle_route(self) -> None:
        self.optional ^= {self.rng.choice(OPTIONAL_PREFIXES)}

    def _toggle_account(self) -> None:
        if OPTIONAL_ACCOUNT in self.account_homes:
            del self.account_homes[OPTIONAL_ACCOUNT]
        else:
            self.account_homes[OPTIONAL_ACCOUNT] = ()

    def _change_split(self) -> None:
        self.weight = self.rng.randint(1, 9)

    def _move_route(self) -> None:
        self.moving_service = self.rng.choice(('catalog', 'orders'))

    def _change_limits(self) -> None:
        self.body_bytes = self.rng.choice(BODY_BYTES)
        self.header_bytes = self.rng.choice(HEADER_BYTES)


def _route_state(rule: dict[str, typing.Any]) -> soak_history.RouteState:
    action = rule['action']
    parts = action.get('traffic_split') or [{'service': action['service']}]
    return soak_history.RouteState(
        frozenset(part['service'] for part in parts),
        frozenset(action['home_regions']),
    )


async def store_available(cluster: clusters.EdgeCluster) -> None:
    """Wait until the store serves.

    Args:
        cluster: The cluster with the store.
    """
    store = cluster.store
    while store.down or store.silent:  # noqa: ASYNC110
        await asyncio.sleep(POLL_INTERVAL_S)
