"""Callers that keep using connections to VMs that stop as planned."""

import asyncio
import contextlib
import random
import time
import typing

import attrs

from bulrushcourse_testkit.platform import soak_callers
from bulrushcourse_testkit.platform import soak_exchanges
from bulrushcourse_testkit.platform import soak_vms

# Longest pauses of callers in seconds: some connections are never idle, others
# are used once in the time of a stop.
MAX_PAUSES_S = (0.05, 0.5, 4.0, 4.0)
# Pauses of readers between pieces of a response in seconds.
READ_PAUSES_S = (0.0, 0.0, 0.01)
# Share of new connections to a VM that look-ups may not name.
UNNAMED_SHARE = 0.05
# Numbers of late callers of a stop. A VM ends once it has no request, which
# many callers delay.
LATE_CALLERS = (10, 20, 30)
# Times after SIGTERM in which late callers send again, in seconds. A VM begins
# all requests until 3 s after SIGTERM, a slowed one until a little later. Most
# callers of a stop send within a short span of that time, so that the VM may
# have no request before it.
BURST_S = (2.96, 3.1)
BURST_LENGTH_S = 0.03
BURST_SHARE = 0.85
LATE_S = (2.0, 4.0)
# A request with a short deadline may be begun until the end of a stop.
DEADLINES_MS = (300, 700, 1200, 2000, 6000)


@attrs.define(eq=False)
class StopCaller(soak_callers.KeptCaller):
    """A caller that may read slowly, and may be idle until a given time.

    Attributes:
        read_pause_s: Pause between pieces of a response in seconds.
        resume_at: Monotonic time in seconds until which it is idle after its
            first request, 0 if it is not.
        leaving: Names of the VMs that stop. Look-ups don't name them, but
            open connections to them stay in use.
    """

    read_pause_s: float = 0.0
    resume_at: float = 0.0
    leaving: typing.AbstractSet[str] = frozenset()

    async def send_late(self) -> None:
        """Use one connection: once now, again when it resumes."""
        with contextlib.suppress(*soak_callers.CONNECTION_ERRORS):
            await self._use_connection(self.vms[0])

    def _choose_vm(self) -> soak_vms.SoakVm:
        named = [vm for vm in self.vms if vm.vm.name not in self.leaving]
        if not named or self.rng.random() < UNNAMED_SHARE:
            return super()._choose_vm()
        return self.rng.choice(named)

    def _next_pause_s(self) -> float:
        if not self.resume_at:
            return super()._next_pause_s()
        pause_s = max(0.0, self.resume_at - time.monotonic())
        self.resume_at = 0.0
        return pause_s

    def _next_exchanges(
        self, vm: soak_vms.SoakVm, only_prefix: str
    ) -> list[soak_exchanges.Exchange]:
        exchanges = super()._next_exchanges(vm, only_prefix)
        deadline_ms = self.rng.choice(DEADLINES_MS)
        for exchange in exchanges:
            exchange.read_pause_s = self.read_pause_s
            exchange.deadline_ms = deadline_ms
        return exchanges


@attrs.define(eq=False)
class StopCallerGroup(soak_callers.CallerGroup):
    """All callers of a run with planned stops.

    Attributes:
        leaving: Names of the VMs that stop.
    """

    leaving: set[str] = attrs.field(factory=set)

    async def send_late(self, vm: soak_vms.SoakVm, term_at: float) -> None:
        """Use connections to a VM before and late in its planned stop.

        Args:
            vm: The VM.
            term_at: Monotonic time of SIGTERM in seconds.
        """
        count = self.rng.choice(LATE_CALLERS)
        callers = [self._make_caller([vm]) for _ in range(count)]
        burst_s = self.rng.uniform(*BURST_S)
        for caller in callers:
            in_burst = self.rng.random() < BURST_SHARE
            span = (burst_s, burst_s + BURST_LENGTH_S) if in_burst else LATE_S
            caller.resume_at = term_at + self.rng.uniform(*span)
        await asyncio.gather(*(caller.send_late() for caller in callers))

    def _make_caller(self, vms: list[soak_vms.SoakVm]) -> StopCaller:
        rng = random.Random(self.rng.random())
        return StopCaller(
            rng,
            vms,
            self.operator,
            self.numbers,
            self.sent,
            rng.choice(MAX_PAUSES_S),
            rng.choice(READ_PAUSES_S),
            leaving=self.leaving,
        )
