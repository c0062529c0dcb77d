"""HTTP handlers for look-ups and readiness checks."""

import attrs
from aiohttp import web

from bulrushcourse_domain.fleet import fleet
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.callers import responses
from bulrushcourse_entry.platform import lookups

# Time for which callers may cache a look-up. It is well below the agreed
# maximum, so that callers soon stop using a VM that leaves.
LOOKUP_MAX_AGE_S = 2.0


@attrs.frozen
class LookupHandlers:
    """Answers look-ups of callers and readiness checks.

    Attributes:
        state: The process state.
    """

    state: process_state.ProcessState

    async def look_up(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond with the addresses of the VMs that a caller should use.

        Args:
            request: The look-up.
        """
        query = lookups.decode(request.path, request.query)
        if query is None:
            return web.Response(status=404)
        if not self._may_answer():
            # Callers ask another VM.
            return web.Response(status=responses.REFUSED_STATUS)
        addresses = self.state.lookup_answers.addresses(
            query.region, self.state.routes.home_regions(query.host)
        )
        if not addresses:
            return web.Response(status=responses.REFUSED_STATUS)
        max_age_s = min(
            LOOKUP_MAX_AGE_S, self.state.settings.bounds.answer_max_age_s
        )
        return web.Response(
            body=lookups.encode(addresses, max_age_s),
            content_type='application/json',
        )

    def _may_answer(self) -> bool:
        """Return whether homes and serving VMs are known well enough."""
        self.state.observe_running()
        return (
            bool(self.state.routes.version)
            and not self.state.configuration_unconfirmed
            and self.state.fleet.has_heard_all_regions()
        )

    async def ready(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond to a readiness check.

        Args:
            request: The check.
        """
        is_ready = self.state.fleet.phase in (
            fleet.Phase.READY,
            fleet.Phase.BUSY,
        )
        return web.Response(
            status=200 if is_ready else responses.REFUSED_STATUS
        )
