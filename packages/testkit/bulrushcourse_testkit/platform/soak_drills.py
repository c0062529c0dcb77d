"""Drills of the platform's store, which comes back from a copy of itself.

Example:
    >>> import random
    >>> drill = choose_drill(random.Random(1))
    >>> all(0 <= entry.away_s <= 3 for entry in drill)
    True
"""

import asyncio
import contextlib
import random
import time
import typing

import attrs

from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import soak_drill_history
from bulrushcourse_testkit.platform import soak_drill_standins
from bulrushcourse_testkit.platform import soak_operator
from bulrushcourse_testkit.platform import soak_vms
from bulrushcourse_testkit.standins import fault_proxy

AWAY_S = (0.0, 3.0)
AGE_S = (1.0, 10.0)
# Share of returns without any time away.
AT_ONCE_SHARE = 0.2
# Numbers of returns in a row, and the time between two of them in seconds.
RETURNS = (1, 1, 2, 3)
PAUSE_S = (0.0, 2.0)
# How a store that is away treats calls: status 503, no response, or refused
# and ended connections.
MODES = ('down', 'silent', 'cut')
# What the versions after a return are to the earlier ones.
COURSES = ('as written', 'behind', 'meet', 'pass')
# Rows that are lost for the course 'behind'. The fleet writes about 40 rows a
# second.
BEHIND_ROWS = 800
# Versions beyond the earlier ones for the course 'pass'.
PASS_ROWS = (1, 60)
# Times from a return until the rows that reach the earlier version, in
# seconds.
BURST_S = (0.0, 0.0, 0.05, 0.4)
FILLER_TABLE = 'filler'
FILLER_KEYS = 50


@attrs.frozen
class Return:
    """A time for which the store is away, and its return from a copy.

    Attributes:
        mode: How it treats calls while it is away, one of ``MODES``.
        away_s: Time for which it is away, in seconds.
        age_s: Age of the copy at the start of that time, in seconds.
        keeps_calls: Whether calls that wait for changes survive.
        course: What its versions are to the earlier ones, one of
            ``COURSES``.
        pass_rows: Versions beyond the earlier ones for the course 'pass'.
        burst_s: Time until rows reach the earlier version, in seconds.
        pause_s: Time until the next return, in seconds.
    """

    mode: str
    away_s: float
    age_s: float
    keeps_calls: bool
    course: str
    pass_rows: int
    burst_s: float
    pause_s: float

    def rows_before(self) -> int:
        """Return how many rows are written just before the store is away."""
        return BEHIND_ROWS if self.course == 'behind' else 0

    def rows_after(self, earlier: int, version: int) -> int:
        """Return how many rows to write after the return.

        Args:
            earlier: Version of the store before the return.
            version: Version of the store now.
        """
        targets = {'meet': earlier, 'pass': earlier + self.pass_rows}
        return max(0, targets.get(self.course, 0) - version)


def choose_drill(rng: random.Random) -> tuple[Return, ...]:
    """Return one or several returns in a row.

    Args:
        rng: Source of randomness.
    """
    return tuple(_choose_return(rng) for _ in range(rng.choice(RETURNS)))


def _choose_return(rng: random.Random) -> Return:
    at_once = rng.random() < AT_ONCE_SHARE
    return Return(
        mode=rng.choice(MODES),
        away_s=0.0 if at_once else rng.uniform(*AWAY_S),
        age_s=rng.uniform(*AGE_S),
        keeps_calls=rng.random() < 0.5,
        course=rng.choice(COURSES),
        pass_rows=rng.randint(*PASS_ROWS),
        burst_s=rng.choice(BURST_S),
        pause_s=rng.uniform(*PAUSE_S),
    )


@attrs.define(eq=False)
class StoreDrill:
    """Lets the store of a soak come back from copies.

    Attributes:
        rng: Source of randomness.
        cluster: The store.
        vms: VMs with their links to the store.
        history: Where it records the drills.
        operator: Writes its lost rows again.
        fleet: Upstreams that write their lost rows again.
        oldest_copy: Monotonic time of the oldest copy in seconds. Operator
            and upstreams write their first rows before it.
    """

    rng: random.Random
    cluster: clusters.EdgeCluster
    vms: list[soak_vms.SoakVm]
    history: soak_drill_history.DrillHistory
    operator: soak_drill_standins.DrillOperator
    fleet: soak_drill_standins.DrillFleet
    oldest_copy: float

    async def run(self, returns: typing.Iterable[Return]) -> None:
        """Let the store be away and return, until all is written again.

        Args:
            returns: The returns.
        """
        with self.history.outage():
            async with asyncio.TaskGroup() as tasks:
                for entry in returns:
                    await self.return_once(entry)
                    tasks.create_task(self._write_again())
                    await asyncio.sleep(entry.pause_s)

    async def return_once(self, entry: Return) -> None:
        """Let the store be away and come back from a copy.

        Args:
            entry: The return.
        """
        store = self.cluster.store
        began = time.monotonic()
        copied_at = max(began - entry.age_s, self.oldest_copy)
        self._write_filler(entry.rows_before())
        earlier = store.version
        async with self._away(entry):
            store.keeps_calls = entry.keeps_calls
            lost = store.return_from_copy(copied_at)
            self.history.lose(copied_at)
            self._record(entry, began, copied_at, earlier, len(lost))
        await asyncio.sleep(entry.burst_s)
        self._write_filler(entry.rows_after(earlier, store.version))

    @contextlib.asynccontextmanager
    async def _away(self, entry: Return) -> typing.AsyncIterator[None]:
        """Keep calls off, and yield at the end of that time."""
        if not entry.away_s:
            yield
            return
        store = self.cluster.store
        # Operator and upstreams write directly to the store, and wait for
        # these fields also where only the connections of VMs are cut.
        field = 'silent' if entry.mode == 'silent' else 'down'
        setattr(store, field, True)
        if entry.mode == 'cut':
            self._set_links(fault_proxy.LinkFaults(cut=True))
        await asyncio.sleep(entry.away_s)
        yield
        if entry.mode == 'cut':
            self._set_links(fault_proxy.LinkFaults())
        setattr(store, field, False)

    def _set_links(self, faults: fault_proxy.LinkFaults) -> None:
        for vm in self.vms:
            vm.link.set_faults(faults)

    def _write_filler(self, count: int) -> None:
        for number in range(count):
            key = f'row{number % FILLER_KEYS}'
            self.cluster.store.put(FILLER_TABLE, key, {})

    def _record(
        self,
        entry: Return,
        began: float,
        copied_at: float,
        earlier: int,
        lost: int,
    ) -> None:
        store = self.cluster.store
        self.history.returns.append(
            f'era {store.era} from {time.monotonic():.3f}, away since'
            f' {began:.3f}, copy of {copied_at:.3f}, version {earlier} ->'
            f' {store.version}, {lost} changes lost: {entry}'
        )

    async def _write_again(self) -> None:
        delays = (
            self.rng.uniform(0.0, soak_drill_standins.OPERATOR_S),
            self.rng.uniform(0.0, soak_drill_standins.SILENCE_S),
        )
        await soak_operator.store_available(self.cluster)
        await asyncio.gather(
            self.operator.write_again(delays[0]),
            self.fleet.write_again(delays[1]),
        )
