"""Positions in the store at which upstreams were changed and removed."""

import attrs

from bulrushcourse_domain.store import position as positions

MAX_TOMBSTONES = 200


@attrs.define
class ChangeHistory:
    """What changed at which position, for updates to other VMs.

    Attributes:
        changed_in: Position at which each upstream was last changed, by name.
        removed_in: Position at which each upstream was removed, by name; only
            the last ``MAX_TOMBSTONES`` are kept.
        latest: Position at which any upstream was last changed or removed.
        complete_since: First position since which all removals are known.

    Examples:
        >>> history = ChangeHistory()
        >>> third, fifth = positions.Position(1, 3), positions.Position(1, 5)
        >>> history.record_change('a', third)
        >>> history.record_removal('b', fifth)
        >>> history.changed_since(third), history.removed_since(third)
        ((), ('b',))
    """

    changed_in: dict[str, positions.Position] = attrs.field(factory=dict)
    removed_in: dict[str, positions.Position] = attrs.field(factory=dict)
    latest: positions.Position = positions.START
    complete_since: positions.Position = positions.START

    def record_change(self, name: str, position: positions.Position) -> None:
        """Record that an upstream was added or changed.

        Args:
            name: Name of the upstream.
            position: Position in the store.
        """
        self.changed_in[name] = self.latest = position
        self.removed_in.pop(name, None)

    def record_removal(self, name: str, position: positions.Position) -> None:
        """Record that an upstream was removed.

        Args:
            name: Name of the upstream.
            position: Position in the store.
        """
        self.changed_in.pop(name, None)
        self.removed_in[name] = self.latest = position
        if len(self.removed_in) > MAX_TOMBSTONES:
            oldest = next(iter(self.removed_in))
            self.complete_since = self.removed_in.pop(oldest)

    def restart_at(self, position: positions.Position) -> None:
        """Record a complete state; removals before it are not known.

        Args:
            position: Position in the store.
        """
        self.complete_since = position

    def covers(self, base: positions.Position) -> bool:
        """Return whether all removals after a position are known.

        Args:
            base: The position.
        """
        return base >= self.complete_since

    def changed_since(self, base: positions.Position) -> tuple[str, ...]:
        """Return the names of upstreams that were changed after a position.

        Args:
            base: The position.
        """
        return tuple(n for n, v in self.changed_in.items() if v > base)

    def removed_since(self, base: positions.Position) -> tuple[str, ...]:
        """Return the names of upstreams that were removed after a position.

        Args:
            base: The position.
        """
        return tuple(n for n, v in self.removed_in.items() if v > base)
