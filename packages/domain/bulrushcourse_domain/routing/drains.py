"""Instances that a planned drain of a failure domain takes out of use."""

import datetime

from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_domain.configuration import objects


def drained_instances(
    configuration: configuration_set.ConfigurationSet,
    now: datetime.datetime,
) -> frozenset[str]:
    """Return the instances in failure domains whose drain has started.

    A drain of a whole region moves traffic to other regions step by step and
    is a shift plan; it is not counted here.

    Args:
        configuration: The configuration in force.
        now: Current time with its UTC offset.

    Examples:
        >>> empty = configuration_set.ConfigurationSet(1, objects.Objects())
        >>> drained_instances(empty, datetime.datetime.now(datetime.UTC))
        frozenset()
    """
    drains = [
        plan
        for plan in configuration.objects.plans
        if plan.kind is objects.PlanKind.DRAIN
        and datetime.datetime.fromisoformat(plan.start) <= now
    ]
    return frozenset(
        instance.name
        for plan in drains
        for service in configuration.services.values()
        if plan.service in ('', service.name)
        for instance in configuration.pools[service.pool].instances
        if instance.place == plan.source
    )
