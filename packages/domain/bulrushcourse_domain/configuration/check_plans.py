"""Checks of plans."""

import datetime
import itertools
import typing

from bulrushcourse_domain import findings
from bulrushcourse_domain.configuration import objects

Window = tuple[datetime.datetime, datetime.datetime]


def check_plans(
    candidate: objects.Objects,
) -> typing.Iterator[findings.Finding]:
    """Yield findings on plans.

    Args:
        candidate: The objects to check.
    """
    windows = {}
    for plan in candidate.plans:
        times = {}
        for field in ('start', 'finish_by'):
            place = f'plans[{plan.name}].{field}'
            try:
                times[field] = _parse_time(getattr(plan, field))
            except ValueError as error:
                yield findings.Finding(
                    place,
                    'time',
                    str(error),
                    'a time such as 2026-12-04T12:00:00Z',
                )
        if len(times) < 2:
            continue
        windows[plan.name] = times['start'], times['finish_by']
        if times['finish_by'] <= times['start']:
            yield findings.Finding(
                f'plans[{plan.name}].finish_by',
                'time',
                'is not after start',
                'a later time',
            )
    yield from _check_overlaps(candidate, windows)
    yield from _check_shifts(candidate)
    yield from _check_remaining_instances(candidate)


def _parse_time(text: str) -> datetime.datetime:
    try:
        parsed = datetime.datetime.fromisoformat(text)
    except ValueError as error:
        raise ValueError(f'is {text!r}, not an ISO 8601 time') from error
    if parsed.tzinfo is None:
        raise ValueError(f'{text!r} has no UTC offset')
    return parsed


def _check_overlaps(
    candidate: objects.Objects, windows: dict[str, Window]
) -> typing.Iterator[findings.Finding]:
    """Check that plans that overlap in time do not conflict."""
    region_of = {place.name: place.region for place in candidate.places}
    for earlier, later in itertools.combinations(candidate.plans, 2):
        if earlier.name not in windows or later.name not in windows:
            continue
        first, second = windows[earlier.name], windows[later.name]
        if first[0] >= second[1] or second[0] >= first[1]:
            continue
        if earlier.service and later.service not in ('', earlier.service):
            continue
        conflict = _find_conflict(earlier, later, region_of)
        if conflict:
            yield findings.Finding(
                f'plans[{later.name}]',
                'overlap',
                f'{conflict} {earlier.name!r} at the same time',
                'times that do not overlap, or one plan',
            )


def _find_conflict(
    one: objects.Plan, other: objects.Plan, region_of: dict[str, str]
) -> str:
    """Return how two plans conflict, empty if they do not."""
    shift = objects.PlanKind.SHIFT
    if _is_same_or_within(one.source, other.source, region_of):
        both = one.kind is other.kind is shift
        if not both or one.target == other.target:
            return 'moves the same traffic as'
        if one.share + other.share > 1:
            return 'moves more than all traffic together with'
    if other.kind is shift and _is_same_or_within(
        other.target, one.source, region_of
    ):
        return 'moves traffic into the source of'
    if one.kind is shift and _is_same_or_within(
        one.target, other.source, region_of
    ):
        return 'moves traffic out of the target of'
    return ''


def _is_same_or_within(
    one: str, other: str, region_of: dict[str, str]
) -> bool:
    """Return whether two names are equal or one is a place in the other."""
    return (
        one == other
        or region_of.get(one) == other
        or region_of.get(other) == one
    )


def _check_shifts(
    candidate: objects.Objects,
) -> typing.Iterator[findings.Finding]:
    limits = {limit.name: limit for limit in candidate.limits}
    region_of = {place.name: place.region for place in candidate.places}
    for plan in candidate.plans:
        limit = limits.get(plan.limit)
        place = f'plans[{plan.name}].limit'
        if plan.kind is not objects.PlanKind.SHIFT or limit is None:
            continue
        source = region_of.get(plan.source, plan.source)
        if limit.kind is not objects.LimitKind.SHIFT:
            yield findings.Finding(
                place,
                'kind',
                f'refers to the {limit.kind.value} limit {limit.name!r}',
                'a shift limit',
            )
        elif (limit.source, limit.target) != (source, plan.target):
            yield findings.Finding(
                place,
                'other_regions',
                f'{limit.name!r} bounds {limit.source!r} to {limit.target!r}',
                f'a limit from {source!r} to {plan.target!r}',
            )
        if source == plan.target:
            yield findings.Finding(
                f'plans[{plan.name}].target',
                'same_region',
                'equals the source',
                'another region',
            )
        yield from _check_target(candidate, plan, region_of)


def _check_target(
    candidate: objects.Objects, plan: objects.Plan, region_of: dict[str, str]
) -> typing.Iterator[findings.Finding]:
    pools = {pool.name: pool for pool in candidate.pools}
    for service in candidate.services:
        pool = pools.get(service.pool)
        if pool is None or plan.service not in ('', service.name):
            continue
        regions = {region_of.get(i.place) for i in pool.instances}
        if plan.target not in regions:
            yield findings.Finding(
                f'plans[{plan.name}].target',
                'no_instance',
                f'{plan.target!r} has no instance of {service.name!r}',
                f'one of {", ".join(sorted(filter(None, regions)))}',
            )


def _check_remaining_instances(
    candidate: objects.Objects,
) -> typing.Iterator[findings.Finding]:
    region_of = {place.name: place.region for place in candidate.places}
    drains = {
        plan.source: plan.name
        for plan in candidate.plans
        if plan.kind is objects.PlanKind.DRAIN
    }
    pools = {pool.name: pool for pool in candidate.pools}
    for service in candidate.services:
        pool = pools.get(service.pool)
        if pool is None:
            continue
        remaining = [
            i
            for i in pool.instances
            if i.place not in drains and region_of.get(i.place) not in drains
        ]
        if remaining:
            continue
        place = (
            f'plans[{sorted(drains.values())[0]}].source'
            if drains
            else f'pools[{pool.name}].instances'
        )
        yield findings.Finding(
            place,
            'last_place',
            f'leaves service {service.name!r} without an instance',
            'at least one instance in a place that is not drained',
        )
