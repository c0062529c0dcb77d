"""The latest time of something, for a bounded number of names."""

import collections

import attrs

from bulrushcourse_domain.quarantine import loss_table


@attrs.define
class LatestTimes:
    """The latest time by name; the names recorded first are dropped.

    Attributes:
        times: The times in monotonic seconds, the name recorded last is last.

    Examples:
        >>> latest = LatestTimes()
        >>> latest.record('f', 2.0)
        >>> latest.record('f', 1.0)
        >>> latest.get('f'), latest.get('g')
        (2.0, -inf)
    """

    times: collections.OrderedDict[str, float] = attrs.field(
        factory=collections.OrderedDict
    )

    def record(self, name: str, at: float) -> None:
        """Record a time unless a later one is known.

        Args:
            name: The name.
            at: The time.
        """
        self.times[name] = max(at, self.get(name))
        self.times.move_to_end(name)
        if len(self.times) > loss_table.MAX_FINGERPRINTS:
            self.times.popitem(last=False)

    def get(self, name: str) -> float:
        """Return the latest time, minus infinity if there is none.

        Args:
            name: The name.
        """
        return self.times.get(name, float('-inf'))
