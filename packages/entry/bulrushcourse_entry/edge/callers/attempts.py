"""One attempt of a request at an upstream, and what it shows."""

import functools
import typing

import attrs
from returns import result

from bulrushcourse_domain.attempts import broken
from bulrushcourse_domain.placement import placement
from bulrushcourse_domain.placement import reservation
from bulrushcourse_domain.upstreams import outlier_detection
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.callers import attempt_records
from bulrushcourse_entry.edge.callers import caller_request
from bulrushcourse_entry.edge.callers import outcomes
from bulrushcourse_entry.edge.upstreams import connection_tracing
from bulrushcourse_entry.edge.upstreams import upstream_client
from bulrushcourse_entry.platform import headers as platform_headers

Failure = upstream_client.Failure
Attempt = result.Result[upstream_client.Answer, Failure]


@attrs.define(eq=False)
class AttemptRunner:
    """Sends requests to upstreams and records what the attempts show.

    Attributes:
        state: The process state.
        client: Client of the upstreams.
        on_ejected: Called with the name of an ejected upstream.
        on_misdirected: Called with an attempt that another upstream answered.
        may_send: Returns whether a request may still be sent to a region.
    """

    state: process_state.ProcessState
    client: upstream_client.UpstreamClient
    on_ejected: typing.Callable[[str], None]
    on_misdirected: typing.Callable[[attempt_records.AttemptRecord], None]
    may_send: typing.Callable[[caller_request.CallerRequest, str], bool]

    async def run(
        self,
        request: caller_request.CallerRequest,
        reserved: reservation.Reservation,
    ) -> Attempt:
        """Send a request to an upstream and return the result.

        Args:
            request: The request.
            reserved: The room at the upstream, which is returned at the end.
        """
        with reserved:
            return await self._run(request, reserved)

    async def _run(
        self,
        request: caller_request.CallerRequest,
        reserved: reservation.Reservation,
    ) -> Attempt:
        state = self.state
        choice = reserved.choice
        upstream = choice.upstream
        started = state.clock.monotonic()
        remaining_s = request.deadline - started
        request.attempts += 1
        request.tried.add(upstream.name)
        if not request.is_counted:
            request.is_counted = True
            state.retry_budget(request.service).record_request(
                started, state.placement.sharing_vm_count
            )
        outbound = self._outbound(request, upstream.name, remaining_s)
        record = attempt_records.begin(
            state,
            connection_tracing.AttemptTrace(
                upstream,
                state.upstreams.addresses,
                request.route.is_confined(state.settings.regions.values()),
                functools.partial(self.may_send, request, upstream.region),
            ),
        )
        request.records.append(record)
        attempt = None
        try:
            attempt = await self.client.send(record.trace, outbound)
        finally:
            reserved.end()
            elapsed_s = state.clock.monotonic() - started
            elapsed_s -= record.trace.proof_s
            record.trace.end()
            self._record_duration(request, choice, attempt, elapsed_s)
            if attempt is None:
                state.outliers.abandon_request(upstream.name)
                if record.trace.wrote:
                    self._record_possible_loss(request, upstream)
        self._record_outcome(record, attempt)
        self._record_evidence(request, choice, attempt, started)
        self._record_attempt(request, choice, attempt, elapsed_s)
        return attempt

    def _record_outcome(
        self, record: attempt_records.AttemptRecord, attempt: Attempt
    ) -> None:
        if isinstance(attempt, result.Success):
            record.outcome = str(attempt.unwrap().status)
            return
        failure = attempt.failure()
        record.outcome = failure.value
        if failure is Failure.MISDIRECTED:
            self.on_misdirected(record)

    def _outbound(
        self,
        request: caller_request.CallerRequest,
        upstream: str,
        remaining_s: float,
    ) -> upstream_client.OutboundRequest:
        return upstream_client.OutboundRequest(
            request.method,
            request.target,
            platform_headers.encode_forwarded(
                request.headers,
                upstream,
                remaining_s,
                self._account_name(request),
            ),
            request.body,
            request.request_id,
            remaining_s,
            request.route.idempotent and not request.met_stale,
        )

    def _record_evidence(
        self,
        request: caller_request.CallerRequest,
        choice: placement.Choice,
        attempt: Attempt,
        started: float,
    ) -> None:
        """Record what an attempt shows about crash-inducing requests."""
        ledger = self.state.crash_ledger
        incarnation = choice.upstream.incarnation
        if isinstance(attempt, result.Success):
            ledger.record_answer(request.fingerprint, incarnation, started)
            return
        if attempt.failure() is Failure.SHED:
            ledger.record_alive(incarnation, started)
            return
        suspicion = outcomes.SUSPICIONS.get(
            attempt.failure(), broken.Suspicion.NONE
        )
        if suspicion is broken.Suspicion.PRESUMED:
            ledger.record_loss(request.fingerprint, incarnation)
        elif suspicion is broken.Suspicion.POSSIBLE:
            self._record_possible_loss(request, choice.upstream)

    def _record_possible_loss(
        self,
        request: caller_request.CallerRequest,
        upstream: upstreams.Upstream,
    ) -> None:
        if self.state.crash_ledger.record_possible_loss(
            request.fingerprint, upstream.incarnation
        ):
            self.state.possible_crashes.on_next(upstream)

    def _record_duration(
        self,
        request: caller_request.CallerRequest,
        choice: placement.Choice,
        attempt: Attempt | None,
        elapsed_s: float,
    ) -> None:
        answered = (
            isinstance(attempt, result.Success)
            and attempt.unwrap().status < 500
        )
        given_up = attempt is None or (
            isinstance(attempt, result.Failure)
            and attempt.failure() is Failure.DEADLINE
        )
        if answered or given_up:
            self.state.durations.add(
                (request.route.key, request.service),
                len(request.tried) == 1,
                elapsed_s / choice.completion_s,
                answered,
            )

    def _account_name(
        self, request: caller_request.CallerRequest
    ) -> str | None:
        """Return the account that is named to the upstream."""
        if not self.state.routes.accounts.requires_keys:
            return None
        account = request.identity.account
        return account.name if account else ''

    def _record_attempt(
        self,
        request: caller_request.CallerRequest,
        choice: placement.Choice,
        attempt: Attempt,
        elapsed_s: float,
    ) -> None:
        state = self.state
        name = choice.upstream.name
        if isinstance(attempt, result.Success):
            answer = attempt.unwrap()
            request.steps.append(
                outcomes.describe_attempt(
                    choice, str(answer.status), elapsed_s
                )
            )
            is_good = answer.status < 500
            self._record_health(
                choice.upstream,
                outlier_detection.Outcome.GOOD
                if is_good
                else outlier_detection.Outcome.ERROR,
            )
            if is_good:
                self._record_service_time(request, choice, elapsed_s)
            return
        failure = attempt.failure()
        request.steps.append(
            outcomes.describe_attempt(choice, failure.value, elapsed_s)
        )
        if failure not in outcomes.NOT_EXECUTED:
            request.may_have_run = True
        if failure in outcomes.NOT_BEGUN:
            # Nothing was sent, so that it counts as no attempt.
            request.attempts -= 1
            state.outliers.abandon_request(name)
            return
        if failure is Failure.STALE:
            # The next attempt uses a new connection and may go to the same
            # upstream; that it answers, or refuses the connection, shows
            # whether it crashed.
            request.met_stale = True
            request.tried.discard(name)
            state.outliers.abandon_request(name)
            return
        self._record_health(
            choice.upstream, outcomes.DETECTOR_OUTCOMES[failure]
        )

    def _record_health(
        self,
        upstream: upstreams.Upstream,
        outcome: outlier_detection.Outcome,
    ) -> None:
        if not self.state.upstreams.lists(upstream):
            # The statistics under its name are those of another process.
            return
        if self.state.outliers.record_outcome(upstream.name, outcome):
            self.on_ejected(upstream.name)

    def _record_service_time(
        self,
        request: caller_request.CallerRequest,
        choice: placement.Choice,
        elapsed_s: float,
    ) -> None:
        state = self.state
        name = choice.upstream.name
        if request.object_key and state.upstreams.lists(choice.upstream):
            state.recent_objects.record(name, request.object_key)
        if choice.queued or choice.cold:
            return
        slowness = state.load.expected_slowness(name)
        work_s = (
            elapsed_s - state.round_trips.to_upstream(choice.upstream)
        ) / slowness
        times = state.service_times.route_times(
            request.route.key, request.service, request.route.objective_s
        )
        state.placement.costs.add(
            request.route.key,
            request.service,
            request.object_key,
            work_s / times.expected_s(choice.affinity),
        )
        state.service_times.add(
            request.route.key,
            request.service,
            request.route.objective_s,
            max(0.001, work_s),
            choice.affinity,
        )
