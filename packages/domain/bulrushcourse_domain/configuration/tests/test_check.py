"""Tests of the checks: each defect is reported at its field."""

import attrs
import pytest

from bulrushcourse_domain.configuration import check
from bulrushcourse_domain.configuration import objects

PLACES = (
    objects.Place('a', 'nord', ('sud',), ('10.0.0.0/8',)),
    objects.Place('b', 'nord'),
    objects.Place('c', 'sud'),
)
VALID = objects.Objects(
    places=PLACES,
    entries=(objects.Entry('e1', 'a'), objects.Entry('e2', 'c')),
    request_classes=(objects.RequestClass('short', 1, 5000),),
    pools=(
        objects.Pool(
            'p',
            2,
            4,
            tuple(
                objects.Instance(f'i{n}', n, f'10.0.0.1:{ord(n)}')
                for n in 'abc'
            ),
        ),
    ),
    services=(objects.Service('s', 'p', 'short', True),),
    limits=(
        objects.Limit('link', objects.LimitKind.LINK, 'sud', 'nord', 100.0),
        objects.Limit('region', objects.LimitKind.REGION, 'sud', in_flight=4),
        objects.Limit(
            'shift', objects.LimitKind.SHIFT, 'sud', 'nord', 0.0, 20.0
        ),
    ),
)


def shift(name, start=1, end=2, **fields):
    values = {'service': 's', 'target': 'sud', 'limit': 'shift'} | fields
    return objects.Plan(
        name,
        objects.PlanKind.SHIFT,
        values.pop('source', 'nord'),
        f'2026-12-04T0{start}:00:00Z',
        f'2026-12-04T0{end}:00:00Z',
        **values,
    )


def drain(name, source):
    return attrs.evolve(
        shift(name, source=source),
        kind=objects.PlanKind.DRAIN,
        service='',
        target='',
        limit='',
    )


def change(kind, index, **fields):
    members = list(getattr(VALID, kind))
    members[index] = attrs.evolve(members[index], **fields)
    return {kind: tuple(members)}


def test_valid_set_has_no_findings():
    """Guards against findings on a valid set, which would block publishing."""
    valid = attrs.evolve(VALID, plans=(shift('x'), shift('y', 2, 3)))
    assert check.check_objects(valid) == ()


@pytest.mark.parametrize(
    'changes, expected',
    [
        ({'entries': VALID.entries[:1]}, 'entries no_entry'),
        (change('limits', 1, in_flight=0), 'limits[region].in_flight range'),
        (
            change('limits', 0, mbit_per_s=0.1),
            'limits[link].mbit_per_s floor_share',
        ),
        (
            change('limits', 2, requests_per_s=3.0),
            'limits[shift].requests_per_s floor_share',
        ),
        (
            change('limits', 0, source='sud'),
            'limits[link].source same_region',
        ),
        (
            {
                'limits': (
                    *VALID.limits,
                    attrs.evolve(VALID.limits[1], name='z'),
                )
            },
            'limits[z] same_target',
        ),
        (change('pools', 0, connections=1), 'pools[p].connections capacity'),
        (change('services', 0, deadline_ms=9000), 'services[s].deadline_ms'),
        (
            change('places', 1, near_regions=('ost',)),
            'places[b].near_regions dangling',
        ),
        (
            change('places', 2, clients=('10.0.0.0/8',)),
            'places[c].clients duplicate',
        ),
        (change('places', 2, clients=('x',)), 'places[c].clients prefix'),
        ({'plans': (shift('x'), shift('y'))}, 'plans[y] overlap'),
        (
            {'plans': (shift('x'), drain('y', 'c'))},
            'plans[y] overlap',
        ),
        (
            {'plans': (shift('x', limit='link'),)},
            'plans[x].limit kind',
        ),
        (
            {'plans': (shift('x', source='c', target='nord'),)},
            'plans[x].limit other_regions',
        ),
        ({'plans': (drain('x', 'nord'), drain('y', 'sud'))}, 'last_place'),
    ],
)
def test_defect_is_reported(changes, expected):
    """Guards against a defect that is published to all entries."""
    found = check.check_objects(attrs.evolve(VALID, **changes))
    texts = [f'{one.place} {one.code}' for one in found]
    assert any(expected in text for text in texts), texts


def test_region_limit_below_one_slot_per_pool_is_reported():
    """Guards against a pool whose share of the limit is 0 and never serves."""
    second = attrs.evolve(
        VALID.pools[0],
        name='q',
        instances=(objects.Instance('j', 'c', '10.0.0.2:1'),),
    )
    invalid = attrs.evolve(
        VALID,
        pools=(*VALID.pools, second),
        **change('limits', 1, in_flight=1),
    )
    codes = [f'{f.place} {f.code}' for f in check.check_objects(invalid)]
    assert codes == ['limits[region].in_flight capacity']


def test_two_pools_cannot_share_an_address():
    """Guards against an overload of an instance whose slots count twice."""
    instances = list(VALID.pools[0].instances)
    instances[1] = attrs.evolve(instances[1], address=instances[0].address)
    invalid = attrs.evolve(
        VALID, **change('pools', 0, instances=tuple(instances))
    )
    assert [f.code for f in check.check_objects(invalid)] == ['same_address']
