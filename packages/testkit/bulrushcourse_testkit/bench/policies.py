"""Load-balancing policies: five baselines and grants by a pool owner."""

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
"""Latency quantile after which an entry first requests a hedge; the owner
refuses hedges without a gain."""

MAX_HEDGE_REQUESTS = 6
"""Hedge requests of an entry for one call."""


class Policy(typing.Protocol):
    """Sends calls from their entries to instances."""

    def handle(self, call: workload.Call) -> None:
        """Send a call that arrives now."""
        ...


@attrs.define(eq=False)
class LocalPolicy:
    """Entries that choose instances on their own and send immediately.

    Attributes:
        world: Simulation with the instances.
        choose: Returns an instance, given this policy and an entry.
        false_idle: Instances that always report that they are idle.
        rng: Random source of the choices.
        counts: Calls in flight by entry and instance.
        positions: Round-robin positions by entry.
        reports: Load reports of the instances as last polled.
    """

    world: worlds.World
    choose: typing.Callable[['LocalPolicy', int], int]
    false_idle: frozenset[int] = frozenset()
    rng: random.Random = attrs.field(factory=lambda: random.Random(7))
    counts: list[list[int]] = attrs.field(init=False)
    positions: list[int] = attrs.field(init=False)
    reports: list[int] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.reports = [0] * len(self.world.upstreams)
        self.counts = [self.reports[:] for _ in range(workload.ENTRIES)]
        self.positions = [3 * entry for entry in range(workload.ENTRIES)]

    def handle(self, call: workload.Call) -> None:
        """Send a call to the chosen instance."""
        instance = self.choose(self, call.entry)
        self.counts[call.entry][instance] += 1
        ended = functools.partial(self._ended, call, instance)
        self.world.send(instance, call.work_s, ended)

    def poll_reports(self) -> None:
        """Poll the load reports of the instances."""
        self.reports = [
            0 if number in self.false_idle else u.busy + len(u.queue)
            for number, u in enumerate(self.world.upstreams)
        ]

    def less_loaded_of_two(self, loads: list[int]) -> int:
        """Return the less loaded of two randomly chosen instances."""
        pair = self.rng.sample(range(len(loads)), 2)
        return min(pair, key=loads.__getitem__)

    def next_round_robin(self, entry: int) -> int:
        """Return the next instance in the entry's round-robin order."""
        self.positions[entry] += 1
        return self.positions[entry] % len(self.reports)

    def least_loaded(self, loads: list[int]) -> int:
        """Return a random one of the least loaded instances."""
        lowest = min(loads)
        return self.rng.choice(
            [number for number, load in enumerate(loads) if load == lowest]
        )

    def _ended(self, call: workload.Call, instance: int) -> None:
        self.counts[call.entry][instance] -= 1
        call.answered_at = self.world.clock.now


BASELINES: dict[str, typing.Callable[[LocalPolicy, int], int]] = {
    'random': lambda policy, _: policy.rng.randrange(len(policy.reports)),
    'round-robin': LocalPolicy.next_round_robin,
    'least-outstanding': lambda policy, entry: policy.least_loaded(
        policy.counts[entry]
    ),
    'two-choices': lambda policy, entry: policy.less_loaded_of_two(
        policy.counts[entry]
    ),
    'reported': lambda policy, _: policy.less_loaded_of_two(policy.reports),
}


@attrs.define(eq=False)
class GrantPolicy:
    """Entries that request slots from the pool owner.

    Each message takes one network hop. The slower copy of a hedged call runs
    to its end, because a cancellation does not prove that it has stopped.

    Attributes:
        world: Simulation with the instances.
        hedging: Whether slow calls are hedged.
        calls: Calls that wait for a decision, by request id, with the instance
            of the first attempt if the request is a hedge.
        pool: Slot pool of the owner.
        budgets: Hedge budgets by entry.
        hedges: Hedge policies by entry.
        polling: Whether a poll of the pool is scheduled.
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

    def handle(self, call: workload.Call) -> None:
        """Request a slot from the owner."""
        self.budgets[call.entry].record_primary()
        self.world.deliver(self._request_slot, call, 0, '')

    def set_leaving(self, name: str) -> None:
        """Notify the owner that an instance is leaving."""
        self._apply(self.pool.set_leaving(name))

    def restart(self, names: set[str]) -> None:
        """Notify the owner that instances have restarted."""
        slots = {n: i.slots for n, i in self.pool.instances.items()}
        remaining = {n: s for n, s in slots.items() if n not in names}
        self.pool.set_instances(remaining)
        self.pool.set_instances(slots)

    def _request_slot(
        self, call: workload.Call, number: int, hedged: str
    ) -> None:
        limit_s = CLASSES[call.request_class].deadline_limit_ms / 1_000
        request = requests.SlotRequest(
            f'{call.number}.{number}',
            str(call.entry),
            call.request_class,
            self.world.clock.now + limit_s,
            avoid=(hedged,) if hedged else (),
            hedged=hedged,
        )
        self.calls[request.request_id] = call, hedged
        self._apply(self.pool.request(request))

    def _apply(self, decisions: tuple[requests.Decision, ...]) -> None:
        for decision in decisions:
            call, hedged = self.calls.pop(decision.request_id)
            self.world.deliver(self._handle_decision, call, hedged, decision)
        if len(self.pool.queue) and not self.polling:
            self.polling = True
            self.world.schedule(pools.DECISION_INTERVAL_S, self._poll)

    def _poll(self) -> None:
        self.polling = False
        self._apply(self.pool.decide())

    def _handle_decision(
        self, call: workload.Call, hedged: str, decision: requests.Decision
    ) -> None:
        if isinstance(decision, requests.Refusal):
            call.refused |= not hedged
            return
        if hedged and (
            call.answered_at is not None
            or not self.budgets[call.entry].try_spend()
        ):
            cancelled = requests.ReleaseOutcome.CANCELLED
            self.world.deliver(self._release, decision, cancelled, 0.0)
            return
        sent = self.world.clock.now
        ended = functools.partial(self._ended, call, decision, sent)
        self.world.send(int(decision.instance), call.work_s, ended)
        delay_s = self.hedges[call.entry].delay_s(call.request_class, True)
        if self.hedging and not hedged and delay_s is not None:
            self._schedule_hedge(call, decision.instance, delay_s, 1)

    def _schedule_hedge(
        self, call: workload.Call, instance: str, delay_s: float, number: int
    ) -> None:
        def request_hedge() -> None:
            if call.answered_at is None and number <= MAX_HEDGE_REQUESTS:
                self.world.deliver(self._request_slot, call, number, instance)
                self._schedule_hedge(
                    call, instance, delay_s / MAX_HEDGE_REQUESTS, number + 1
                )

        self.world.schedule(delay_s, request_hedge)

    def _ended(
        self, call: workload.Call, grant: requests.Grant, sent: float
    ) -> None:
        seconds = self.world.clock.now - sent
        if call.answered_at is None:
            call.answered_at = self.world.clock.now
        self.hedges[call.entry].observe(call.request_class, seconds)
        done = requests.ReleaseOutcome.DONE
        self.world.deliver(self._release, grant, done, seconds)

    def _release(
        self,
        grant: requests.Grant,
        outcome: requests.ReleaseOutcome,
        seconds: float,
    ) -> None:
        self._apply(self.pool.release(grant.request_id, outcome, seconds))
