"""When a starting entry may serve."""

import attrs


@attrs.define
class StartupConfiguration:
    """Keeps a starting entry from serving with an outdated configuration.

    One peer is not enough: it may itself lag. The entry is ready once it has
    read the stored row or, with the store down, once it has heard from each
    live VM of the platform's list, one of which holds the newest version.

    Attributes:
        row_version: Version in the stored row, ``None`` before it was read.
        ready: Whether the entry was ready once; it stays so.
    """

    row_version: int | None = None
    ready: bool = False

    def record_stored_version(self, version: int) -> None:
        """Take note of the version in the stored row.

        Args:
            version: Version in the row, 0 if there is no row.
        """
        self.row_version = version

    def decide(
        self,
        in_force: int,
        unheard: frozenset[str] | None,
        highest_heard: int,
    ) -> bool:
        """Return whether the entry may serve.

        Args:
            in_force: Version in force in this entry, 0 for none.
            unheard: Other live VMs of the list that were not heard lately;
                ``None`` if there is no fresh list.
            highest_heard: Newest version that any peer holds.

        Examples:
            >>> startup = StartupConfiguration()
            >>> startup.decide(4, frozenset({'vm-b'}), 4)
            False
            >>> startup.decide(4, frozenset(), 5)
            False
            >>> startup.decide(5, frozenset(), 5)
            True
        """
        if self.ready or not in_force:
            return self.ready
        if self.row_version is not None:
            self.ready = in_force >= self.row_version
        elif unheard is not None:
            self.ready = not unheard and in_force >= highest_heard
        return self.ready
