"""Messages of a VM to the owners of tokens, and what their answers change."""

import typing

import attrs

from bulrushcourse_domain.quotas import token_stock
from bulrushcourse_entry.edge import process_state
from bulrushcourse_wire import quota_messages

# Bound on the tokens that are asked for at once, for one account.
MAX_NEEDED = 2000


class Waiter(typing.Protocol):
    """A request that waits for a token, such as a future."""

    def done(self) -> bool:
        """Return whether it no longer waits."""
        ...

    def set_result(self, result: token_stock.Token | None) -> None:
        """Let it go on.

        Args:
            result: Its token, ``None`` if there is none.
        """
        ...


# Requests that wait for a token, by the name of their account.
Waiting = dict[str, list[Waiter]]


@attrs.define(eq=False)
class TokenExchange:
    """Builds messages to owners and applies their answers.

    Attributes:
        state: The process state.
    """

    state: process_state.ProcessState

    def message(self, owner: str, waiting: Waiting) -> quota_messages.Ask:
        """Return the message that asks an owner for tokens.

        Args:
            owner: Name of the owner.
            waiting: Requests that wait.
        """
        now = self.state.clock.monotonic()
        wanted = []
        for account, futures in waiting.items():
            stock = self.state.holdings.of(account).stock
            needed = sum(not future.done() for future in futures)
            wanted.append(
                quota_messages.Wanted(
                    account,
                    min(MAX_NEEDED, needed),
                    stock.prefetch_count(now),
                )
            )
        returned = self.state.holdings.returns.take(owner)
        return quota_messages.Ask(
            tuple(wanted),
            tuple(quota_messages.Returned(*fields) for fields in returned),
        )

    def owners_to_tell(self) -> list[str]:
        """Return the owners to which tokens are to be returned.

        Tokens of owners that are not alive are forgotten.
        """
        vms = self.state.fleet
        by_owner = self.state.holdings.returns.by_owner
        for owner in list(by_owner):
            if owner != vms.local_vm.name and not vms.is_alive(owner):
                del by_owner[owner]
        return list(by_owner)

    def apply(
        self,
        owner: str,
        place: str,
        asked: Waiting,
        answer: typing.Iterable[quota_messages.Granted],
        sent_at: float,
    ) -> None:
        """Hand out the tokens that an owner granted, in order of arrival.

        They expire from ``sent_at``, so that neither a slow link nor the
        suspension of this VM extends their use.

        Args:
            owner: Name of the owner.
            place: Place for which it grants.
            asked: Requests that the message asked for.
            answer: Its answer.
            sent_at: Time when the message was sent, monotonic seconds.
        """
        now = self.state.clock.monotonic()
        for granted in answer:
            futures = asked.pop(granted.account, None)
            if futures is None:
                continue
            holding = self.state.holdings.of(granted.account)
            if granted.count is None:
                holding.places.record_unknown(place, now)
            elif granted.count < len(futures):
                holding.places.record_dry(place, granted.wait_ms / 1000, now)
            else:
                holding.places.record_granted(place)
            if granted.count:
                lifetime_s = granted.lifetime_ms / 1000
                holding.stock.lifetime_s = lifetime_s
                token = token_stock.Token(
                    owner, granted.slot, sent_at + lifetime_s
                )
                holding.stock.add(token, granted.count)
            for future in futures:
                if not future.done():
                    future.set_result(holding.stock.take(now))
        self.fail(place, asked)

    def fail(self, place: str, waiting: Waiting) -> None:
        """Let requests go on without a token from a place.

        Args:
            place: The place.
            waiting: The requests, which are removed.
        """
        now = self.state.clock.monotonic()
        for account, futures in waiting.items():
            holding = self.state.holdings.of(account)
            holding.places.record_unknown(place, now)
            for future in futures:
                if not future.done():
                    future.set_result(None)
        waiting.clear()
