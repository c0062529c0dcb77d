"""Compares the memory of the process with what its budget counts."""

import math
import resource
import typing

import attrs

from bulrushcourse_domain.resources import memory as memories
from bulrushcourse_entry import events
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.reporting import event_log as event_logs

CHECK_INTERVAL_S = 2.0
# Time between two events about the same excess.
EVENT_INTERVAL_S = 60.0
# Share of the VM's memory that may be in use without being counted.
TOLERATED_SHARE = 0.1
_STATM = '/proc/self/statm'
_PAGE_BYTES = resource.getpagesize()


def resident_bytes() -> int:
    """Return the memory that the process occupies, 0 if it is not known.

    The system tells it in pages, in the second field of ``statm`` (proc(5)).
    """
    try:
        with open(_STATM) as file:
            return int(file.read().split()[1]) * _PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0


@attrs.define(eq=False)
class MemoryMonitor:
    """Reports memory that the process occupies and the budget doesn't count.

    A VM whose process exceeds its memory is ended with all requests in
    progress, so that operators need to see an error of the budget before.

    Attributes:
        state: The process state.
        event_log: Log.
        resident: Returns the memory that the process occupies.
        checked_at: Time of the last check, monotonic seconds.
        reported_at: Time of the last event, monotonic seconds.
    """

    state: process_state.ProcessState
    event_log: event_logs.EventLog
    resident: typing.Callable[[], int] = resident_bytes
    checked_at: float = -math.inf
    reported_at: float = -math.inf

    def check(self) -> None:
        """Report an excess; to be called often."""
        now = self.state.clock.monotonic()
        if now - self.checked_at < CHECK_INTERVAL_S:
            return
        self.checked_at = now
        resident = self.resident()
        uncounted = self.state.memory.uncounted_bytes(resident)
        vm_bytes = self.state.settings.memory_bytes
        limit = TOLERATED_SHARE * (vm_bytes or memories.DEFAULT_VM_BYTES)
        if uncounted > limit and now - self.reported_at >= EVENT_INTERVAL_S:
            self.reported_at = now
            self.event_log.log_change(
                events.Event.MEMORY_UNCOUNTED,
                resident_bytes=resident,
                uncounted_bytes=uncounted,
                **by_use(self.state.memory),
            )


def by_use(budget: memories.MemoryBudget) -> dict[str, int]:
    """Return what a budget counts, as fields by use.

    Args:
        budget: The budget.
    """
    return {
        f'{use.value}_bytes': size for use, size in budget.used_bytes.items()
    }


def dump(budget: memories.MemoryBudget) -> dict[str, int]:
    """Return the memory in use, by use and of the process.

    Args:
        budget: Memory of the VM's traffic.
    """
    resident = resident_bytes()
    return {
        'total_bytes': budget.total_bytes,
        **by_use(budget),
        'resident_bytes': resident,
        'uncounted_bytes': budget.uncounted_bytes(resident),
    }
