"""The configuration that an entry serves with."""

import attrs

from bulrushcourse_domain.configuration import configuration_set


@attrs.define
class ConfigurationInForce:
    """Holds the newest configuration seen; versions only grow.

    Attributes:
        current: The configuration in force, ``None`` before the first.
        refused: Number of older versions that were offered and refused.
    """

    current: configuration_set.ConfigurationSet | None = None
    refused: int = 0

    @property
    def version(self) -> int:
        """Version in force, 0 before the first."""
        return self.current.version if self.current else 0

    def offer(self, candidate: configuration_set.ConfigurationSet) -> bool:
        """Put a configuration in force if it is newer.

        Args:
            candidate: A checked configuration from the store or a peer.

        Returns:
            Whether it is now in force and was not before.

        Examples:
            >>> from bulrushcourse_domain.configuration import objects
            >>> held = ConfigurationInForce()
            >>> new = configuration_set.ConfigurationSet(2, objects.Objects())
            >>> old = configuration_set.ConfigurationSet(1, objects.Objects())
            >>> held.offer(new), held.offer(old), held.version
            (True, False, 2)
        """
        if candidate.version <= self.version:
            self.refused += candidate.version < self.version
            return False
        self.current = candidate
        return True
