"""Execution of one request of the model: attempts, hedge and outcome."""

import collections
import typing

import attrs

from bulrushcourse_domain.placement import admission
from bulrushcourse_domain.placement import placement
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_domain.upstreams import outlier_detection
from bulrushcourse_testkit.objects import vm as vms
from bulrushcourse_testkit.objects import world

# Round trip between callers and VMs in seconds.
CALLER_S = 0.016
MAX_CONNECTIONS = 1380


@attrs.define
class Tally:
    """Outcomes of the requests of one route and region.

    Attributes:
        asked: Requests that arrived.
        in_aim: Answered within the objective.
        late: Answered later.
        refused: Not sent.
        failed: Given up after the timeout.
        far: Served in another region.
        hedged: Sent a second time.
        seconds: Latencies of the answers.
        runs: Answers by affinity of the upstream and whether it was warm.
    """

    asked: int = 0
    in_aim: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    far: int = 0
    hedged: int = 0
    seconds: list[float] = attrs.field(factory=list)
    runs: collections.Counter[tuple[str, bool]] = attrs.field(
        factory=collections.Counter
    )

    def add(self, other: 'Tally') -> None:
        """Add the outcomes of another region.

        Args:
            other: Its outcomes.
        """
        for name in (
            'asked',
            'in_aim',
            'late',
            'refused',
            'failed',
            'far',
            'hedged',
        ):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.seconds += other.seconds
        self.runs.update(other.runs)

    def warm_share(self) -> float:
        """Return the share of the answers whose object was warm."""
        warm = sum(count for key, count in self.runs.items() if key[1])
        return warm / max(1, self.runs.total())


Outcomes = dict[tuple[str, str], Tally]


@attrs.define(eq=False)
class Request:
    """One request.

    Attributes:
        vm: VM that executes it.
        work: Work of its route.
        route: Its route.
        object_key: Its object.
        arrived: Time of its arrival.
        servers: Upstreams by name.
        schedule: Calls a function at a time.
        tally: Counts its outcome.
        region: Region that runs it.
        tried: Names of the upstreams that were tried.
        attempts: Attempts that are not over, by upstream.
        finished: Whether its outcome is known.
    """

    vm: vms.Vm
    work: world.Work
    route: routes.Route
    object_key: str
    arrived: float
    servers: typing.Mapping[str, world.Server]
    schedule: typing.Callable[[float, typing.Callable[[], None]], None]
    tally: Tally
    region: str = ''
    tried: set[str] = attrs.field(factory=set)
    attempts: dict[str, world.Attempt] = attrs.field(factory=dict)
    finished: bool = False

    def begin(self) -> None:
        """Choose the region and send the first attempt."""
        self.region = self.vm.choose_region(
            self.route, self.work.service, self.object_key
        )
        self.tally.asked += 1
        self.tally.far += self.region != self.vm.region
        choice = self._send()
        if choice is None:
            return
        self.schedule(self.arrived + self.work.timeout_s, self._time_out)
        if self.work.idempotent:
            delay_s = self.vm.hedge_delay_s(
                self.route, self.work.service, choice
            )
            if delay_s < self.work.timeout_s:
                self.schedule(self.vm.clock.now + delay_s, self._hedge)

    def _choose(self) -> placement.Choice | None:
        now = self.vm.clock.now
        choice = self.vm.selector.choose(
            placement.PlacementRequest(
                self.route,
                self.work.service,
                self.object_key,
                self.region,
                frozenset(self.tried),
            ),
            routes.Service(self.work.service, max_connections=MAX_CONNECTIONS),
        )
        elapsed_s = now - self.arrived
        verdict = admission.admit(
            choice, self.route, elapsed_s, self.work.timeout_s - elapsed_s
        )
        return choice if verdict is admission.Verdict.SEND else None

    def _send(self) -> placement.Choice | None:
        """Send an attempt, and return its upstream if one took it."""
        while len(self.tried) < self.route.max_attempts:
            choice = self._choose()
            if choice is None:
                break
            name = choice.upstream.name
            self.tried.add(name)
            attempt = self._attempt(choice)
            self.vm.load.begin_request(name)
            self.attempts[name] = attempt
            if self.servers[name].offer(attempt, self.vm.clock.now):
                return choice
            del self.attempts[name]
            self.vm.load.end_request(name)
            self.vm.selector.outliers.record_outcome(
                name, outlier_detection.Outcome.SHED
            )
        if not self.attempts:
            self.tally.refused += 1
            self.finished = True
        return None

    def _attempt(self, choice: placement.Choice) -> world.Attempt:
        is_first = len(self.tried) == 1
        name = choice.upstream.name
        key = self.route.key, self.work.service

        def end(was_warm: bool | None) -> None:
            vm = self.vm
            del self.attempts[name]
            vm.load.end_request(name)
            elapsed_s = vm.clock.now - attempt.sent
            elapsed_s += vm.round_trip_s(choice.upstream)
            vm.curves.add(
                key,
                is_first,
                elapsed_s / choice.completion_s,
                was_warm is not None,
            )
            if was_warm is not None:
                self._answer(choice, elapsed_s, was_warm)

        attempt = world.Attempt(
            self.work, self.object_key, self.vm.clock.now, end
        )
        return attempt

    def _answer(
        self, choice: placement.Choice, elapsed_s: float, was_warm: bool
    ) -> None:
        vm = self.vm
        name = choice.upstream.name
        self.tally.runs[choice.affinity.value, was_warm] += 1
        vm.load.record_load_report(
            name, self.servers[name].report(vm.clock.now)
        )
        vm.record_answer(
            self.route, self.work.service, self.object_key, choice, elapsed_s
        )
        self.finished = True
        total_s = vm.clock.now - self.arrived + CALLER_S
        total_s += vm.round_trip_s(choice.upstream)
        self.tally.seconds.append(total_s)
        if total_s <= self.work.aim_s:
            self.tally.in_aim += 1
        else:
            self.tally.late += 1
        self._cancel_attempts()

    def _cancel_attempts(self) -> None:
        for name, attempt in list(self.attempts.items()):
            self.servers[name].cancel(attempt, self.vm.clock.now)

    def _hedge(self) -> None:
        if not self.finished:
            self.tally.hedged += 1
            self._send()

    def _time_out(self) -> None:
        if self.finished:
            return
        self.finished = True
        self.tally.failed += 1
        for name in self.attempts:
            self.vm.selector.outliers.record_outcome(
                name, outlier_detection.Outcome.LOST
            )
        self._cancel_attempts()
