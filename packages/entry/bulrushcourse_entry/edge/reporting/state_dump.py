"""Dump of the process state, with the age of each observation."""

import heapq
import itertools
import math
import typing

import attrs

from bulrushcourse_domain.costs import key_costs
from bulrushcourse_domain.quarantine import fingerprints
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.reporting import memory_monitor
from bulrushcourse_entry.edge.reporting import quota_dump

# Requests that lost upstreams, and upstreams for each of them, in a dump.
MAX_REQUESTS = 100
MAX_UPSTREAMS = 20
MAX_DUMPED_FINDINGS = 100

# Objects with the most work that are listed for each route.
MAX_DUMPED_KEYS = 5
_ATTEMPTS = {True: 'first attempts', False: 'further attempts'}


def dump(state: process_state.ProcessState) -> dict[str, typing.Any]:
    """Return the process state as values that JSON can represent.

    Args:
        state: The process state.
    """
    now = state.clock.monotonic()
    return {
        'vm': attrs.asdict(state.fleet.local_vm),
        'phase': state.fleet.phase.value,
        'configuration': state.routes.version,
        'configuration_evidence': _configuration_evidence(state),
        'accounts': len(state.routes.accounts.by_name),
        'key_permission': _key_permission(state),
        'operators_version': state.operators_position.version,
        'operators_era': state.operators_position.era,
        'store': _store(state),
        'evacuated': sorted(state.upstreams.candidates.evacuated),
        'upstreams_version': state.upstreams.position.version,
        'upstreams_era': state.upstreams.position.era,
        'upstreams_age_s': _age(now, state.upstreams.read_at),
        'upstreams': {
            name: _upstream(state, name) for name in state.upstreams.by_name
        },
        'vms': {
            name: {
                'alive': state.fleet.is_alive(name),
                'phase': heartbeat.phase.value,
                'age_s': _age(now, heartbeat.at),
            }
            for name, heartbeat in state.fleet.heartbeats.items()
        },
        'memory': memory_monitor.dump(state.memory),
        'lag_ms': round(state.lag.lag_s * 1000),
        'relays': state.links.topology.relays,
        'reports_to': {
            name: relation.value
            for name, relation in state.links.receivers().items()
        },
        'reports_from': {
            name: {
                'relation': contact.relation.value,
                'age_s': _age(now, contact.at),
            }
            for name, contact in state.links.contacts.items()
        },
        'demand': state.demand.own_slots(),
        'quotas': quota_dump.dump(state),
        'regions': {
            _mix_name(*key): {
                region: round(share, 3) for region, share in mix.shares.items()
            }
            for key, mix in state.region_mixes.items()
        },
        'rows_held_back': {
            entry.name: {
                'born': entry.stamp.born,
                'sequence': entry.stamp.sequence,
                'state': entry.state.name.lower(),
            }
            for entry in state.upstreams.states_of_held_back()
        },
        'losses': _losses(state),
        'objects_divided': sorted(
            _mix_name(*key) for key in state.placement.divided
        ),
        'costs_by_object': {
            f'{route} at {service}': {
                'predicts': costs.predicts,
                'heaviest': _heaviest(costs),
            }
            for (route, service), costs in (
                state.placement.costs.by_route.items()
            )
        },
        'durations': {
            f'{route} at {service}, {_ATTEMPTS[first]}': {
                'samples': round(curve.samples),
                'mean_ratio': round(curve.mean_ratio(), 2),
            }
            for (route, service, first), curve in (
                state.durations.curves.items()
            )
        },
        'waiting': _waiting(state),
        'second_sends_left': {
            service: round(budget.tokens, 2)
            for service, budget in state.retry_budgets.items()
        },
    }


def _store(state: process_state.ProcessState) -> dict[str, typing.Any]:
    store_era = state.store_era
    first = store_era.first_version
    return {
        'era': store_era.era,
        'first_version': first if math.isfinite(first) else None,
        'returns': store_era.returns,
        'settling_s': round(store_era.settling_s(), 3),
    }


def _configuration_evidence(
    state: process_state.ProcessState,
) -> dict[str, typing.Any]:
    now = state.clock.monotonic()
    freshness = state.freshness
    return {
        'confirmed_by': freshness.source.value,
        'age_s': _age(now, freshness.confirmed_at),
        'contact_age_s': _age(now, freshness.contact_at),
        'newest_reported': freshness.newest_heard,
        'unconfirmed': state.configuration_unconfirmed,
        'unreadable': freshness.unreadable,
        'findings': [
            str(finding)
            for finding in itertools.islice(
                state.routes.findings, MAX_DUMPED_FINDINGS
            )
        ],
    }


def _key_permission(
    state: process_state.ProcessState,
) -> dict[str, typing.Any]:
    keys = state.key_permission
    version = state.routes.version
    bounds = state.settings.bounds
    age_s = keys.age_s(version)
    return {
        'enforced': state.keys_must_be_current,
        'may_serve': not state.keys_must_be_current
        or keys.may_serve(version, bounds.revoke_s),
        'proof_age_s': round(age_s, 3) if math.isfinite(age_s) else None,
        'proof_from': keys.source.value,
        'newest_proof_of': keys.newest.version if keys.newest else None,
    }


def _losses(state: process_state.ProcessState) -> dict[str, typing.Any]:
    """Return the requests that lost upstreams, the latest ones."""
    ledger = state.crash_ledger
    now = state.clock.monotonic()
    latest = itertools.islice(
        reversed(ledger.losses.by_fingerprint), MAX_REQUESTS
    )
    dumped = {}
    for fingerprint in tuple(latest):
        quarantine = ledger.counted.quarantine(fingerprint)
        content = fingerprints.content_of(fingerprint)
        dumped[fingerprint] = {
            'quarantined': quarantine is not None,
            'content_quarantined': (
                ledger.counted.quarantine(content) is not None
            ),
            'failed_probes': quarantine.failed_probes if quarantine else 0,
            'probe_due_s': (
                round(quarantine.due - now, 3)
                if quarantine and math.isfinite(quarantine.due)
                else None
            ),
            'age_s': {
                loss.upstream: _age(now, loss.at)
                for loss in ledger.losses.of_request(fingerprint)[
                    :MAX_UPSTREAMS
                ]
            },
        }
    return dumped


def _waiting(state: process_state.ProcessState) -> dict[str, typing.Any]:
    room = state.waiting_room
    everywhere = state.pressure.sum_of(state.pressure.reports.latest, True)
    return {
        'entries': room.count,
        'bytes': room.size,
        'ended': {end.value: count for end, count in room.ends.items()},
        'recent_requests': {
            service: {
                priority: {
                    'arrived': round(arrived, 1),
                    'without_room': round(without_room, 1),
                }
                for priority, (arrived, without_room) in sorted(ranks.items())
            }
            for service, ranks in everywhere.items()
        },
    }


def _kept_for_s(state: process_state.ProcessState, name: str) -> float | None:
    expiry = state.upstreams.expiry
    if name not in expiry.kept_until:
        return None
    now = state.clock.monotonic()
    return round(expiry.end_of(name, now) - now, 3)


def _upstream(
    state: process_state.ProcessState, name: str
) -> dict[str, typing.Any]:
    upstream = state.upstreams.by_name[name]
    slowness, at = state.load.slowness.get(name, (None, 0.0))
    now = state.clock.monotonic()
    ban = state.permissions.prohibition(upstream)
    return {
        **attrs.asdict(upstream),
        'cold': state.upstreams.cold.is_cold(name),
        'kept_without_row_for_s': _kept_for_s(state, name),
        'address_proven_for_s': round(
            state.upstreams.addresses.proven_for_s(upstream), 3
        ),
        'address_withheld': name in state.upstreams.addresses.withheld(True),
        'names_itself': (name not in state.upstreams.addresses.nameless()),
        'in_flight': state.load.in_flight(name),
        'slowness': slowness,
        'slowness_age_s': (_age(now, at) if slowness else None),
        'failing': round(state.outliers.failure_share(name), 3),
        'set_aside': state.outliers.is_ejected(name),
        'banned': ban.reason.value if ban else None,
        'banned_for_s': (
            round(ban.until - now, 3)
            if ban and math.isfinite(ban.until)
            else None
        ),
    }


def _heaviest(costs: key_costs.KeyCosts) -> dict[str, float]:
    largest = heapq.nlargest(
        MAX_DUMPED_KEYS,
        costs.by_key.items(),
        key=lambda item: item[1].factor,
    )
    return {key: round(known.factor, 2) for key, known in largest}


def _mix_name(route: str, service: str, homes: frozenset[str]) -> str:
    within = f' within {",".join(sorted(homes))}' if homes else ''
    return f'{route} at {service}{within}'


def _age(now: float, at: float) -> float | None:
    return round(now - at, 3) if at > float('-inf') else None
