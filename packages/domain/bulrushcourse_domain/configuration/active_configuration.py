"""The configuration that an entry currently applies."""

import attrs

from bulrushcourse_domain.configuration import configuration_set


@attrs.define
class ActiveConfiguration:
    """Holds the active and the staged configuration; versions only increase.

    A version that only this entry has is staged, but not yet active. If it
    were active, and the store failed right after the commit and this entry
    restarted, the entry would revert to the previous version, the only one
    that all other entries have. So a staged version becomes active once
    another entry has it too, or once the store was readable for long enough
    that the other entries have read it.

    Attributes:
        current: The active configuration, ``None`` before the first.
        pending: The staged configuration, newer than the active one.
        rejected_count: Number of times that an older version was rejected.
    """

    current: configuration_set.ConfigurationSet | None = None
    pending: configuration_set.ConfigurationSet | None = None
    rejected_count: int = 0

    @property
    def version(self) -> int:
        """Active version, 0 before the first."""
        return self.current.version if self.current else 0

    @property
    def newest_version(self) -> int:
        """Staged version, or else the active one; 0 before the first."""
        return self.pending.version if self.pending else self.version

    @property
    def newest(self) -> configuration_set.ConfigurationSet | None:
        """The configuration of ``newest_version``, to be sent to peers."""
        return self.pending or self.current

    def stage(self, candidate: configuration_set.ConfigurationSet) -> bool:
        """Stage a configuration if it is newer than the newest one.

        Args:
            candidate: A checked configuration.

        Returns:
            Whether it was staged.
        """
        if candidate.version <= self.newest_version:
            self.rejected_count += candidate.version < self.newest_version
            return False
        self.pending = candidate
        return True

    def confirm(self, version: int) -> bool:
        """Activate the staged configuration if other entries have it.

        Args:
            version: Version that other entries have staged or active.

        Returns:
            Whether the staged configuration became active.

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
        """Activate a configuration that another entry sent, if it is newer.

        Args:
            candidate: A checked configuration from a peer.

        Returns:
            Whether it became active.

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
