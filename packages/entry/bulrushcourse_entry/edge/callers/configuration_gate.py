"""Which configuration decides on a request, at its arrival and later."""

import asyncio
import contextlib

import attrs

from bulrushcourse_domain.accounts import account as accounts
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.callers import caller_request
from bulrushcourse_entry.edge.callers import outcomes
from bulrushcourse_entry.edge.upstreams import destinations

# Time after a start or a pause for which requests wait for a confirmation. A
# call to the store without an answer ends within it, and other VMs are asked.
# Later requests would most likely wait in vain.
MAX_WAIT_S = 0.8
# Share of a request's time that it waits at most, so that a refused caller can
# use another VM.
WAIT_SHARE = 1 / 3
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 0.3


@attrs.define(eq=False)
class ConfigurationGate:
    """Holds decisions back that the known configuration does not support.

    Attributes:
        state: The process state.
        destinations: Chooses services and regions.
        updated: Set for a moment by each update on the configuration.
    """

    state: process_state.ProcessState
    destinations: destinations.DestinationSelector
    updated: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        """Subscribe to updates on the configuration."""
        self.state.configuration_updates.subscribe(self._wake)

    def _wake(self, _: None) -> None:
        self.updated.set()
        self.updated.clear()

    async def wait_for_confirmation(
        self, remaining_s: float, newest: bool = False
    ) -> bool:
        """Wait for a short time until the configuration is confirmed.

        Args:
            remaining_s: Time that the request has left.
            newest: Whether a newer version that other VMs have is awaited.

        Returns:
            Whether it has waited, so that the configuration may have changed.
        """
        self.state.observe_running()
        since = self._unconfirmed_since(newest)
        if since is None:
            return False
        limit_s = min(
            since + MAX_WAIT_S - self.state.clock.monotonic(),
            remaining_s * WAIT_SHARE,
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                while self._unconfirmed_since(newest) is not None:
                    await self.updated.wait()
        return True

    def _unconfirmed_since(self, newest: bool) -> float | None:
        """Return since when a confirmation or newer version is awaited."""
        state = self.state
        if state.configuration_unconfirmed:
            return state.freshness.doubted_at
        if newest and state.configuration_behind:
            return state.freshness.heard_at
        return None

    def check_denial(self) -> outcomes.Refusal | None:
        """Return the refusal that replaces an answer that callers accept.

        Callers do not repeat a request whose route or key is unknown.
        """
        return None if self.state.may_deny else self._unconfirmed()

    def check_homes(self, route: routes.Route) -> outcomes.Refusal | None:
        """Return the refusal of a request that must not be sent now.

        Args:
            route: Its route.
        """
        self.state.observe_running()
        if not route.home_regions or (
            self.state.freshness.may_send_home_bound(
                self.state.settings.bounds.freshness_terms
            )
        ):
            return None
        return self._unconfirmed()

    def rebind(self, request: caller_request.CallerRequest) -> bool:
        """Bind a request to the active configuration before it is sent.

        The configuration may have changed since the request arrived. One
        whose route was dropped keeps the home regions that it had.

        Args:
            request: The request.

        Returns:
            Whether the configuration has changed.
        """
        state = self.state
        if request.configuration_version == state.routes.version:
            return False
        request.configuration_version = state.routes.version
        request.configuration_age_s = state.configuration_age_s
        self._bind(request, self._active_route(request))
        return True

    def may_still_send(
        self, request: caller_request.CallerRequest, region: str
    ) -> bool:
        """Return whether a request may be sent to the region chosen for it.

        The connection may have taken long to open.

        Args:
            request: The request.
            region: Region of its upstream.
        """
        route = request.route
        if request.configuration_version != self.state.routes.version:
            route = self._active_route(request)
        if route.home_regions and not request.route.home_regions:
            # The attempt began without a proof of the address.
            return False
        return route.may_run_in(region) and self.check_homes(route) is None

    def _active_route(
        self, request: caller_request.CallerRequest
    ) -> routes.Route:
        """Return the route of a request with its home regions in force."""
        matched = self.state.routes.match(
            request.route.host, request.target.partition('?')[0]
        )
        route = matched or request.route
        previous = request.identity.account
        if previous is None:
            return route
        account: accounts.ClientAccount = (
            self.state.routes.accounts.by_name.get(previous.name, previous)
        )
        return routes.within_homes(route, account.home_regions)

    def _bind(
        self, request: caller_request.CallerRequest, route: routes.Route
    ) -> None:
        previous = request.service
        if request.attempts:
            # The attempts so far are counted for the route and the service.
            request.route = attrs.evolve(
                request.route, home_regions=route.home_regions
            )
        else:
            # Its caller may not expect that it runs twice.
            request.route = attrs.evolve(
                route,
                idempotent=route.idempotent and request.route.idempotent,
            )
            if all(w.service != previous for w in route.weighted_services):
                request.service = self.destinations.choose_service(route)
        if request.service != previous or not route.may_run_in(request.region):
            request.region = self.destinations.choose_region(
                request.route, request.service, request.object_key
            )

    def _unconfirmed(self) -> outcomes.Refusal:
        return outcomes.Refusal(
            'configuration-unconfirmed',
            self.state.rng.uniform(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S),
        )
