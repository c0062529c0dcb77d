"""Ways to choose an instance: five baselines and grants by a pool owner."""

import functools
import random
import typing

import attrs

from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.slots import pool as pools
from bulrushcourse_domain.slots import requests
from bulrushcourse_testkit.bench import workload
from bulrushcourse_testkit.bench import world as worlds

CLASSES = {
    'rush': objects.RequestClass('rush', 0, 5_000),
    'short': objects.RequestClass('short', 1, 5_000),
    'long': objects.RequestClass('long', 2, 60_000, slot_share=0.25),
}


class Policy(typing.Protocol):
    """Brings calls to instances."""

    def arrive(self, call: workload.Call) -> None:
        """Take a call that has just arrived at its entry."""
        ...


Choice = typing.Callable[['Local', int], int]


def choose_random(local: 'Local', entry: int) -> int:
    """Return any instance."""
    return local.source.randrange(len(local.world.upstreams))


def choose_in_turn(local: 'Local', entry: int) -> int:
    """Return the next instance of the entry's own round."""
    local.turns[entry] += 1
    return local.turns[entry] % len(local.world.upstreams)


def choose_least(local: 'Local', entry: int) -> int:
    """Return the instance with the fewest calls of this entry."""
    counts = local.counts[entry]
    least = min(counts)
    ties = [i for i, count in enumerate(counts) if count == least]
    return local.source.choice(ties)


def choose_of_two(local: 'Local', entry: int) -> int:
    """Return the better of two random instances on this entry's counts."""
    counts = local.counts[entry]
    pair = local.source.sample(range(len(counts)), 2)
    return min(pair, key=counts.__getitem__)


def choose_reported(local: 'Local', entry: int) -> int:
    """Return the better of two random instances on their load reports."""
    pair = local.source.sample(range(len(local.reports)), 2)
    return min(pair, key=local.reports.__getitem__)


@attrs.define(eq=False)
class Local:
    """An entry that chooses by itself and sends at once.

    Attributes:
        world: Where calls go.
        choice: How an entry chooses.
        liars: Instances whose load reports always say that they are idle.
    """

    world: worlds.World
    choice: Choice
    liars: frozenset[int] = frozenset()
    source: random.Random = attrs.field(factory=lambda: random.Random(7))
    counts: list[list[int]] = attrs.field(init=False)
    turns: list[int] = attrs.field(init=False)
    reports: list[int] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        number = len(self.world.upstreams)
        self.counts = [[0] * number for _ in range(workload.ENTRIES)]
        self.turns = [3 * entry for entry in range(workload.ENTRIES)]
        self.reports = [0] * number

    def arrive(self, call: workload.Call) -> None:
        """Send the call to the chosen instance."""
        instance = self.choice(self, call.entry)
        self.counts[call.entry][instance] += 1
        ended = functools.partial(self._ended, call, instance)
        self.world.send(instance, call.work_s, ended)

    def report(self) -> None:
        """Read the instances' load reports."""
        self.reports = [
            0 if number in self.liars else u.busy + len(u.queue)
            for number, u in enumerate(self.world.upstreams)
        ]

    def _ended(self, call: workload.Call, instance: int) -> None:
        self.counts[call.entry][instance] -= 1
        call.answered = self.world.clock.now


@attrs.define(eq=False)
class Granted:
    """Entries that ask the pool owner; every message takes one hop.

    Attributes:
        world: Where calls go.
        pool: The owner's pool.
        calls: Calls by request identifier.
        polling: Whether a poll of the owner is due.
    """

    world: worlds.World
    pool: pools.SlotPool = attrs.field(init=False)
    calls: dict[str, workload.Call] = attrs.field(factory=dict)
    polling: bool = False

    def __attrs_post_init__(self) -> None:
        self.pool = pools.SlotPool(self.world.clock, CLASSES)
        self.pool.set_instances(
            {str(n): u.slots for n, u in enumerate(self.world.upstreams)}
        )

    def arrive(self, call: workload.Call) -> None:
        """Ask the owner for a slot."""
        limit = CLASSES[call.request_class].deadline_limit_ms / 1_000
        wish = requests.SlotRequest(
            str(call.number),
            str(call.entry),
            call.request_class,
            self.world.clock.now + limit,
        )
        self.calls[wish.request_id] = call
        self.world.later(self.world.site.hop_s, self._ask, wish)

    def sign_leaving(self, name: str) -> None:
        """Tell the owner that an instance is leaving."""
        self.settle(self.pool.sign_leaving(name))

    def settle(self, decisions: tuple[requests.Decision, ...]) -> None:
        """Send decisions to their entries."""
        for decision in decisions:
            self.world.later(self.world.site.hop_s, self._decided, decision)
        if len(self.pool.waiting) and not self.polling:
            self.polling = True
            self.world.later(pools.POLL_S, self._poll)

    def _ask(self, wish: requests.SlotRequest) -> None:
        self.settle(self.pool.request(wish))

    def _poll(self) -> None:
        self.polling = False
        self.settle(self.pool.decide())

    def _decided(self, decision: requests.Decision) -> None:
        call = self.calls.pop(decision.request_id)
        if isinstance(decision, requests.Refusal):
            call.refused = True
            return
        sent = self.world.clock.now
        ended = functools.partial(self._ended, call, decision, sent)
        self.world.send(int(decision.instance), call.work_s, ended)

    def _ended(
        self, call: workload.Call, grant: requests.Grant, sent: float
    ) -> None:
        call.answered = self.world.clock.now
        seconds = self.world.clock.now - sent
        self.world.later(
            self.world.site.hop_s, self._release, grant.request_id, seconds
        )

    def _release(self, request_id: str, seconds: float) -> None:
        done = requests.ReleaseOutcome.DONE
        self.settle(self.pool.release(request_id, done, seconds))


BASELINES: dict[str, Choice] = {
    'random': choose_random,
    'round-robin': choose_in_turn,
    'least-outstanding': choose_least,
    'two-choices': choose_of_two,
    'reported': choose_reported,
}
