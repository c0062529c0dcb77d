"""Responses to callers: statuses, headers and what is logged about them."""

import math

import attrs
from aiohttp import hdrs
from aiohttp import web

from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.callers import caller_request
from bulrushcourse_entry.edge.callers import outcomes
from bulrushcourse_entry.edge.reporting import event_log as event_logs
from bulrushcourse_entry.edge.reporting import metrics
from bulrushcourse_entry.edge.upstreams import upstream_client
from bulrushcourse_entry.platform import headers as platform_headers

REFUSED_STATUS = 503
OVER_QUOTA_STATUS = 429
# Longer hosts and targets are cut off in logs.
MAX_LOGGED_LENGTH = 120


@attrs.frozen
class Served:
    """The response to a request, before it is written.

    Attributes:
        response: The response.
        answer: The upstream's answer in it, ``None`` for a response of this
            VM.
    """

    response: web.Response
    answer: upstream_client.Answer | None = None


@attrs.define(eq=False)
class Responder:
    """Encodes outcomes as responses, counts and logs them.

    Attributes:
        state: The process state.
        event_log: Log.
        metrics: Counters and histograms.
    """

    state: process_state.ProcessState
    event_log: event_logs.EventLog
    metrics: metrics.Metrics

    def respond(
        self, parsed: caller_request.CallerRequest, outcome: outcomes.Outcome
    ) -> web.Response:
        """Return the response to an executed request.

        Args:
            parsed: The request.
            outcome: Its outcome.
        """
        if isinstance(outcome, outcomes.Refusal):
            return self._encode_refusal(outcome)
        if isinstance(outcome, outcomes.Lost):
            return web.Response(status=504 if outcome.timed_out else 502)
        response = web.Response(
            status=outcome.status,
            headers=platform_headers.encode_returned(
                outcome.headers, parsed.method == hdrs.METH_HEAD
            ),
            body=outcome.body.payload(),
        )
        return response

    def refuse(self, request_id: str, refusal: outcomes.Refusal) -> Served:
        """Refuse a request that is not executed, and log it.

        Args:
            request_id: Identifier of the request.
            refusal: Why it is refused.
        """
        self.event_log.log_request_outcome(
            False,
            id=request_id,
            outcome='refused',
            reason=refusal.reason,
            **self._configuration_fields(),
        )
        return Served(self._encode_refusal(refusal))

    def _configuration_fields(self) -> dict[str, int | None]:
        """Return version and age of what denied or refused a request."""
        state = self.state
        if not state.routes.version:
            return {'configuration': 0}
        return {
            'configuration': state.routes.version,
            'configuration_age_ms': _milliseconds(state.configuration_age_s),
            'contact_age_ms': _milliseconds(state.freshness.contact_age_s()),
        }

    def _encode_refusal(self, refusal: outcomes.Refusal) -> web.Response:
        self.metrics.record_refusal(refusal.reason)
        return web.Response(
            status=OVER_QUOTA_STATUS if refusal.over_quota else REFUSED_STATUS,
            headers=platform_headers.encode_retry_after(refusal.retry_after_s),
        )

    def reject(
        self,
        status: int,
        reason: str,
        request_id: str,
        host: str = '',
        target: str = '',
    ) -> Served:
        """Return an error status for a request that is not executed.

        Args:
            status: HTTP status.
            reason: Why the request is rejected.
            request_id: Its identifier.
            host: Host that it names.
            target: Path and query, for the log.
        """
        self.metrics.record_rejection(status, reason)
        self.event_log.log_request_outcome(
            False,
            id=request_id,
            outcome='rejected',
            reason=reason,
            status=status,
            host=host[:MAX_LOGGED_LENGTH],
            target=target[:MAX_LOGGED_LENGTH],
            **self._configuration_fields(),
        )
        return Served(web.Response(status=status))

    def record(
        self,
        parsed: caller_request.CallerRequest,
        outcome: outcomes.Outcome,
    ) -> None:
        """Count and log an executed request.

        Args:
            parsed: The request.
            outcome: Its outcome.
        """
        state = self.state
        elapsed_s = state.clock.monotonic() - parsed.arrived
        is_answer = isinstance(outcome, upstream_client.Answer)
        self.metrics.record_request(parsed.service, outcome, elapsed_s)
        self.event_log.log_request_outcome(
            is_answer and outcome.status < 500,
            id=parsed.request_id,
            outcome=type(outcome).__name__.lower(),
            reason=getattr(outcome, 'reason', ''),
            status=getattr(outcome, 'status', None),
            took_ms=round(elapsed_s * 1000),
            allowed_ms=round((parsed.deadline - parsed.arrived) * 1000),
            route=parsed.route.key,
            service=parsed.service,
            region=parsed.region,
            object=parsed.object_key,
            steps=parsed.steps,
            attempts=[record.fields() for record in parsed.records],
            configuration=parsed.configuration_version,
            configuration_age_ms=_milliseconds(parsed.configuration_age_s),
            upstreams_version=state.upstreams.position.version,
            store_era=state.store_era.era,
            upstreams_age_ms=round(
                (state.clock.monotonic() - state.upstreams.read_at) * 1000
            )
            if state.upstreams.position
            else None,
        )


def _milliseconds(seconds: float) -> int | None:
    """Return whole milliseconds, ``None`` for an unlimited time."""
    return round(seconds * 1000) if math.isfinite(seconds) else None
