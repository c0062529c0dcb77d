"""Serves one request: route, region, upstream, attempts, answer."""

import asyncio
import typing

import attrs
from returns import result

from bulrushcourse_domain.placement import admission
from bulrushcourse_domain.placement import placement
from bulrushcourse_domain.upstreams import outlier_detection
from bulrushcourse_entry.edge import call as calls
from bulrushcourse_entry.edge import endings
from bulrushcourse_entry.edge import knowledge as knowledges
from bulrushcourse_entry.edge import sending
from bulrushcourse_entry.platform import headers as platform_headers

Failure = sending.Failure

# A second copy is sent when the first took this many times as long as
# expected; most work is done by then.
HEDGE_FACTOR = 3.0
SHORTEST_HEDGE_S = 0.15
# Time for the answer to travel before the caller's own deadline.
DEADLINE_MARGIN_S = 0.02


@attrs.define(eq=False)
class Exchange:
    """Serves requests.

    Attributes:
        known: What this process believes.
        sender: Client of the upstreams.
        share_loss: Tells the other VMs of an upstream lost to a request.
        set_aside: Called when an upstream has been set aside.
        kept: Runs that go on although their callers have left.
    """

    known: knowledges.Knowledge
    sender: sending.Sender
    share_loss: typing.Callable[[str, str], None]
    set_aside: typing.Callable[[str], None]
    kept: set[asyncio.Task[typing.Any]] = attrs.field(factory=set)

    async def close(self) -> None:
        """End the runs whose callers have left."""
        for task in self.kept:
            task.cancel()
        await asyncio.gather(*self.kept, return_exceptions=True)

    async def serve(self, call: calls.Call) -> endings.Ending:
        """Run a request and return how it ends.

        A request that must not run twice goes on when its caller leaves,
        since stopping it would prove nothing.

        Args:
            call: The request.
        """
        if self.known.crashes.is_quarantined(call.fingerprint):
            return self._refuse(call, 'quarantined')
        if call.route.idempotent:
            return await self._serve_idempotent(call)
        task = asyncio.create_task(self._serve_once(call))
        self.kept.add(task)
        task.add_done_callback(self.kept.discard)
        return await asyncio.shield(task)

    async def _serve_once(self, call: calls.Call) -> endings.Ending:
        while True:
            choice = self._choose(call)
            if not isinstance(choice, placement.Choice):
                return choice
            attempt = await self._attempt(call, choice)
            if isinstance(attempt, result.Success):
                return attempt.unwrap()
            failure = attempt.failure()
            if failure not in endings.NOT_RUN:
                return endings.Lost(failure.value, failure is Failure.DEADLINE)
            if not self._may_repeat(call, failure):
                return self._refuse(call, failure.value)

    async def _serve_idempotent(self, call: calls.Call) -> endings.Ending:
        choice = self._choose(call)
        if not isinstance(choice, placement.Choice):
            return choice
        running = {self._start(call, choice)}
        hedge_at = self._hedge_at(choice)
        worst: endings.Ending | None = None
        try:
            while running:
                done, running = await asyncio.wait(
                    running,
                    timeout=max(0.0, hedge_at - self.known.clock.monotonic()),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                ended = [task.result() for task in done]
                good = next((e for e in ended if endings.is_good(e)), None)
                if good is not None:
                    return good.unwrap()
                for attempt in ended:
                    worst = self._ending(call, attempt)
                hedge_at = float('inf')
                if ended and running:
                    continue
                if not self._may_repeat(call, endings.first_failure(ended)):
                    continue
                choice = self._choose(call)
                if isinstance(choice, placement.Choice):
                    running.add(self._start(call, choice))
                elif worst is None and not running:
                    worst = choice
            return worst or self._refuse(call, 'no-upstream')
        finally:
            for task in running:
                task.cancel()

    def _start(
        self, call: calls.Call, choice: placement.Choice
    ) -> asyncio.Task[result.Result[sending.Answer, Failure]]:
        return asyncio.create_task(self._attempt(call, choice))

    def _hedge_at(self, choice: placement.Choice) -> float:
        wait = max(SHORTEST_HEDGE_S, choice.completion_s * HEDGE_FACTOR)
        return self.known.clock.monotonic() + wait

    def _ending(
        self,
        call: calls.Call,
        attempt: result.Result[sending.Answer, Failure],
    ) -> endings.Ending:
        if isinstance(attempt, result.Success):
            return attempt.unwrap()
        failure = attempt.failure()
        if call.may_have_run:
            return endings.Lost(failure.value, failure is Failure.DEADLINE)
        return self._refuse(call, failure.value)

    def _may_repeat(self, call: calls.Call, failure: Failure | None) -> bool:
        if len(call.tried) >= call.route.max_attempts:
            return False
        if call.deadline <= self.known.clock.monotonic():
            return False
        if failure is Failure.NOT_SENT:
            # It never arrived, so that it is no second arrival.
            return True
        now = self.known.clock.monotonic()
        budget = self.known.budget(call.service)
        return budget.try_spend(now, self.known.fleet.sharing_vm_count())

    def _choose(self, call: calls.Call) -> placement.Choice | endings.Ending:
        now = self.known.clock.monotonic()
        request = placement.PlacementRequest(
            call.route,
            call.service,
            call.object_key,
            call.region,
            frozenset(call.tried),
        )
        service = self.known.routes.service(call.service)
        choice = self.known.placement.choose(request, service)
        verdict = admission.admit(
            choice,
            call.route,
            now - call.arrived,
            call.deadline - now,
        )
        if verdict is admission.Verdict.SEND:
            return choice
        call.steps.append(endings.describe_refusal(choice, verdict.value))
        if call.may_have_run:
            return endings.Lost(verdict.value, False)
        return self._refuse(call, verdict.value)

    def _refuse(self, call: calls.Call, reason: str) -> endings.Refusal:
        left = call.deadline - self.known.clock.monotonic()
        return endings.Refusal(
            reason, self.known.retry_times.sample(max(0.0, left))
        )

    async def _attempt(
        self, call: calls.Call, choice: placement.Choice
    ) -> result.Result[sending.Answer, Failure]:
        known = self.known
        upstream = choice.upstream
        started = known.clock.monotonic()
        remaining = call.deadline - started
        first = not call.tried
        call.tried.add(upstream.name)
        known.load.begin_request(upstream.name)
        known.outliers.begin_request(upstream.name)
        if choice.cold:
            known.cold.record_sent(upstream.name)
        if first:
            known.budget(call.service).record_request()
        outbound = sending.Outbound(
            call.method,
            call.target,
            platform_headers.encode_forwarded(
                call.headers, upstream.name, remaining
            ),
            call.body,
            call.request_id,
            remaining,
            call.route.idempotent,
        )
        ended = None
        try:
            ended = await self.sender.send(upstream, outbound)
        finally:
            known.load.end_request(upstream.name)
            if ended is None:
                known.outliers.abandon_request(upstream.name)
        took = known.clock.monotonic() - started
        self._learn(call, choice, ended, took)
        return ended

    def _learn(
        self,
        call: calls.Call,
        choice: placement.Choice,
        ended: result.Result[sending.Answer, Failure],
        took: float,
    ) -> None:
        known = self.known
        name = choice.upstream.name
        if isinstance(ended, result.Success):
            answer = ended.unwrap()
            call.steps.append(
                endings.describe(choice, str(answer.status), took)
            )
            known.crashes.clear(call.fingerprint)
            good = answer.status < 500
            known.outliers.record_outcome(
                name,
                outlier_detection.Outcome.GOOD
                if good
                else outlier_detection.Outcome.ERROR,
            )
            if good:
                self._learn_time(call, choice, took)
            return
        failure = ended.failure()
        call.steps.append(endings.describe(choice, failure.value, took))
        if failure not in endings.NOT_RUN:
            call.may_have_run = True
        if failure is Failure.STALE:
            # The next sending uses a new connection, perhaps to the same one.
            call.tried.discard(name)
            known.outliers.abandon_request(name)
            return
        if failure is Failure.LOST:
            incarnation = choice.upstream.incarnation
            known.crashes.record_loss(call.fingerprint, incarnation)
            self.share_loss(call.fingerprint, incarnation)
        if known.outliers.record_outcome(name, endings.OUTCOMES[failure]):
            self.set_aside(name)

    def _learn_time(
        self, call: calls.Call, choice: placement.Choice, took: float
    ) -> None:
        known = self.known
        name = choice.upstream.name
        if call.object_key:
            known.objects.record(name, call.object_key)
        if choice.busy or choice.cold:
            return
        slowness = known.load.expected_slowness(name)
        work = (took - known.delays.to_upstream(choice.upstream)) / slowness
        known.times.add(
            call.route.key,
            call.service,
            call.route.objective_s,
            max(0.001, work),
            choice.affinity,
        )
