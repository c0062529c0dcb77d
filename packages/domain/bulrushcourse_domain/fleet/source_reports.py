"""Latest reports of other VMs, each a VM's own or the sum of several."""

import math
import typing

import attrs

from bulrushcourse_domain import clock as clocks

Content = typing.TypeVar('Content')


@attrs.define
class SourceReports(typing.Generic[Content]):
    """The last report of each source, used until it is too old.

    Attributes:
        clock: Source of time.
        max_age_s: Age in seconds from which a report does not count.
        latest: Time received and content, by source.

    Examples:
        >>> clock = clocks.ManualClock()
        >>> reports = SourceReports(clock, max_age_s=3.0)
        >>> reports.record('vm-2', {'s': 1.0})
        >>> reports.get('vm-2')
        {'s': 1.0}
        >>> clock.advance(3.5)
        >>> reports.get('vm-2') is None
        True
    """

    clock: clocks.Clock
    max_age_s: float
    latest: dict[str, tuple[float, Content]] = attrs.field(factory=dict)

    def record(self, source: str, content: Content) -> None:
        """Replace the report of a source.

        Args:
            source: Name of the source.
            content: What it reports.
        """
        self.latest[source] = self.clock.monotonic(), content

    def discard(self, source: str) -> None:
        """Discard the report of a source that was removed.

        Args:
            source: Name of the source.
        """
        self.latest.pop(source, None)

    def get(self, source: str) -> Content | None:
        """Return the report of a source, ``None`` without a recent one.

        Args:
            source: Name of the source.
        """
        at, content = self.latest.get(source, (-math.inf, None))
        return content if self._is_recent(at) else None

    def recent(self) -> typing.Iterator[Content]:
        """Return the reports of all sources that are recent."""
        return (
            content
            for at, content in self.latest.values()
            if self._is_recent(at)
        )

    def _is_recent(self, at: float) -> bool:
        return self.clock.monotonic() - at <= self.max_age_s
