"""Choice of an upstream for a request, or its refusal."""

import typing

import attrs

from bulrushcourse_domain.placement import admission
from bulrushcourse_domain.placement import placement
from bulrushcourse_domain.placement import reservation
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.callers import caller_request
from bulrushcourse_entry.edge.callers import outcomes


class AdmissionControl(typing.Protocol):
    """Decides when and where a request is sent."""

    async def choose_first(
        self, request: caller_request.CallerRequest
    ) -> reservation.Reservation | outcomes.Outcome:
        """Reserve the first attempt of a request, or return its outcome.

        The request may wait meanwhile.

        Args:
            request: The request.
        """
        ...

    def choose_again(
        self, request: caller_request.CallerRequest
    ) -> reservation.Reservation | outcomes.Outcome:
        """Reserve a retry or hedge, or return the outcome.

        Args:
            request: The request.
        """
        ...

    def refuse(
        self, request: caller_request.CallerRequest, reason: str
    ) -> outcomes.Refusal:
        """Return the refusal of a request that certainly has not run.

        Args:
            request: The request.
            reason: Why it is refused.
        """
        ...


@attrs.define(eq=False)
class ImmediateAdmission:
    """Sends or refuses each request at once by the estimate for its route.

    Attributes:
        state: The process state.
    """

    state: process_state.ProcessState

    async def choose_first(
        self, request: caller_request.CallerRequest
    ) -> reservation.Reservation | outcomes.Outcome:
        """Reserve the first attempt of a request, or return its outcome.

        Args:
            request: The request.
        """
        return self.choose_again(request)

    def choose_again(
        self, request: caller_request.CallerRequest
    ) -> reservation.Reservation | outcomes.Outcome:
        """Reserve a retry or hedge, or return the outcome.

        Args:
            request: The request.
        """
        if not request.may_have_run and not self.state.may_begin(
            request.deadline
        ):
            # A body may have arrived late, and a refusal of the upstream may
            # have come late.
            request.steps.append(outcomes.STOPPING.reason)
            return outcomes.STOPPING
        choice = place(self.state, request)
        now = self.state.clock.monotonic()
        verdict = admission.admit(
            choice,
            request.route,
            now - request.arrived,
            request.deadline - now,
        )
        if choice is not None and verdict is admission.Verdict.SEND:
            return self.state.reservations.reserve(choice)
        request.steps.append(outcomes.describe_refusal(choice, verdict.value))
        if request.may_have_run:
            return outcomes.Lost(verdict.value, False)
        return self.refuse(request, verdict.value)

    def refuse(
        self, request: caller_request.CallerRequest, reason: str
    ) -> outcomes.Refusal:
        """Return the refusal of a request that certainly has not run.

        Args:
            request: The request.
            reason: Why it is refused.
        """
        remaining_s = request.deadline - self.state.clock.monotonic()
        return outcomes.Refusal(
            reason, self.state.retry_after.sample(max(0.0, remaining_s))
        )


def place(
    state: process_state.ProcessState, request: caller_request.CallerRequest
) -> placement.Choice | None:
    """Return the best upstream for a request, ``None`` if there is none.

    A request that must not reach another region goes to an upstream whose
    address is proven, if one has room, while the best one is asked for a proof
    for later requests.

    Args:
        state: The process state.
        request: The request.
    """
    constraints = placement_request(request)
    service = state.routes.service(request.service)
    best = state.placement.choose(constraints, service)
    if (
        best is None
        or not request.route.is_confined(state.settings.regions.values())
        or state.upstreams.addresses.is_proven(best.upstream)
    ):
        return best
    proven = state.placement.choose(
        attrs.evolve(constraints, proven_only=True), service
    )
    if proven is None or proven.queued > best.queued:
        return best
    state.proofs_wanted.on_next(best.upstream)
    return proven


def placement_request(
    request: caller_request.CallerRequest,
) -> placement.PlacementRequest:
    """Return the constraints on the upstream of a request.

    Args:
        request: The request.
    """
    return placement.PlacementRequest(
        request.route,
        request.service,
        request.object_key,
        request.region,
        frozenset(request.tried),
    )
