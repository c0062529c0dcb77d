"""What the active configuration has for a request, if it is well known."""

import typing

import attrs

from bulrushcourse_domain.accounts import account_table
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.callers import configuration_gate
from bulrushcourse_entry.edge.callers import outcomes

# A defective route stays so until operators publish another configuration.
DEFECTIVE_ROUTE = outcomes.Refusal('defective-route', 5.0)


@attrs.frozen
class Target:
    """What the configuration has for a request.

    Attributes:
        route: Its route, with all home regions that bind.
        identity: On whose behalf the request is sent.
    """

    route: routes.Route
    identity: account_table.Identity


@attrs.frozen
class Denial:
    """The configuration has nothing for a request.

    Attributes:
        status: HTTP status.
        reason: Reason of the denial.
    """

    status: int
    reason: str


@attrs.define(eq=False)
class TargetLookup:
    """Finds the targets of requests.

    Attributes:
        state: The process state.
        configuration: Checks of how well the configuration is known.
    """

    state: process_state.ProcessState
    configuration: configuration_gate.ConfigurationGate

    async def find(
        self,
        match: typing.Callable[[], routes.Route | None],
        key: str,
        remaining_s: float,
    ) -> Target | Denial | outcomes.Refusal:
        """Return the target of a request, or why it has none.

        Args:
            match: Returns the route of the request.
            key: Key of its client account, empty for none.
            remaining_s: Time that it has left.
        """
        await self.configuration.wait_for_confirmation(remaining_s)
        found = self._find(match(), key)
        needs_newest = isinstance(found, Denial) or found.route.home_regions
        if needs_newest and (
            await self.configuration.wait_for_confirmation(
                remaining_s, newest=True
            )
        ):
            found = self._find(match(), key)
        if isinstance(found, Denial):
            return self.configuration.check_denial() or found
        if found.route.is_defective:
            return DEFECTIVE_ROUTE
        return self.configuration.check_homes(found.route) or found

    def _find(self, route: routes.Route | None, key: str) -> Target | Denial:
        if route is None:
            return Denial(404, 'no-route')
        if route.is_defective:
            # It may be a public one, so that the key decides nothing.
            return Target(route, account_table.ANONYMOUS)
        identity = self.state.routes.accounts.identify(key, route.public)
        if identity.verdict is account_table.KeyVerdict.UNKNOWN:
            return Denial(401, identity.verdict.value)
        if identity.account is not None:
            route = routes.within_homes(route, identity.account.home_regions)
        return Target(route, identity)
