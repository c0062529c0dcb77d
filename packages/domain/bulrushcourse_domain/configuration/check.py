"""Validation of a whole configuration, by all checks of this package."""

import collections
import typing

from bulrushcourse_domain import findings
from bulrushcourse_domain.configuration import check_capacity
from bulrushcourse_domain.configuration import check_limits
from bulrushcourse_domain.configuration import check_places
from bulrushcourse_domain.configuration import check_plans
from bulrushcourse_domain.configuration import objects

KINDS = (
    'places',
    'entries',
    'request_classes',
    'pools',
    'services',
    'limits',
    'plans',
)


def check_objects(
    candidate: objects.Objects,
) -> tuple[findings.Finding, ...]:
    """Return all findings of a configuration, ordered by place.

    Args:
        candidate: The objects to check.

    Examples:
        >>> service = objects.Service('catalog', 'none', 'short', True)
        >>> for found in check_objects(objects.Objects(services=(service,))):
        ...     print(found.place, found.code)
        services[catalog].pool dangling
        services[catalog].request_class dangling
    """
    rules = (
        _check_unique,
        _check_references,
        _check_ranges,
        check_places.check_places,
        check_capacity.check_capacity,
        check_limits.check_limits,
        check_plans.check_plans,
    )
    return findings.sort_findings(
        found for rule in rules for found in rule(candidate)
    )


def _check_unique(
    candidate: objects.Objects,
) -> typing.Iterator[findings.Finding]:
    members_by_kind = {kind: list(getattr(candidate, kind)) for kind in KINDS}
    members_by_kind['instances'] = [
        i for p in candidate.pools for i in p.instances
    ]
    for kind, members in members_by_kind.items():
        counts = collections.Counter(member.name for member in members)
        for name, count in counts.items():
            if count > 1 or not name:
                yield findings.Finding(
                    f'{kind}[{name}].name',
                    'duplicate' if name else 'empty',
                    f'is used {count} times',
                    'a unique, non-empty name',
                )


def _check_references(
    candidate: objects.Objects,
) -> typing.Iterator[findings.Finding]:
    names = {
        kind: {m.name for m in getattr(candidate, kind)} for kind in KINDS
    }
    regions = {place.region for place in candidate.places}
    references = [
        (f'entries[{e.name}].place', e.place, names['places'])
        for e in candidate.entries
    ]
    for pool in candidate.pools:
        references += [
            (
                f'pools[{pool.name}].instances[{i.name}].place',
                i.place,
                names['places'],
            )
            for i in pool.instances
        ]
    for service in candidate.services:
        place = f'services[{service.name}]'
        references.append((f'{place}.pool', service.pool, names['pools']))
        references.append(
            (
                f'{place}.request_class',
                service.request_class,
                names['request_classes'],
            )
        )
    for limit in candidate.limits:
        place = f'limits[{limit.name}]'
        references.append((f'{place}.target', limit.target, regions))
        if limit.kind is not objects.LimitKind.REGION:
            references.append((f'{place}.source', limit.source, regions))
    for plan in candidate.plans:
        place = f'plans[{plan.name}]'
        references.append(
            (f'{place}.source', plan.source, regions | names['places'])
        )
        if plan.service:
            references.append(
                (f'{place}.service', plan.service, names['services'])
            )
        if plan.kind is objects.PlanKind.SHIFT:
            references.append((f'{place}.target', plan.target, regions))
            references.append((f'{place}.limit', plan.limit, names['limits']))
    for place, name, defined in references:
        if name not in defined:
            yield findings.Finding(
                place,
                'dangling',
                f'refers to {name!r}, which is not defined',
                f'one of {", ".join(sorted(defined)) or "none defined"}',
            )


def _check_ranges(
    candidate: objects.Objects,
) -> typing.Iterator[findings.Finding]:
    positive = [
        (f'pools[{p.name}].{field}', getattr(p, field))
        for p in candidate.pools
        for field in ('slots', 'connections')
    ]
    positive += [
        (f'services[{s.name}].{field}', getattr(s, field))
        for s in candidate.services
        for field in ('deadline_ms', 'max_body_bytes')
    ]
    positive += [
        (f'request_classes[{c.name}].deadline_limit_ms', c.deadline_limit_ms)
        for c in candidate.request_classes
    ]
    for place, value in positive:
        if value <= 0:
            yield findings.Finding(place, 'range', f'is {value}', 'above 0')
    fractions = [
        (f'request_classes[{c.name}].slot_share', c.slot_share)
        for c in candidate.request_classes
    ]
    fractions += [(f'plans[{p.name}].share', p.share) for p in candidate.plans]
    for place, value in fractions:
        if not 0 < value <= 1:
            yield findings.Finding(
                place, 'range', f'is {value}', 'above 0 and at most 1'
            )
