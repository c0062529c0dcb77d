"""Execution of one request: choice of upstreams, attempts and outcome."""

import asyncio
import typing

import attrs
from returns import result

from bulrushcourse_domain.placement import placement
from bulrushcourse_domain.placement import reservation
from bulrushcourse_domain.placement import service_times
from bulrushcourse_domain.quarantine import probes
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.accounts import account_gate
from bulrushcourse_entry.edge.callers import admission_control
from bulrushcourse_entry.edge.callers import attempts
from bulrushcourse_entry.edge.callers import caller_request
from bulrushcourse_entry.edge.callers import configuration_gate
from bulrushcourse_entry.edge.callers import outcomes
from bulrushcourse_entry.edge.upstreams import upstream_client

Failure = upstream_client.Failure

# Until the durations of a route are known, an idempotent request is hedged
# when its first attempt has taken this many times its expected duration; most
# attempts are finished by then.
HEDGE_FACTOR = 3.0
MIN_HEDGE_DELAY_S = 0.15


@attrs.define(eq=False)
class RequestExecutor:
    """Executes callers' requests at upstreams.

    Attributes:
        state: The process state.
        attempts: Sends requests to upstreams.
        admission: Decides when and where a request is sent.
        gate: Checks of client accounts.
        configuration: Binds requests to the active configuration.
        running: Tasks of requests that must not run twice; they go on when
            the caller disconnects.
    """

    state: process_state.ProcessState
    attempts: attempts.AttemptRunner
    admission: admission_control.AdmissionControl
    gate: account_gate.AccountGate
    configuration: configuration_gate.ConfigurationGate
    running: set[asyncio.Task[typing.Any]] = attrs.field(factory=set)

    async def close(self) -> None:
        """Cancel the requests that are still running."""
        for task in self.running:
            task.cancel()
        await asyncio.gather(*self.running, return_exceptions=True)

    async def execute(
        self, request: caller_request.CallerRequest
    ) -> outcomes.Outcome:
        """Execute a request and return its outcome.

        A request that must not run twice goes on when its caller disconnects,
        since cancelling it would not prove that it has not run.

        Args:
            request: The request.
        """
        ledger = self.state.crash_ledger
        verdict = ledger.admit(
            request.fingerprint,
            self.state.settings.vm,
            self.state.fleet.alive,
        )
        if verdict is probes.Verdict.REFUSE:
            return self.admission.refuse(request, 'quarantined')
        if verdict is probes.Verdict.RUN:
            return await self._execute_by_kind(request)
        request.is_probe = True
        ledger.begin_probe(request.fingerprint)
        try:
            return await self._execute_by_kind(request)
        finally:
            ledger.end_probe(request.fingerprint)

    async def _execute_by_kind(
        self, request: caller_request.CallerRequest
    ) -> outcomes.Outcome:
        # A request that waits for room has not been sent, so that it ends
        # with its caller in any case.
        reserved = await self._choose_first(request)
        if not isinstance(reserved, reservation.Reservation):
            return reserved
        if request.route.idempotent:
            return await self._execute_idempotent(request, reserved)
        task = asyncio.create_task(self._execute_once(request, reserved))
        _cancel_with(task, reserved)
        self.running.add(task)
        task.add_done_callback(self.running.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if not request.is_sent:
                # No byte of it has left this VM, so that it can't run.
                task.cancel()
            raise

    async def _execute_once(
        self,
        request: caller_request.CallerRequest,
        reserved: reservation.Reservation | outcomes.Outcome,
    ) -> outcomes.Outcome:
        while True:
            if not isinstance(reserved, reservation.Reservation):
                return reserved
            attempt = await self.attempts.run(request, reserved)
            if isinstance(attempt, result.Success):
                return attempt.unwrap()
            failure = attempt.failure()
            if failure not in outcomes.NOT_EXECUTED:
                return outcomes.Lost(
                    failure.value, failure is Failure.DEADLINE
                )
            if not self._may_retry(request, failure):
                return self.admission.refuse(request, failure.value)
            reserved = self._choose_again(request)

    async def _execute_idempotent(
        self,
        request: caller_request.CallerRequest,
        reserved: reservation.Reservation,
    ) -> outcomes.Outcome:
        pending = {self._start(request, reserved)}
        hedge_at = self._hedge_at(request, reserved.choice)
        fallback: outcomes.Outcome | None = None
        try:
            while pending:
                done, pending = await asyncio.wait(
                    pending,
                    timeout=max(0.0, hedge_at - self.state.clock.monotonic()),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                finished = [task.result() for task in done]
                deliverable = next(
                    (a for a in finished if outcomes.is_deliverable(a)), None
                )
                if deliverable is not None:
                    return deliverable.unwrap()
                for attempt in finished:
                    fallback = self._outcome(request, attempt)
                hedge_at = float('inf')
                if finished and pending:
                    continue
                if not self._may_retry(
                    request, outcomes.first_failure(finished)
                ):
                    continue
                again = self._choose_again(request)
                if isinstance(again, reservation.Reservation):
                    pending.add(self._start(request, again))
                elif fallback is None and not pending:
                    fallback = again
            return fallback or self.admission.refuse(request, 'no-upstream')
        finally:
            for task in pending:
                task.cancel()

    async def _choose_first(
        self, request: caller_request.CallerRequest
    ) -> reservation.Reservation | outcomes.Outcome:
        while True:
            # The body may have taken long.
            remaining_s = request.deadline - self.state.clock.monotonic()
            await self.configuration.wait_for_confirmation(remaining_s)
            self.configuration.rebind(request)
            reserved = await self.admission.choose_first(request)
            if not isinstance(reserved, reservation.Reservation):
                return reserved
            if self.configuration.rebind(request):
                reserved.cancel()
                continue
            outdated = self._recheck(request)
            if outdated is None:
                return reserved
            reserved.cancel()
            return outdated

    def _recheck(
        self, request: caller_request.CallerRequest
    ) -> outcomes.Refusal | None:
        # The key may have been withdrawn while the request waited.
        return self.gate.recheck(request) or self.configuration.check_homes(
            request.route
        )

    def _choose_again(
        self, request: caller_request.CallerRequest
    ) -> reservation.Reservation | outcomes.Outcome:
        self.configuration.rebind(request)
        reserved = self.admission.choose_again(request)
        outdated = self._recheck(request)
        if outdated is None or not isinstance(
            reserved, reservation.Reservation
        ):
            return reserved
        reserved.cancel()
        if request.may_have_run:
            return outcomes.Lost(outdated.reason, False)
        return outdated

    def _start(
        self,
        request: caller_request.CallerRequest,
        reserved: reservation.Reservation,
    ) -> asyncio.Task[attempts.Attempt]:
        task = asyncio.create_task(self.attempts.run(request, reserved))
        _cancel_with(task, reserved)
        return task

    def _hedge_at(
        self,
        request: caller_request.CallerRequest,
        choice: placement.Choice,
    ) -> float:
        state = self.state
        route = request.route
        times = state.service_times.route_times(
            route.key, request.service, route.objective_s
        )
        ratio = state.durations.hedge_ratio(
            (route.key, request.service),
            times.expected_s(service_times.Affinity.SECOND)
            / choice.completion_s,
            state.settings.bounds.retry_ratio,
        )
        factor = HEDGE_FACTOR if ratio is None else ratio
        delay_s = max(MIN_HEDGE_DELAY_S, choice.completion_s * factor)
        return state.clock.monotonic() + delay_s

    def _outcome(
        self,
        request: caller_request.CallerRequest,
        attempt: attempts.Attempt,
    ) -> outcomes.Outcome:
        if isinstance(attempt, result.Success):
            return attempt.unwrap()
        failure = attempt.failure()
        if request.may_have_run:
            return outcomes.Lost(failure.value, failure is Failure.DEADLINE)
        return self.admission.refuse(request, failure.value)

    def _may_retry(
        self, request: caller_request.CallerRequest, failure: Failure | None
    ) -> bool:
        if request.attempts >= request.route.max_attempts:
            return False
        if failure in outcomes.NOT_BEGUN and not request.attempts:
            return request.deadline > self.state.clock.monotonic()
        if request.is_probe or self.state.crash_ledger.is_quarantined(
            request.fingerprint
        ):
            return False
        if request.deadline <= self.state.clock.monotonic():
            return False
        if failure in outcomes.NOT_SENT:
            # The request reached no upstream, so that the next attempt is not
            # a retry to any of them and costs no retry budget.
            return True
        now = self.state.clock.monotonic()
        budget = self.state.retry_budget(request.service)
        return budget.try_spend(now, self.state.fleet.sharing_vm_count())


def _cancel_with(
    task: asyncio.Task[typing.Any], reserved: reservation.Reservation
) -> None:
    """Return the room of an attempt whose task may end before it begins."""
    task.add_done_callback(lambda _: reserved.cancel())
