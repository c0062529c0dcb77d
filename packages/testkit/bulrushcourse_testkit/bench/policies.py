"""Ways to choose an instance: five baselines and grants by a pool owner."""

import functools
import random
import typing

import attrs

from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.retries import budget
from bulrushcourse_domain.retries import hedging
from bulrushcourse_domain.slots import pool as pools
from bulrushcourse_domain.slots import requests
from bulrushcourse_testkit.bench import workload
from bulrushcourse_testkit.bench import world as worlds

CLASSES = {
    'rush': objects.RequestClass('rush', 0, 5_000),
    'short': objects.RequestClass('short', 1, 5_000),
    'long': objects.RequestClass('long', 2, 60_000, slot_share=0.25),
}
HEDGE_QUANTILE = 0.9
"""When the first hedge is asked for; the owner refuses those without gain."""

HEDGE_ASKS = 6
"""Times that an entry asks for a hedge of one call."""


class Policy(typing.Protocol):
    """Brings calls that have arrived at their entry to instances."""

    def arrive(self, call: workload.Call) -> None:
        """Take a call."""
        ...


@attrs.define(eq=False)
class Local:
    """Entries that choose by themselves and send at once.

    Attributes:
        world: Where calls go.
        choose: Way to choose, from this policy and an entry.
        liars: Instances whose load reports always say that they are idle.
        counts: Calls in flight, by entry and instance.
        turns: Round-robin positions by entry.
        reports: Load reports as last read.
    """

    world: worlds.World
    choose: typing.Callable[['Local', int], int]
    liars: frozenset[int] = frozenset()
    source: random.Random = attrs.field(factory=lambda: random.Random(7))
    counts: list[list[int]] = attrs.field(init=False)
    turns: list[int] = attrs.field(init=False)
    reports: list[int] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.reports = [0] * len(self.world.upstreams)
        self.counts = [self.reports[:] for _ in range(workload.ENTRIES)]
        self.turns = [3 * entry for entry in range(workload.ENTRIES)]

    def arrive(self, call: workload.Call) -> None:
        """Send the call to the chosen instance."""
        instance = self.choose(self, call.entry)
        self.counts[call.entry][instance] += 1
        ended = functools.partial(self._ended, call, instance)
        self.world.send(instance, call.work_s, ended)

    def report(self) -> None:
        """Read the instances' load reports."""
        self.reports = [
            0 if number in self.liars else u.busy + len(u.queue)
            for number, u in enumerate(self.world.upstreams)
        ]

    def better_of_two(self, loads: list[int]) -> int:
        """Return the less loaded of two random instances."""
        pair = self.source.sample(range(len(loads)), 2)
        return min(pair, key=loads.__getitem__)

    def next_turn(self, entry: int) -> int:
        """Return the next instance of the entry's round."""
        self.turns[entry] += 1
        return self.turns[entry] % len(self.reports)

    def least(self, loads: list[int]) -> int:
        """Return one of the least loaded instances."""
        low = min(loads)
        return self.source.choice(
            [number for number, load in enumerate(loads) if load == low]
        )

    def _ended(self, call: workload.Call, instance: int) -> None:
        self.counts[call.entry][instance] -= 1
        call.answered = self.world.clock.now


BASELINES: dict[str, typing.Callable[[Local, int], int]] = {
    'random': lambda local, _: local.source.randrange(len(local.reports)),
    'round-robin': Local.next_turn,
    'least-outstanding': lambda p, entry: p.least(p.counts[entry]),
    'two-choices': lambda p, entry: p.better_of_two(p.counts[entry]),
    'reported': lambda p, _: p.better_of_two(p.reports),
}


@attrs.define(eq=False)
class Granted:
    """Entries that ask the pool owner; every message takes one hop.

    The losing copy of a hedged call runs to its end, because cancellation
    proves nothing.

    Attributes:
        world: Where calls go.
        hedging: Whether slow calls are hedged.
        calls: Call and hedged instance by request identifier.
        pool: The owner's pool.
        budgets: Budgets for hedges by entry.
        hedges: Hedge policies by entry.
        polling: Whether a poll of the owner is due.
    """

    world: worlds.World
    hedging: bool
    calls: dict[str, tuple[workload.Call, str]] = attrs.field(factory=dict)
    pool: pools.SlotPool = attrs.field(init=False)
    budgets: list[budget.RetryBudget] = attrs.field(init=False)
    hedges: list[hedging.HedgePolicy] = attrs.field(init=False)
    polling: bool = False

    def __attrs_post_init__(self) -> None:
        self.pool = pools.SlotPool(self.world.clock, CLASSES)
        self.pool.set_instances(
            {str(n): u.slots for n, u in enumerate(self.world.upstreams)}
        )
        entries = range(workload.ENTRIES)
        self.budgets = [budget.RetryBudget() for _ in entries]
        self.hedges = [hedging.HedgePolicy(HEDGE_QUANTILE) for _ in entries]

    def arrive(self, call: workload.Call) -> None:
        """Ask the owner for a slot."""
        self.budgets[call.entry].record_primary()
        self.world.hop(self._ask, call, 0, '')

    def set_leaving(self, name: str) -> None:
        """Tell the owner that an instance is leaving."""
        self._settle(self.pool.set_leaving(name))

    def restart(self, names: set[str]) -> None:
        """Tell the owner that instances went and came back."""
        slots = {n: i.slots for n, i in self.pool.instances.items()}
        rest = {n: s for n, s in slots.items() if n not in names}
        self.pool.set_instances(rest)
        self.pool.set_instances(slots)

    def _ask(self, call: workload.Call, number: int, hedged: str) -> None:
        limit_s = CLASSES[call.request_class].deadline_limit_ms / 1_000
        wish = requests.SlotRequest(
            f'{call.number}.{number}',
            str(call.entry),
            call.request_class,
            self.world.clock.now + limit_s,
            avoid=(hedged,) if hedged else (),
            hedged=hedged,
        )
        self.calls[wish.request_id] = call, hedged
        self._settle(self.pool.request(wish))

    def _settle(self, decisions: tuple[requests.Decision, ...]) -> None:
        for decision in decisions:
            call, hedged = self.calls.pop(decision.request_id)
            self.world.hop(self._decided, call, hedged, decision)
        if len(self.pool.waiting) and not self.polling:
            self.polling = True
            self.world.later(pools.DECISION_INTERVAL_S, self._poll)

    def _poll(self) -> None:
        self.polling = False
        self._settle(self.pool.decide())

    def _decided(
        self, call: workload.Call, hedged: str, decision: requests.Decision
    ) -> None:
        if isinstance(decision, requests.Refusal):
            call.refused |= not hedged
            return
        if hedged and (
            call.answered is not None
            or not self.budgets[call.entry].try_spend()
        ):
            cancelled = requests.ReleaseOutcome.CANCELLED
            self.world.hop(self._release, decision, cancelled, 0.0)
            return
        sent = self.world.clock.now
        ended = functools.partial(self._ended, call, decision, sent)
        self.world.send(int(decision.instance), call.work_s, ended)
        delay_s = self.hedges[call.entry].delay_s(call.request_class, True)
        if self.hedging and not hedged and delay_s is not None:
            self._watch(call, decision.instance, delay_s, 1)

    def _watch(
        self, call: workload.Call, instance: str, delay_s: float, number: int
    ) -> None:
        def ask() -> None:
            if call.answered is None and number <= HEDGE_ASKS:
                self.world.hop(self._ask, call, number, instance)
                self._watch(call, instance, delay_s / HEDGE_ASKS, number + 1)

        self.world.later(delay_s, ask)

    def _ended(
        self, call: workload.Call, grant: requests.Grant, sent: float
    ) -> None:
        seconds = self.world.clock.now - sent
        if call.answered is None:
            call.answered = self.world.clock.now
        self.hedges[call.entry].observe(call.request_class, seconds)
        done = requests.ReleaseOutcome.DONE
        self.world.hop(self._release, grant, done, seconds)

    def _release(
        self,
        grant: requests.Grant,
        outcome: requests.ReleaseOutcome,
        seconds: float,
    ) -> None:
        self._settle(self.pool.release(grant.request_id, outcome, seconds))
