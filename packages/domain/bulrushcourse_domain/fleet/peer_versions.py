"""The aggregate that knows which VMs stay behind this one."""

import attrs

from bulrushcourse_domain import clock as clocks

# Every VM hears of news from the store or from their source; only one that
# stays behind for this long is helped by all VMs that are ahead of it.
HELP_AFTER_S = 0.8


@attrs.define
class PeerVersions:
    """How far other VMs are in something that only grows.

    Attributes:
        clock: Source of time.
        heard: Last reported level by VM.
        behind_since: When a VM was first heard to be behind this one.

    Examples:
        >>> versions = PeerVersions(clocks.ManualClock())
        >>> versions.record_version('vm-2', 4, own_level=5)
        >>> versions.needs_update('vm-2', 5, at_once=False)
        False
        >>> versions.clock.advance(1.0)
        >>> versions.needs_update('vm-2', 5, at_once=False)
        True
    """

    clock: clocks.Clock
    heard: dict[str, int] = attrs.field(factory=dict)
    behind_since: dict[str, float] = attrs.field(factory=dict)

    def record_version(self, vm: str, level: int, own_level: int) -> None:
        """Take over what a VM reports.

        Args:
            vm: Name of the VM.
            level: Its level.
            own_level: The level of this VM.
        """
        if level >= own_level or self.heard.get(vm, level) != level:
            self.behind_since.pop(vm, None)
        if level < own_level:
            self.behind_since.setdefault(vm, self.clock.monotonic())
        self.heard[vm] = level

    def discard(self, vm: str) -> None:
        """Drop what is known of a VM that was removed.

        Args:
            vm: Name of the VM.
        """
        self.heard.pop(vm, None)
        self.behind_since.pop(vm, None)

    def needs_update(self, vm: str, own_level: int, at_once: bool) -> bool:
        """Return whether a VM should be sent what it lacks.

        Args:
            vm: Name of the VM.
            own_level: The level of this VM.
            at_once: Whether this VM helps without waiting.
        """
        if self.heard.get(vm, own_level) >= own_level:
            return False
        since = self.behind_since.get(vm)
        if at_once or since is None:
            return at_once
        return self.clock.monotonic() - since > HELP_AFTER_S
