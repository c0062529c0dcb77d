"""Dump of what an edge process believes, with the age of each belief."""

import typing

import attrs

from bulrushcourse_entry.edge import knowledge as knowledges


def dump(known: knowledges.Knowledge) -> dict[str, typing.Any]:
    """Return what a process believes, ready to be written as JSON.

    Args:
        known: What this process believes.
    """
    now = known.clock.monotonic()
    return {
        'vm': attrs.asdict(known.fleet.local_vm),
        'phase': known.fleet.phase.value,
        'configuration': known.routes.version,
        'operators_version': known.operators_version,
        'evacuated': sorted(known.upstreams.evacuated),
        'upstreams_version': known.upstreams.version,
        'upstreams_age_s': _age(now, known.upstreams.read_at),
        'upstreams': {
            name: _upstream(known, name) for name in known.upstreams.entries
        },
        'vms': {
            name: {
                'alive': known.fleet.is_alive(name),
                'phase': seen.phase.value,
                'age_s': _age(now, seen.at),
            }
            for name, seen in known.fleet.heartbeats.items()
        },
        'demand': known.demand.own_slots(),
        'regions': {
            f'{route} at {service}': {
                region: round(share, 3) for region, share in mix.shares.items()
            }
            for (route, service), mix in known.mixes.items()
        },
        'second_sends_left': {
            service: round(budget.tokens, 2)
            for service, budget in known.budgets.items()
        },
    }


def _upstream(known: knowledges.Knowledge, name: str) -> dict[str, typing.Any]:
    entry = known.upstreams.entries[name]
    slowness, at = known.load.slowness.get(name, (None, 0.0))
    return {
        **attrs.asdict(entry),
        'cold': known.upstreams.is_cold(name),
        'in_flight': known.load.in_flight(name),
        'slowness': slowness,
        'slowness_age_s': (
            _age(known.clock.monotonic(), at) if slowness else None
        ),
        'failing': round(known.outliers.failure_share(name), 3),
        'set_aside': known.outliers.is_ejected(name),
    }


def _age(now: float, at: float) -> float | None:
    return round(now - at, 3) if at > float('-inf') else None
