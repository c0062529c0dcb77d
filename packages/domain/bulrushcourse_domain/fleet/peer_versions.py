"""Versions of the other VMs, to find those that need an update."""

import attrs

from bulrushcourse_domain import clock as clocks

# VMs get updates from the store or from the VM where they arise. One that is
# behind for longer than this gets them from all VMs with a newer version.
UPDATE_DELAY_S = 0.8


@attrs.define
class PeerVersions:
    """Versions of a replicated state at the other VMs; they only increase.

    Attributes:
        clock: Source of time.
        delay_s: Time for which a VM may be behind before others update it.
        versions: Last reported version by VM.
        behind_since: Time since when each VM has been behind this one.

    Examples:
        >>> peers = PeerVersions(clocks.ManualClock())
        >>> peers.record_version('vm-2', 4, 5)
        >>> peers.needs_update('vm-2', 5, immediately=False)
        False
        >>> peers.clock.advance(1.0)
        >>> peers.needs_update('vm-2', 5, immediately=False)
        True
    """

    clock: clocks.Clock
    delay_s: float = UPDATE_DELAY_S
    versions: dict[str, int] = attrs.field(factory=dict)
    behind_since: dict[str, float] = attrs.field(factory=dict)

    def record_version(self, vm: str, version: int, own_version: int) -> None:
        """Record the version that a VM reports.

        Args:
            vm: Name of the VM.
            version: Its version.
            own_version: The version of this VM.
        """
        if version >= own_version or self.versions.get(vm, version) != version:
            self.behind_since.pop(vm, None)
        if version < own_version:
            self.behind_since.setdefault(vm, self.clock.monotonic())
        self.versions[vm] = version

    def discard(self, vm: str) -> None:
        """Discard the version of a VM that was removed.

        Args:
            vm: Name of the VM.
        """
        self.versions.pop(vm, None)
        self.behind_since.pop(vm, None)

    def needs_update(
        self, vm: str, own_version: int, immediately: bool
    ) -> bool:
        """Return whether this VM should send an update to another one.

        Args:
            vm: Name of the VM.
            own_version: The version of this VM.
            immediately: Whether this VM sends updates without a delay.
        """
        if self.versions.get(vm, own_version) >= own_version:
            return False
        behind_since = self.behind_since.get(vm)
        if immediately or behind_since is None:
            return immediately
        return self.clock.monotonic() - behind_since > self.delay_s
