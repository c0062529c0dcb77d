"""The configuration that an entry serves with."""

import attrs

from bulrushcourse_domain.configuration import configuration_set


@attrs.define
class ActiveConfiguration:
    """Holds the newest configuration seen; versions only grow.

    A version that this entry alone has is held, but not yet in force: if the
    store failed right after the commit and this entry restarted, all other
    entries would know only the version before, and the entry would come back
    with it. The version is put in force once another entry holds it too, or
    once the store was readable long enough for the other entries to read it.

    Attributes:
        current: The configuration in force, ``None`` before the first.
        pending: A newer configuration that is held, but not yet in force.
        refused: Number of older versions that were offered and refused.
    """

    current: configuration_set.ConfigurationSet | None = None
    pending: configuration_set.ConfigurationSet | None = None
    refused: int = 0

    @property
    def version(self) -> int:
        """Version in force, 0 before the first."""
        return self.current.version if self.current else 0

    @property
    def newest_version(self) -> int:
        """Newest version held, 0 before the first."""
        return self.pending.version if self.pending else self.version

    @property
    def newest(self) -> configuration_set.ConfigurationSet | None:
        """The newest configuration held, to be passed on to peers."""
        return self.pending or self.current

    def stage(self, candidate: configuration_set.ConfigurationSet) -> bool:
        """Hold a configuration that is newer than all seen before.

        Args:
            candidate: A checked configuration.

        Returns:
            Whether it is now held and was not before.
        """
        if candidate.version <= self.newest_version:
            self.refused += candidate.version < self.newest_version
            return False
        self.pending = candidate
        return True

    def confirm(self, version: int) -> bool:
        """Take note that others hold a version or a newer one.

        Args:
            version: Version that another entry holds.

        Returns:
            Whether the pending configuration came into force.

        Examples:
            >>> from bulrushcourse_domain.configuration import objects
            >>> active = ActiveConfiguration()
            >>> new = configuration_set.ConfigurationSet(2, objects.Objects())
            >>> (
            ...     active.stage(new),
            ...     active.version,
            ...     active.confirm(2),
            ...     active.version,
            ... )
            (True, 0, True, 2)
        """
        if self.pending is None or version < self.pending.version:
            return False
        self.current, self.pending = self.pending, None
        return True

    def activate(self, candidate: configuration_set.ConfigurationSet) -> bool:
        """Put a configuration in force that another entry holds too.

        Args:
            candidate: A checked configuration from a peer.

        Returns:
            Whether it is now in force and was not before.

        Examples:
            >>> from bulrushcourse_domain.configuration import objects
            >>> active = ActiveConfiguration()
            >>> new = configuration_set.ConfigurationSet(2, objects.Objects())
            >>> old = configuration_set.ConfigurationSet(1, objects.Objects())
            >>> active.activate(new), active.activate(old), active.version
            (True, False, 2)
        """
        self.stage(candidate)
        return self.confirm(candidate.version)
