"""Admission of requests within quotas, by tokens from the owners."""

import asyncio
import typing

import attrs

from bulrushcourse_domain import rendezvous
from bulrushcourse_domain.accounts import account as accounts
from bulrushcourse_domain.quotas import holdings
from bulrushcourse_domain.quotas import place_states
from bulrushcourse_domain.quotas import shares
from bulrushcourse_domain.quotas import token_stock
from bulrushcourse_entry import events
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.accounts import token_streams
from bulrushcourse_entry.edge.callers import outcomes
from bulrushcourse_entry.edge.reporting import event_log as event_logs

# Longest time that a request waits for a token. It covers owners that do not
# answer, and the time after a restart of all VMs until they know each other.
MAX_WAIT_S = 2.0
OBSERVATION_INTERVAL_S = 0.2
# Largest delay of a request that was refused because no owner could tell.
UNKNOWN_RETRY_S = 0.5
OVER_QUOTA = 'over-quota'
UNKNOWN = 'quota-unknown'
ADMITTED = 'admitted'


@attrs.define(eq=False)
class TokenAdmission:
    """Admits each request of an account with a token of its own.

    Attributes:
        state: The process state.
        event_log: Log.
        streams: Asks the owners for tokens.
        record: Counts a request by account and result.
    """

    state: process_state.ProcessState
    event_log: event_logs.EventLog
    streams: token_streams.TokenStreams
    record: typing.Callable[[str, str], None]

    async def run(self) -> None:
        """Observe the fleet while there are quotas, until cancelled."""
        state = self.state
        while True:
            if state.routes.accounts.has_quotas:
                state.token_ledger.ownership.observe()
                state.holdings.expire()
                self.streams.send_returns()
            await asyncio.sleep(OBSERVATION_INTERVAL_S)

    async def admit(
        self, account: accounts.ClientAccount, deadline: float
    ) -> outcomes.Refusal | token_stock.Token:
        """Return a token for a request, or why it is refused.

        Args:
            account: The account, which has a quota.
            deadline: Time after which a response is useless, monotonic
                seconds.
        """
        now = self.state.clock.monotonic()
        holding = self.state.holdings.of(account.name)
        holding.stock.record_request(now)
        result = holding.stock.take(now)
        if result is None:
            places = self.places(account)
            result = await self._ask(account, holding, places, deadline - now)
            if result is None:
                result = self.refuse(account, holding, places, now)
        if isinstance(result, outcomes.Refusal):
            holding.refused += 1
            self.record(account.name, result.reason)
        else:
            holding.admitted += 1
            self.record(account.name, ADMITTED)
        return result

    def give_back(
        self, account: accounts.ClientAccount, token: token_stock.Token
    ) -> None:
        """Return the token of a request that certainly has not run.

        Args:
            account: The account.
            token: The token.
        """
        stock = self.state.holdings.of(account.name).stock
        stock.give_back(token, self.state.clock.monotonic())

    def places(self, account: accounts.ClientAccount) -> tuple[str, ...]:
        """Return the places that grant the account's shares, nearest first.

        Args:
            account: The account.
        """
        ownership = self.state.token_ledger.ownership
        share = shares.divide(
            self.state.settings.bounds.quota_terms,
            account.quota,
            len(ownership.places),
        )
        places = ownership.places_of(account.name, share.places)
        local = ownership.local_place
        # VMs of one place prefer different ones of the others, so that a hot
        # account empties them evenly.
        others = rendezvous.rank(
            f'{self.state.settings.vm}/{account.name}',
            (place for place in places if place != local),
        )
        return (local, *others) if local in places else others

    async def _ask(
        self,
        account: accounts.ClientAccount,
        holding: holdings.Holding,
        places: tuple[str, ...],
        allowed_s: float,
    ) -> token_stock.Token | None:
        """Ask for a token, again and again while no place can tell."""
        clock = self.state.clock
        try:
            async with asyncio.timeout(min(allowed_s, MAX_WAIT_S)):
                while True:
                    started = clock.monotonic()
                    token = await self._ask_once(account, holding, places)
                    if token is not None:
                        return token
                    if not holding.places.is_unknown(places, started):
                        return None
                    await asyncio.sleep(place_states.UNKNOWN_S)
        except TimeoutError:
            return None

    async def _ask_once(
        self,
        account: accounts.ClientAccount,
        holding: holdings.Holding,
        places: tuple[str, ...],
    ) -> token_stock.Token | None:
        """Ask the places in turn until one grants a token."""
        clock = self.state.clock
        asked: set[str] = set()
        while True:
            usable = holding.places.usable(places, clock.monotonic())
            place = next((p for p in usable if p not in asked), None)
            if place is None:
                return None
            asked.add(place)
            token = await self.streams.ask(place, account.name)
            now = clock.monotonic()
            if token is not None and token.expires_at <= now:
                holding.stock.give_back(token, now)
                token = None
            token = token or holding.stock.take(now)
            if token is not None:
                return token

    def refuse(
        self,
        account: accounts.ClientAccount,
        holding: holdings.Holding,
        places: tuple[str, ...],
        arrived: float,
    ) -> outcomes.Refusal:
        """Return why a request is refused for which no place had a token.

        Args:
            account: The account.
            holding: What this VM holds of the account.
            places: Places that grant its shares.
            arrived: Time of its arrival, monotonic seconds.
        """
        state = self.state
        now = state.clock.monotonic()
        if not holding.places.is_over_quota(places, arrived):
            return outcomes.Refusal(
                UNKNOWN, state.rng.uniform(0.1, UNKNOWN_RETRY_S)
            )
        if holding.should_report(now):
            self.event_log.log_change(
                events.Event.QUOTA_EXCEEDED,
                account=account.name,
                rate_per_s=account.quota.rate_per_s,
                refused=holding.refused + 1,
            )
        return outcomes.Refusal(
            OVER_QUOTA,
            holding.places.retry_after_s(places, now, state.rng),
            over_quota=True,
        )
