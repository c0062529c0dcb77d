"""A return of the store stand-in from an earlier copy."""

import asyncio
import enum
import time
import typing

import attrs

from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import store as store_standin

FILLER_TABLE = 'filler'
# Row of the operators' table without a meaning.
NOTE = ('op', 'note')
# Time in which the VMs read what is lost afterwards.
READ_S = 0.8
# More rows than are written while a test observes the system.
FAR_ROWS = 2000
# Rows that others pass again within a second.
NEAR_ROWS = 40
NEAR_INTERVAL_S = 0.02


class Versions(enum.Enum):
    """Where the versions after a return are, compared with those before."""

    FAR = 'far behind'
    NEAR = 'behind, and passed again within a second'
    PASSED = 'passed again before the first call'


_LOST_ROWS = {
    Versions.FAR: FAR_ROWS,
    Versions.NEAR: NEAR_ROWS,
    Versions.PASSED: NEAR_ROWS,
}


@attrs.define(eq=False)
class StoreReturn:
    """One return of the store from a copy that was made at the beginning.

    Other rows are written as soon as the copy was made, so that the VMs read
    versions that the store gives out again after its return.

    Attributes:
        cluster: The cluster with the store.
        versions: Where the versions are after the return.
        away_s: Time for which the store is away in seconds.
        copied_at: When the copy was made, monotonic seconds.
        writer: Task that writes other rows after the return.
    """

    cluster: clusters.EdgeCluster
    versions: Versions
    away_s: float = 0.3
    copied_at: float = attrs.field(factory=time.monotonic)
    writer: asyncio.Task[None] | None = None

    def __attrs_post_init__(self) -> None:
        """Write the rows that bring the versions forward."""
        self._write_others(_LOST_ROWS[self.versions])
        self.store.put(*NOTE, {})

    @property
    def store(self) -> store_standin.StoreStandIn:
        """The store of the cluster."""
        return self.cluster.store

    def _write_others(self, count: int) -> None:
        for number in range(count):
            self.store.put(FILLER_TABLE, str(number), b'{}')

    async def happen(
        self, write: typing.Callable[[], None] = lambda: None
    ) -> list[store_standin.Change]:
        """Let the store go away and come back; return the lost changes.

        Args:
            write: Writes rows as soon as the store is back, before others
                pass the earlier versions.

        Raises:
            RuntimeError: If the versions are not where they should be.
        """
        await asyncio.sleep(READ_S)
        before = self.store.version
        self.store.down = True
        await asyncio.sleep(self.away_s)
        lost = [
            change
            for change in self.store.return_from_copy(self.copied_at)
            if change.table != FILLER_TABLE
            and (change.table, change.key) != NOTE
        ]
        write()
        if self.versions is Versions.PASSED:
            self._write_others(before - self.store.version + 1)
        elif self.versions is Versions.NEAR:
            self.writer = asyncio.create_task(self._pass_slowly())
        if (self.store.version > before) != (self.versions is Versions.PASSED):
            raise RuntimeError('unexpected version after the return')
        self.store.down = False
        return lost

    async def _pass_slowly(self) -> None:
        for _ in range(2 * NEAR_ROWS):
            self._write_others(1)
            await asyncio.sleep(NEAR_INTERVAL_S)

    def write_again(self, lost: typing.Iterable[store_standin.Change]) -> None:
        """Write lost changes again, as operators and upstreams do.

        Args:
            lost: The changes, oldest first.
        """
        for change in lost:
            if change.value is None:
                self.store.remove(change.table, change.key)
            else:
                self.store.put(change.table, change.key, change.value)
