"""Discrete-event simulation of upstream instances."""

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
"""Calls after which the extra time of a cold instance has decayed to 1/e."""

Action = typing.Callable[[], object]


@attrs.define(eq=False)
class Upstream:
    """An instance that runs up to ``slots`` calls at a time, in FIFO order."""

    slots: int
    slowdowns: list[workload.Slowdown]
    cold: bool = False
    busy: int = 0
    queue: collections.deque = attrs.field(factory=collections.deque)
    started: int = 0
    arrivals: int = 0

    def restart(self) -> None:
        """Empty the cache; running calls continue."""
        self.cold, self.started = True, 0

    def completion_time(self, now: float, work_s: float) -> float:
        """Return when work that starts now will end."""
        if self.cold:
            decay = math.exp(-self.started / COLD_CALLS)
            work_s *= 1 + (COLD_FACTOR - 1) * decay
        for slowdown in self.slowdowns:
            if slowdown.end <= now:
                continue
            before = max(0.0, slowdown.start - now)
            if work_s <= before:
                break
            work_s -= before
            now = max(now, slowdown.start)
            within = (slowdown.end - now) / slowdown.factor
            if work_s <= within:
                return now + work_s * slowdown.factor
            work_s -= within
            now = slowdown.end
        return now + work_s


@attrs.define(eq=False)
class World:
    """Simulation that runs events in order of time."""

    site: workload.Site
    upstreams: list[Upstream]
    clock: clocks.ManualClock = attrs.field(factory=clocks.ManualClock)
    arrivals: int = 0
    arrivals_full: int = 0
    events: list = attrs.field(factory=list)
    event_numbers: typing.Iterator[int] = attrs.field(factory=itertools.count)

    def schedule(self, delay_s: float, action: Action) -> None:
        """Run an action after a delay."""
        due = self.clock.now + delay_s
        heapq.heappush(self.events, (due, next(self.event_numbers), action))

    def deliver(self, action: typing.Callable, *args: object) -> None:
        """Run an action when a message that is sent now arrives."""
        self.schedule(self.site.hop_s, functools.partial(action, *args))

    def run(self) -> None:
        """Run events until none is left."""
        while self.events:
            self.clock.now, _, action = heapq.heappop(self.events)
            action()

    def send(self, instance: int, work_s: float, ended: Action) -> None:
        """Send work to an instance and run ``ended`` when it has responded."""
        self.deliver(self._arrive, self.upstreams[instance], work_s, ended)

    def _arrive(
        self, upstream: Upstream, work_s: float, ended: Action
    ) -> None:
        self.arrivals += 1
        upstream.arrivals += 1
        if upstream.busy < upstream.slots:
            self._start(upstream, work_s, ended)
        else:
            self.arrivals_full += 1
            upstream.queue.append((work_s, ended))

    def _start(self, upstream: Upstream, work_s: float, ended: Action) -> None:
        upstream.busy += 1
        delay_s = (
            upstream.completion_time(self.clock.now, work_s) - self.clock.now
        )
        upstream.started += 1
        self.schedule(
            delay_s, functools.partial(self._finish, upstream, ended)
        )

    def _finish(self, upstream: Upstream, ended: Action) -> None:
        upstream.busy -= 1
        self.deliver(ended)
        if upstream.queue:
            self._start(upstream, *upstream.queue.popleft())
