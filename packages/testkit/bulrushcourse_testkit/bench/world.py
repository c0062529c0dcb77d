"""Event loop and upstream instances of the comparison."""

import collections
import functools
import heapq
import itertools
import math
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_testkit.bench import workload

COLD_FACTOR = 3.0
COLD_CALLS = 50.0
"""Calls after which the extra time of a cold instance has fallen to 1/e."""

Action = typing.Callable[[], object]


@attrs.define(eq=False)
class Upstream:
    """An instance that runs as many calls as it has slots, in order."""

    slots: int
    spells: list[workload.Spell]
    cold: bool = False
    busy: int = 0
    queue: collections.deque = attrs.field(factory=collections.deque)
    begun: int = 0
    reached: int = 0

    def restart(self) -> None:
        """Lose the cache; calls at work go on."""
        self.cold, self.begun = True, 0

    def end_of(self, now: float, work_s: float) -> float:
        """Return when work ends that starts now."""
        if self.cold:
            fade = math.exp(-self.begun / COLD_CALLS)
            work_s *= 1 + (COLD_FACTOR - 1) * fade
        for spell in self.spells:
            if spell.end <= now:
                continue
            before = max(0.0, spell.start - now)
            if work_s <= before:
                break
            work_s -= before
            now = max(now, spell.start)
            within = (spell.end - now) / spell.factor
            if work_s <= within:
                return now + work_s * spell.factor
            work_s -= within
            now = spell.end
        return now + work_s


@attrs.define(eq=False)
class World:
    """Runs events in order of time."""

    site: workload.Site
    upstreams: list[Upstream]
    clock: clocks.ManualClock = attrs.field(factory=clocks.ManualClock)
    arrivals: int = 0
    arrivals_full: int = 0
    events: list = attrs.field(factory=list)
    numbers: typing.Iterator[int] = attrs.field(factory=itertools.count)

    def later(self, delay_s: float, action: Action) -> None:
        """Run an action after a delay."""
        due = self.clock.now + delay_s
        heapq.heappush(self.events, (due, next(self.numbers), action))

    def hop(self, action: typing.Callable, *args: object) -> None:
        """Run an action where a message sent now arrives."""
        self.later(self.site.hop_s, functools.partial(action, *args))

    def run(self) -> None:
        """Run all events."""
        while self.events:
            self.clock.now, _, action = heapq.heappop(self.events)
            action()

    def send(self, instance: int, work_s: float, ended: Action) -> None:
        """Send work to an instance; ``ended`` runs when the answer is back."""
        self.hop(self._reach, self.upstreams[instance], work_s, ended)

    def _reach(self, upstream: Upstream, work_s: float, ended: Action) -> None:
        self.arrivals += 1
        upstream.reached += 1
        if upstream.busy < upstream.slots:
            self._begin(upstream, work_s, ended)
        else:
            self.arrivals_full += 1
            upstream.queue.append((work_s, ended))

    def _begin(self, upstream: Upstream, work_s: float, ended: Action) -> None:
        upstream.busy += 1
        delay_s = upstream.end_of(self.clock.now, work_s) - self.clock.now
        upstream.begun += 1
        self.later(delay_s, functools.partial(self._end, upstream, ended))

    def _end(self, upstream: Upstream, ended: Action) -> None:
        upstream.busy -= 1
        self.hop(ended)
        if upstream.queue:
            self._begin(upstream, *upstream.queue.popleft())
