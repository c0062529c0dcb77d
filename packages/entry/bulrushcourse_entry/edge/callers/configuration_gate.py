"""What a request waits for until the configuration decides on it."""

import asyncio
import contextlib

import attrs

from bulrushcourse_domain.routes import route as routes
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.callers import outcomes

# Longest wait of a request for a configuration that is being confirmed. A call
# to the store without an answer ends within this, and other VMs are asked.
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
        news: Set for a moment by each piece of news on the configuration.
    """

    state: process_state.ProcessState
    news: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        """Subscribe to news on the configuration."""
        self.state.configuration_news.subscribe(self._wake)

    def _wake(self, _: None) -> None:
        self.news.set()
        self.news.clear()

    async def settle(self, remaining_s: float, newest: bool = False) -> bool:
        """Wait for a short time until the configuration is confirmed.

        Args:
            remaining_s: Time that the request has left.
            newest: Whether a newer version that other VMs have is awaited.

        Returns:
            Whether it has waited, so that the configuration may have changed.
        """
        self.state.observe_running()
        if self._is_settled(newest):
            return False
        limit_s = min(MAX_WAIT_S, remaining_s * WAIT_SHARE)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                while not self._is_settled(newest):
                    await self.news.wait()
        return True

    def _is_settled(self, newest: bool) -> bool:
        state = self.state
        if state.configuration_unconfirmed:
            return False
        return not newest or not state.freshness.is_behind(
            state.routes.version, state.settings.bounds.freshness_terms
        )

    def check_denial(self) -> outcomes.Refusal | None:
        """Return the refusal that replaces an answer that callers accept.

        Callers do not repeat a request whose route or key is unknown.
        """
        may_deny = self.state.freshness.may_deny(
            self.state.routes.version,
            self.state.settings.bounds.freshness_terms,
        )
        return None if may_deny else self._unconfirmed()

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

    def _unconfirmed(self) -> outcomes.Refusal:
        return outcomes.Refusal(
            'configuration-unconfirmed',
            self.state.rng.uniform(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S),
        )
