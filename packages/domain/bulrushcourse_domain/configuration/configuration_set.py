"""The aggregate of a checked configuration."""

import functools

import attrs
from returns import result

from bulrushcourse_domain import findings
from bulrushcourse_domain.configuration import check
from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.routing import blocks


@attrs.frozen(slots=False)
class ConfigurationSet:
    """A checked set of objects under a version.

    Attributes:
        version: Number that grows with every publication.
        objects: The objects, free of findings.
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
        """Classes of requests by name."""
        return {c.name: c for c in self.objects.request_classes}

    @functools.cached_property
    def regions(self) -> dict[str, str]:
        """Region of each place, by the place's name."""
        return {place.name: place.region for place in self.objects.places}

    @functools.cached_property
    def nearness(self) -> dict[str, tuple[str, ...]]:
        """Other regions by region, nearest first."""
        return {
            place.region: place.near_regions
            for place in self.objects.places
            if place.near_regions
        }

    @functools.cached_property
    def client_blocks(self) -> blocks.ClientBlocks:
        """Places of callers."""
        return blocks.build_blocks(
            (prefix, place.name)
            for place in self.objects.places
            for prefix in place.clients
        )

    def time_limit_ms(
        self, service: objects.Service, request_class: objects.RequestClass
    ) -> int:
        """Return the longest time that a request may take, in milliseconds.

        A class that a caller names does not extend the time of a service.
        Otherwise the slots of an entry that died would be kept back in each
        pool for the limit of the longest class.

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
        """Return the entry seats of a region.

        Args:
            region: Name of the region.
        """
        return tuple(
            e for e in self.objects.entries if self.regions[e.place] == region
        )


def check_configuration(
    version: int, candidate: objects.Objects
) -> result.Result[ConfigurationSet, tuple[findings.Finding, ...]]:
    """Return a configuration set, or all findings against it.

    Args:
        version: Version that the set is to have.
        candidate: Objects to check.

    Examples:
        >>> check_configuration(1, objects.Objects()).unwrap().version
        1
    """
    found = check.check_objects(candidate)
    if found:
        return result.Failure(found)
    return result.Success(ConfigurationSet(version, candidate))
