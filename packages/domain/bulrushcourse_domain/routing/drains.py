"""Instances taken out of use by a planned drain of their failure domain."""

import datetime

from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_domain.configuration import objects


def drained_instances(
    configuration: configuration_set.ConfigurationSet,
    now: datetime.datetime,
) -> frozenset[str]:
    """Return the instances in failure domains whose drain has started.

    Drains of whole regions are not included: a ``ShiftPlan`` moves their
    traffic to other regions step by step.

    Args:
        configuration: The active configuration.
        now: Current time, with a UTC offset.

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
