"""Event loop and upstream instances of the comparison."""

import collections
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


@attrs.define(eq=False)
class Upstream:
    """An instance that runs as many calls as it has slots and queues more.

    Attributes:
        slots: Number of slots.
        spells: Its slow spells in order of time.
        cold: Whether it started cold.
        busy: Calls at work.
        queue: Calls that wait for a slot, with what to do at their end.
        served: Calls begun since its start.
        reached: Calls that arrived.
    """

    slots: int
    spells: list[workload.Spell] = attrs.field(factory=list)
    cold: bool = False
    busy: int = 0
    queue: collections.deque = attrs.field(factory=collections.deque)
    served: int = 0
    reached: int = 0

    def restart(self) -> None:
        """Lose the cache; calls at work go on."""
        self.cold, self.served = True, 0

    def end_of(self, start: float, work_s: float) -> float:
        """Return when work ends that starts now.

        Args:
            start: Seconds.
            work_s: Service time at a typical instance.
        """
        if self.cold:
            fade = math.exp(-self.served / COLD_CALLS)
            work_s *= 1 + (COLD_FACTOR - 1) * fade
        now = start
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
    """Runs events in order of time.

    Attributes:
        site: The pool.
        clock: Clock that the domain classes read.
        upstreams: The instances.
        arrivals: Calls that arrived at instances.
        arrivals_full: Those that found no free slot there.
    """

    site: workload.Site
    clock: clocks.ManualClock = attrs.field(factory=clocks.ManualClock)
    upstreams: list[Upstream] = attrs.field(factory=list)
    arrivals: int = 0
    arrivals_full: int = 0
    events: list = attrs.field(factory=list)
    numbers: typing.Iterator[int] = attrs.field(factory=itertools.count)

    def later(self, delay_s: float, action: typing.Callable, *args) -> None:
        """Run an action after a delay."""
        due = self.clock.now + delay_s
        heapq.heappush(self.events, (due, next(self.numbers), action, args))

    def run(self) -> None:
        """Run all events."""
        while self.events:
            due, _, action, args = heapq.heappop(self.events)
            self.clock.now = due
            action(*args)

    def send(
        self, instance: int, work_s: float, ended: typing.Callable[[], None]
    ) -> None:
        """Send work to an instance and call back when the answer is there.

        Args:
            instance: Number of the instance.
            work_s: Service time at a typical instance.
            ended: Called at the entry when it has the answer.
        """
        self.later(self.site.hop_s, self._reach, instance, work_s, ended)

    def _reach(self, instance: int, work_s: float, ended) -> None:
        upstream = self.upstreams[instance]
        self.arrivals += 1
        upstream.reached += 1
        if upstream.busy < upstream.slots:
            self._begin(upstream, work_s, ended)
        else:
            self.arrivals_full += 1
            upstream.queue.append((work_s, ended))

    def _begin(self, upstream: Upstream, work_s: float, ended) -> None:
        upstream.busy += 1
        now = self.clock.now
        delay_s = upstream.end_of(now, work_s) - now
        upstream.served += 1
        self.later(delay_s, self._end, upstream, ended)

    def _end(self, upstream: Upstream, ended) -> None:
        upstream.busy -= 1
        self.later(self.site.hop_s, ended)
        if upstream.queue:
            self._begin(upstream, *upstream.queue.popleft())
