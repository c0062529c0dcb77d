"""Rule for when a starting entry may begin to serve."""

import attrs


@attrs.define
class StartupConfiguration:
    """Prevents a starting entry from serving an outdated configuration.

    The version of a single peer is not enough, since that peer may lag. The
    entry is ready once its active version is at least that of the stored row.
    While the row cannot be read, it is ready once each live VM of the
    platform's list has sent a heartbeat and none reports a newer version: one
    of them has the newest.

    Attributes:
        row_version: Version in the stored row, ``None`` before it was read.
        ready: Whether the entry was ready once; it then stays ready.
    """

    row_version: int | None = None
    ready: bool = False

    def record_stored_version(self, version: int) -> None:
        """Record the version in the stored row.

        Args:
            version: Version in the row, 0 if there is no row.
        """
        self.row_version = version

    def update_readiness(
        self,
        active_version: int,
        silent_vms: frozenset[str] | None,
        newest_peer_version: int,
    ) -> bool:
        """Update ``ready`` and return it.

        Args:
            active_version: Active version of this entry, 0 for none.
            silent_vms: Other live VMs of the list without a recent heartbeat;
                ``None`` if there is no fresh list.
            newest_peer_version: Newest version that any peer reports.

        Examples:
            >>> startup = StartupConfiguration()
            >>> startup.update_readiness(4, frozenset({'vm-b'}), 4)
            False
            >>> startup.update_readiness(4, frozenset(), 5)
            False
            >>> startup.update_readiness(5, frozenset(), 5)
            True
        """
        if self.ready or not active_version:
            return self.ready
        if self.row_version is not None:
            self.ready = active_version >= self.row_version
        elif silent_vms is not None:
            self.ready = (
                not silent_vms and active_version >= newest_peer_version
            )
        return self.ready
