"""Upstreams that may get new requests, by service, region and object."""

import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain import rendezvous
from bulrushcourse_domain.upstreams import row_expiry
from bulrushcourse_domain.upstreams import upstream as upstreams

# Number of preferred upstreams of an object; the second gets what exceeds the
# capacity of the first.
PREFERRED_COUNT = 2
# About 3 MB; beyond it, preferred upstreams are computed again.
MAX_PREFERRED_CACHED = 20_000


@attrs.define
class Candidates:
    """Selects upstreams of a directory and caches the selections.

    Every request needs them, and they change only with the directory.

    Attributes:
        clock: Source of time.
        by_name: Upstreams of the directory by name.
        expiry: Upstreams that are kept although their rows are missing.
        evacuated: Failure domains that must get no requests.
        usable_cache: Usable upstreams by service and region.
        preferred_cache: Names of the preferred upstreams by service, region
            and object.
        cached_until: Time when a kept upstream must be left out of both.
    """

    clock: clocks.Clock
    by_name: typing.Mapping[str, upstreams.Upstream]
    expiry: row_expiry.RowExpiry
    evacuated: frozenset[str] = frozenset()
    usable_cache: dict[tuple[str, str], tuple[upstreams.Upstream, ...]] = (
        attrs.field(factory=dict)
    )
    preferred_cache: dict[tuple[str, str, str], tuple[str, ...]] = attrs.field(
        factory=dict
    )
    cached_until: float = float('inf')

    def clear_caches(self) -> None:
        """Discard the selections; the directory calls it at each change."""
        self.cached_until = self.expiry.next_end(self.clock.monotonic())
        self.usable_cache.clear()
        self.preferred_cache.clear()

    def _check_caches(self) -> None:
        """Clear the caches if the time of a kept upstream has passed.

        The process may have been paused since they were filled.
        """
        if self.clock.monotonic() >= self.cached_until:
            self.clear_caches()

    def usable(
        self, service: str, region: str = ''
    ) -> tuple[upstreams.Upstream, ...]:
        """Return the upstreams of a service that may get new requests.

        Args:
            service: Name of the service.
            region: Region of the upstreams, empty for any.
        """
        self._check_caches()
        key = service, region
        if key not in self.usable_cache:
            ended = self.expiry.ended(self.clock.monotonic())
            self.usable_cache[key] = tuple(
                upstream
                for upstream in self.by_name.values()
                if upstream.service == service
                and not upstream.draining
                and upstream.failure_domain not in self.evacuated
                and upstream.name not in ended
                and region in ('', upstream.region)
            )
        return self.usable_cache[key]

    def preferred(
        self, service: str, region: str, object_key: str
    ) -> tuple[str, ...]:
        """Return the preferred upstreams of an object, best first.

        Every VM computes the same ones, so that requests for an object from
        all VMs reach the upstream that has it in memory.

        Args:
            service: Name of the service.
            region: Region of the upstreams, empty for any.
            object_key: Identifier of the object.
        """
        self._check_caches()
        key = service, region, object_key
        if key not in self.preferred_cache:
            if len(self.preferred_cache) >= MAX_PREFERRED_CACHED:
                self.preferred_cache.clear()
            names = [u.name for u in self.usable(service, region)]
            self.preferred_cache[key] = rendezvous.top(
                object_key, names, PREFERRED_COUNT
            )
        return self.preferred_cache[key]
