"""Versions of the store in which upstreams were changed and removed."""

import attrs

MAX_TOMBSTONES = 200


@attrs.define
class ChangeHistory:
    """What changed in which version, for updates to other VMs.

    Attributes:
        changed_in: Version in which each upstream was last changed, by name.
        removed_in: Version in which each upstream was removed, by name; only
            the last ``MAX_TOMBSTONES`` are kept.
        latest: Version in which any upstream was last changed or removed.
        complete_since: Oldest version since which all removals are known.

    Examples:
        >>> history = ChangeHistory()
        >>> history.record_change('a', 3)
        >>> history.record_removal('b', 5)
        >>> history.changed_since(3), history.removed_since(3)
        ((), ('b',))
    """

    changed_in: dict[str, int] = attrs.field(factory=dict)
    removed_in: dict[str, int] = attrs.field(factory=dict)
    latest: int = 0
    complete_since: int = 0

    def record_change(self, name: str, version: int) -> None:
        """Record that an upstream was added or changed.

        Args:
            name: Name of the upstream.
            version: Version of the store.
        """
        self.changed_in[name] = self.latest = version
        self.removed_in.pop(name, None)

    def record_removal(self, name: str, version: int) -> None:
        """Record that an upstream was removed.

        Args:
            name: Name of the upstream.
            version: Version of the store.
        """
        self.changed_in.pop(name, None)
        self.removed_in[name] = self.latest = version
        if len(self.removed_in) > MAX_TOMBSTONES:
            oldest = next(iter(self.removed_in))
            self.complete_since = self.removed_in.pop(oldest)

    def restart_at(self, version: int) -> None:
        """Record a complete state; removals before it are not known.

        Args:
            version: Version of the store.
        """
        self.complete_since = version

    def covers(self, base: int) -> bool:
        """Return whether all removals after a version are known.

        Args:
            base: The version.
        """
        return base >= self.complete_since

    def changed_since(self, base: int) -> tuple[str, ...]:
        """Return the names of upstreams that were changed after a version.

        Args:
            base: The version.
        """
        return tuple(n for n, v in self.changed_in.items() if v > base)

    def removed_since(self, base: int) -> tuple[str, ...]:
        """Return the names of upstreams that were removed after a version.

        Args:
            base: The version.
        """
        return tuple(n for n, v in self.removed_in.items() if v > base)
