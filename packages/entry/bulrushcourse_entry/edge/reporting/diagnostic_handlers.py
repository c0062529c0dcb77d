"""HTTP handler of the metrics listener."""

import attrs
from aiohttp import web

from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.reporting import explaining
from bulrushcourse_entry.edge.reporting import metrics
from bulrushcourse_entry.edge.reporting import state_dump

# Path of the state dump.
STATE_PATH = '/state'


@attrs.frozen
class DiagnosticHandlers:
    """Serves metrics, the state dump and explanations.

    Attributes:
        state: The process state.
        metrics: Counters and histograms.
        explainer: Explains where requests would go.
    """

    state: process_state.ProcessState
    metrics: metrics.Metrics
    explainer: explaining.Explainer

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Respond with what the path names; by default with the metrics.

        Args:
            request: The request.
        """
        if request.path == STATE_PATH:
            return web.json_response(state_dump.dump(self.state))
        if request.path == explaining.PATH:
            return self.explainer.respond(request.query)
        return web.Response(body=self.metrics.render())
