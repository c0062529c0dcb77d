"""Specifications of stand-ins and settings of entries, as JSON values."""

import pathlib
import typing

from bulrushcourse_domain.configuration import objects
from bulrushcourse_testkit import managed

HOST = '127.0.0.1'

Document = dict[str, typing.Any]


def upstreams_spec(
    published: objects.Objects,
    control_port: int,
    seed: int,
    mean_ms: dict[str, float],
) -> Document:
    """Return the specification of the upstream stand-in for all instances.

    Args:
        published: Objects whose instances have loopback addresses.
        control_port: Port for control requests.
        seed: Seed of the service times.
        mean_ms: Mean service time by request class, in ms.
    """
    classes = {s.pool: s.request_class for s in published.services}
    return {
        'control_port': control_port,
        'seed': seed,
        'instances': [
            {
                'name': instance.name,
                'port': int(instance.address.rpartition(':')[2]),
                'slots': pool.slots,
                'mean_ms': mean_ms[classes[pool.name]],
            }
            for pool in published.pools
            for instance in pool.instances
        ],
    }


def proxy_spec(
    control_port: int, targets: dict[str, tuple[int, str]]
) -> Document:
    """Return the specification of the fault proxy.

    Args:
        control_port: Port for control requests.
        targets: Listening port and target address by name of link.

    Examples:
        >>> proxy_spec(1, {'a': (2, '127.0.0.1:3')})['links'][0]['port']
        2
    """
    return {
        'control_port': control_port,
        'links': [
            {'name': name, 'port': port, 'target': target}
            for name, (port, target) in targets.items()
        ],
    }


def entry_settings(
    published: objects.Objects,
    name: str,
    ports: managed.EntryPorts,
    store: str,
    vms: str,
    directory: pathlib.Path,
) -> Document:
    """Return the settings of an entry, except its VM id.

    Args:
        published: Objects of the deployment.
        name: Name of the entry.
        ports: Ports of the listeners.
        store: Base URL of the table service and the object store.
        vms: URL of the list of VMs.
        directory: Directory of the secret and the token.
    """
    places = {place.name: place.region for place in published.places}
    entry = {e.name: e for e in published.entries}[name]
    return {
        'entry': name,
        'region': places[entry.place],
        'failure_domain': entry.place,
        'listen': {
            'callers': f'{HOST}:{ports.callers}',
            'operators': f'{HOST}:{ports.operators}',
            'peers': f'{HOST}:{ports.peers}',
        },
        'platform': {
            'table': f'{store}/table',
            'objects': f'{store}/objects',
            'vms': vms,
        },
        'peer_secret_file': str(directory / 'secret'),
        'operator_token_file': str(directory / 'token'),
        'answer_max_age_s': 1,
    }
