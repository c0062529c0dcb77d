"""Aggregate of a checked configuration with its derived indexes."""

import functools

import attrs
from returns import result

from bulrushcourse_domain import findings
from bulrushcourse_domain.configuration import check
from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.routing import blocks


@attrs.frozen(slots=False)
class ConfigurationSet:
    """A checked configuration with its version.

    Attributes:
        version: Number that increases with each publication.
        objects: The objects; the checks have no findings on them.
    """

    version: int
    objects: objects.Objects

    @functools.cached_property
    def services(self) -> dict[str, objects.Service]:
        """Services by name."""
        return {service.name: service for service in self.objects.services}

    @functools.cached_property
    def pools(self) -> dict[str, objects.Pool]:
        """Pools by name."""
        return {pool.name: pool for pool in self.objects.pools}

    @functools.cached_property
    def request_classes(self) -> dict[str, objects.RequestClass]:
        """Request classes by name."""
        return {c.name: c for c in self.objects.request_classes}

    @functools.cached_property
    def regions(self) -> dict[str, str]:
        """Region of each place, by name of the place."""
        return {place.name: place.region for place in self.objects.places}

    @functools.cached_property
    def nearest_regions(self) -> dict[str, tuple[str, ...]]:
        """Other regions, nearest first, by region that lists any."""
        return {
            place.region: place.near_regions
            for place in self.objects.places
            if place.near_regions
        }

    @functools.cached_property
    def client_blocks(self) -> blocks.ClientBlocks:
        """Places of callers by address prefix."""
        return blocks.build_blocks(
            (prefix, place.name)
            for place in self.objects.places
            for prefix in place.clients
        )

    def time_limit_ms(
        self, service: objects.Service, request_class: objects.RequestClass
    ) -> int:
        """Return the upper bound of a request's deadline, in milliseconds.

        A class that a caller selects cannot extend the bound of the service.
        Otherwise each pool would have to reserve the slots of an entry that
        died for as long as the longest deadline limit of any class.

        Args:
            service: The service.
            request_class: Class of the request.
        """
        own = self.request_classes[service.request_class]
        longest = max(service.deadline_ms, own.deadline_limit_ms)
        return min(longest, request_class.deadline_limit_ms)

    def instances(
        self, service: str, region: str
    ) -> tuple[objects.Instance, ...]:
        """Return the instances of a service in a region.

        Args:
            service: Name of the service.
            region: Name of the region.
        """
        pool = self.pools[self.services[service].pool]
        return tuple(
            i for i in pool.instances if self.regions[i.place] == region
        )

    def entries(self, region: str) -> tuple[objects.Entry, ...]:
        """Return the configured entries of a region.

        Args:
            region: Name of the region.
        """
        return tuple(
            e for e in self.objects.entries if self.regions[e.place] == region
        )


def check_configuration(
    version: int, candidate: objects.Objects
) -> result.Result[ConfigurationSet, tuple[findings.Finding, ...]]:
    """Check objects and return a configuration set, or all findings.

    Args:
        version: Version of the set.
        candidate: Objects to check.

    Examples:
        >>> check_configuration(1, objects.Objects()).unwrap().version
        1
    """
    found = check.check_objects(candidate)
    if found:
        return result.Failure(found)
    return result.Success(ConfigurationSet(version, candidate))
