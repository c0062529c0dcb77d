"""Connections that show whether the process of an upstream has ended."""

import asyncio
import enum
import typing

import attrs

from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.upstreams import identity_checks

# Other requests mostly show by then what became of the upstream. One that
# accepts a connection later than a second after may have started again.
DELAY_S = 0.3
CONNECT_TIMEOUT_S = 0.5
# Checks at a time, for a fault that concerns all upstreams.
MAX_CHECKS = 4


class Finding(enum.Enum):
    """Result of a check.

    Attributes:
        ENDED: No process listens at the address.
        PRESENT: A connection was accepted.
        UNREACHABLE: Neither.
    """

    ENDED = 'ended'
    PRESENT = 'present'
    UNREACHABLE = 'unreachable'


@attrs.define(eq=False)
class CrashChecks:
    """Checks upstreams that may have crashed, if nothing else tells.

    A check only connects: a health request would wait for a slot.

    Attributes:
        state: The process state.
        on_end: Called with the upstream's incarnation and the finding.
        running: Checks under way, by incarnation.
    """

    state: process_state.ProcessState
    on_end: typing.Callable[[str, str], None]
    running: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Subscribe to the upstreams that may have crashed."""
        self.state.possible_crashes.subscribe(self._begin)

    async def close(self) -> None:
        """Cancel the checks under way."""
        tasks = list(self.running.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _begin(self, upstream: upstreams.Upstream) -> None:
        """Begin a check unless one is under way."""
        key = upstream.incarnation
        if key in self.running or len(self.running) >= MAX_CHECKS:
            return
        task = asyncio.create_task(self._check(upstream))
        self.running[key] = task
        task.add_done_callback(lambda _: self.running.pop(key, None))

    async def _check(self, upstream: upstreams.Upstream) -> None:
        ledger = self.state.crash_ledger
        await asyncio.sleep(DELAY_S)
        if not ledger.unconfirmed.table.of_upstream(upstream.incarnation):
            return
        began_at = self.state.clock.monotonic()
        finding = await _connect(upstream.address)
        if finding is Finding.ENDED:
            identity_checks.record_refused(self.state, upstream)
        elif finding is Finding.PRESENT:
            ledger.record_alive(upstream.incarnation, began_at)
        self.on_end(upstream.incarnation, finding.value)


async def _connect(address: str) -> Finding:
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return Finding.ENDED
    except OSError:
        # A timeout is one as well.
        return Finding.UNREACHABLE
    writer.close()
    return Finding.PRESENT
