"""Guards against drains that start early, late or for other places."""

import datetime

from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.routing import drains

START = datetime.datetime(2026, 12, 4, 12, 0, tzinfo=datetime.UTC)


def make_configuration(source, service=''):
    plan = objects.Plan(
        'd',
        objects.PlanKind.DRAIN,
        source,
        START.isoformat(),
        (START + datetime.timedelta(hours=1)).isoformat(),
        service,
    )
    pools = tuple(
        objects.Pool(
            name,
            1,
            10,
            (
                objects.Instance(f'{name}-1', 'a', '127.0.0.1:1'),
                objects.Instance(f'{name}-2', 'b', '127.0.0.1:2'),
            ),
        )
        for name in ('x', 'y')
    )
    services = tuple(
        objects.Service(name, name, 'short', True) for name in ('x', 'y')
    )
    places = (objects.Place('a', 'r'), objects.Place('b', 'r'))
    return configuration_set.ConfigurationSet(
        1,
        objects.Objects(
            places=places, pools=pools, services=services, plans=(plan,)
        ),
    )


def test_only_the_failure_domain_is_drained_from_its_start():
    second = datetime.timedelta(seconds=1)
    configuration = make_configuration('a')
    assert drains.drained_instances(configuration, START - second) == set()
    assert drains.drained_instances(configuration, START) == {'x-1', 'y-1'}
    assert drains.drained_instances(make_configuration('a', 'y'), START) == {
        'y-1'
    }
    assert drains.drained_instances(make_configuration('r'), START) == set()
