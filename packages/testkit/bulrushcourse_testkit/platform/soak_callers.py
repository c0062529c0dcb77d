"""Callers of a soak that keep using their connections until they close."""

import asyncio
import contextlib
import itertools
import random
import time
import typing

import attrs

from bulrushcourse_testkit.platform import soak_exchanges
from bulrushcourse_testkit.platform import soak_observations
from bulrushcourse_testkit.platform import soak_operator
from bulrushcourse_testkit.platform import soak_vms

DEADLINES_MS = (2000, 2000, 6000)
# Time that a caller waits beyond the deadline of a request, in seconds.
PATIENCE_S = 0.5
PIPELINED = 3
BURST_CALLERS = 20
PIECE_PAUSE_S = 0.01
UPLOAD_BYTES = (1 << 10, 100 << 10, 200 << 10, 400 << 10)
CONNECTION_ERRORS = (
    OSError,
    EOFError,
    TimeoutError,
    ValueError,
    asyncio.LimitOverrunError,
)
_UPLOADS = ('/upload/', '/homeupload/')
_PREFIXES = (
    '/browse/',
    '/order/',
    '/upload/',
    '/split/',
    '/moving/',
    *soak_operator.MOVING_HOMES,
    *soak_operator.MOVING_HOMES,
    *soak_operator.OPTIONAL_PREFIXES,
)
_ACCOUNTS = ('anywhere', 'anywhere', 'bound', soak_operator.OPTIONAL_ACCOUNT)


@attrs.define(eq=False)
class KeptCaller:
    """A caller with one connection at a time.

    Attributes:
        rng: Source of randomness.
        vms: VMs to choose from.
        operator: Knows the newest version of the configuration.
        numbers: Source of unique identifiers of requests.
        sent: Where it records its requests.
        max_pause_s: Maximum time between two requests in seconds.
    """

    rng: random.Random
    vms: list[soak_vms.SoakVm]
    operator: soak_operator.Operator
    numbers: typing.Iterator[int]
    sent: list[soak_observations.SentRequest]
    max_pause_s: float = 0.05

    async def run(self) -> None:
        """Open connections and use each until it closes."""
        while True:
            vm = self._choose_vm()
            with contextlib.suppress(*CONNECTION_ERRORS):
                await self._use_connection(vm)
            await asyncio.sleep(self.rng.uniform(0.0, 0.1))

    def _choose_vm(self) -> soak_vms.SoakVm:
        return self.rng.choice(self.vms)

    async def send_home_request(self) -> None:
        """Send one request of a route with homes on a new connection."""
        prefix = self.rng.choice(soak_operator.MOVING_HOMES)
        with contextlib.suppress(*CONNECTION_ERRORS):
            await self._use_connection(self.vms[0], prefix)

    async def _use_connection(
        self, vm: soak_vms.SoakVm, only_prefix: str = ''
    ) -> None:
        host, _, port = vm.vm.listen['front'].rpartition(':')
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
        # Each drain waits until everything is sent.
        writer.transport.set_write_buffer_limits(0)
        try:
            stays_open = True
            while stays_open and not reader.at_eof():
                exchanges = self._next_exchanges(vm, only_prefix)
                stays_open = await self._exchange(exchanges, reader, writer)
                stays_open = stays_open and not only_prefix
                await asyncio.sleep(self._next_pause_s())
        finally:
            writer.close()

    def _next_pause_s(self) -> float:
        return self.rng.uniform(0.0, self.max_pause_s)

    def _next_exchanges(
        self, vm: soak_vms.SoakVm, only_prefix: str
    ) -> list[soak_exchanges.Exchange]:
        prefix = only_prefix or self.rng.choice(_PREFIXES)
        version = 0
        if not only_prefix and self.rng.random() < 0.1:
            version = self.operator.version
            prefix = soak_operator.version_prefix(version)
        account = self.rng.choice(_ACCOUNTS)
        is_repeatable = soak_operator.is_repeatable(prefix)
        size = 0 if is_repeatable else 4
        if prefix in _UPLOADS:
            size = self.rng.choice(UPLOAD_BYTES)
        deadline_ms = self.rng.choice(DEADLINES_MS)
        form = self.rng.choice(soak_exchanges.FORMS)
        is_pipelined = is_repeatable and self.rng.random() < 0.2
        count = PIPELINED if is_pipelined else 1
        return [
            soak_exchanges.Exchange(
                vm,
                f'k{next(self.numbers)}',
                prefix,
                account,
                size,
                deadline_ms,
                version,
                form,
            )
            for _ in range(count)
        ]

    async def _exchange(
        self,
        exchanges: list[soak_exchanges.Exchange],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        sending = asyncio.create_task(_send(exchanges, writer))
        stays_open = True
        try:
            for exchange in exchanges:
                timeout_s = exchange.deadline_ms / 1000 + PATIENCE_S
                async with asyncio.timeout(timeout_s):
                    stays_open = await exchange.receive(reader)
                if not stays_open:
                    _mark_cut(exchanges, is_behind_close=True)
                    break
        except (EOFError, ConnectionError):
            _mark_cut(exchanges, is_behind_close=False)
            raise
        finally:
            # A response before the end of the body ends the connection.
            stays_open = stays_open and sending.done()
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)
            self.sent.extend(exchange.result() for exchange in exchanges)
        return stays_open


def _mark_cut(
    exchanges: list[soak_exchanges.Exchange], is_behind_close: bool
) -> None:
    for exchange in exchanges:
        exchange.mark_cut(is_behind_close)


async def _send(
    exchanges: list[soak_exchanges.Exchange], writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(OSError):
        for exchange in exchanges:
            writer.write(exchange.head)
        for exchange in exchanges:
            for number, piece in enumerate(exchange.body_pieces()):
                await asyncio.sleep(PIECE_PAUSE_S if number else 0.0)
                writer.write(piece)
                await writer.drain()
            await writer.drain()
            exchange.whole_at = time.monotonic()


@attrs.define(eq=False)
class CallerGroup:
    """All callers of a run.

    Attributes:
        rng: Source of randomness.
        vms: VMs to choose from.
        operator: Knows the newest version of the configuration.
        numbers: Source of unique identifiers of requests.
        sent: Requests of all callers.
    """

    rng: random.Random
    vms: list[soak_vms.SoakVm]
    operator: soak_operator.Operator
    numbers: typing.Iterator[int] = attrs.field(factory=itertools.count)
    sent: list[soak_observations.SentRequest] = attrs.field(factory=list)

    def start(self, count: int) -> list[asyncio.Task[None]]:
        """Start callers that use all VMs, and return their tasks.

        Args:
            count: Number of callers.
        """
        return [
            asyncio.create_task(self._make_caller(self.vms).run())
            for _ in range(count)
        ]

    async def send_burst(self, vm: soak_vms.SoakVm) -> None:
        """Send requests of routes with homes to one VM, each from a caller.

        Args:
            vm: The VM.
        """
        callers = [self._make_caller([vm]) for _ in range(BURST_CALLERS)]
        await asyncio.gather(
            *(caller.send_home_request() for caller in callers)
        )

    def _make_caller(self, vms: list[soak_vms.SoakVm]) -> KeptCaller:
        rng = random.Random(self.rng.random())
        return KeptCaller(rng, vms, self.operator, self.numbers, self.sent)
