"""Decisions whether requests are sent or wait, by the state of this VM."""

import attrs

from bulrushcourse_domain.placement import placement
from bulrushcourse_domain.waiting import decision
from bulrushcourse_domain.waiting import fair_shares
from bulrushcourse_domain.waiting import priorities
from bulrushcourse_domain.waiting import standing_queue
from bulrushcourse_domain.waiting import waiting_room
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.callers import admission_control
from bulrushcourse_entry.edge.callers import caller_request

Action = decision.Action


@attrs.define(eq=False)
class RoomDecisions:
    """Decides on requests by rank, gain, account and room.

    Attributes:
        state: The process state.
        shares: Use of the accounts.
        ranks: Priorities of the active configuration.
    """

    state: process_state.ProcessState
    shares: fair_shares.FairShares = attrs.field(init=False)
    ranks: priorities.ServicePriorities = priorities.ServicePriorities()

    def __attrs_post_init__(self) -> None:
        """Create the shares."""
        self.shares = fair_shares.FairShares(self.state.clock)

    def current_ranks(self) -> priorities.ServicePriorities:
        """Return the priorities of the active configuration."""
        if self.ranks.version != self.state.routes.version:
            self.ranks = priorities.rank_services(self.state.routes.active)
            self.state.pressure.retain(
                {s for s in self.ranks.by_service if self.ranks.are_ranked(s)}
            )
        return self.ranks

    def record_arrival(self, request: caller_request.CallerRequest) -> None:
        """Count a request as use of its account.

        Args:
            request: The request.
        """
        self.shares.record_arrival(
            account_name(request),
            self.current_ranks().weight(request.identity.account),
            self._typical_work_s(request),
        )

    def _typical_work_s(self, request: caller_request.CallerRequest) -> float:
        return self.state.service_times.route_times(
            request.route.key, request.service, request.route.objective_s
        ).typical_s

    def _demand(
        self, request: caller_request.CallerRequest
    ) -> decision.Demand:
        now = self.state.clock.monotonic()
        return decision.Demand(
            request.route,
            now - request.arrived,
            request.deadline - now,
            self._typical_work_s(request),
            self.state.pressure.level(request.service, request.priority),
            self.shares.overuse(account_name(request)),
        )

    def decide(
        self, request: caller_request.CallerRequest
    ) -> tuple[Action, placement.Choice | None, decision.Demand]:
        """Return what happens to a request, its upstream and the inputs.

        Args:
            request: The request.
        """
        choice = admission_control.place(self.state, request)
        demand = self._demand(request)
        if choice is None:
            return Action.NO_UPSTREAM, None, demand
        load = standing_queue.UpstreamLoad(
            choice.upstream.slots,
            self.state.load.in_flight(choice.upstream.name),
        )
        action = decision.decide(choice, load, demand)
        if action is Action.SEND:
            return action, choice, demand
        if not request.steps:
            limit = decision.room_limit(choice, demand)
            request.steps.append(
                f'{action.value} at {choice.upstream.name}: {load.in_flight}'
                f' in flight at {load.slots} slots, limit {limit:.1f} beyond'
            )
        return action, choice, demand

    def make_entry(
        self,
        request: caller_request.CallerRequest,
        choice: placement.Choice,
        demand: decision.Demand,
    ) -> waiting_room.Entry:
        """Return the entry of a request that waits.

        Args:
            request: The request.
            choice: Its best upstream at present.
            demand: The inputs of its decision.
        """
        ranks = self.current_ranks()
        priority = request.priority
        if demand.level.is_starved:
            priority = ranks.most_urgent(request.service, priority)
        tag = self.shares.next_tag(
            account_name(request),
            ranks.weight(request.identity.account),
            demand.typical_work_s,
        )
        return decision.make_entry(
            (request.service, request.region),
            choice,
            demand,
            priority,
            tag,
            self.state.clock.monotonic(),
            len(request.body),
        )


def account_name(request: caller_request.CallerRequest) -> str:
    """Return the name of a request's account, empty if it has none.

    Args:
        request: The request.
    """
    account = request.identity.account
    return account.name if account else ''
