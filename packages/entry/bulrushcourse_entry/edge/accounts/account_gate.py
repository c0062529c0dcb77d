"""The checks that a request of a client account passes."""

import typing

import attrs

from bulrushcourse_domain.accounts import account as accounts
from bulrushcourse_domain.quotas import token_stock
from bulrushcourse_entry.edge.callers import caller_request
from bulrushcourse_entry.edge.callers import outcomes


class KeyPermission(typing.Protocol):
    """Whether this VM may serve keys, which may have been withdrawn."""

    def may_serve(self) -> bool:
        """Return whether the active configuration is recent enough."""
        ...

    def retry_after_s(self) -> float:
        """Return the Retry-After delay of a refused caller, in seconds."""
        ...


class QuotaAdmission(typing.Protocol):
    """Admission of requests within the quota of their account."""

    async def admit(
        self, account: accounts.ClientAccount, deadline: float
    ) -> outcomes.Refusal | token_stock.Token | None:
        """Admit one request, or return why it is refused.

        Args:
            account: The account, which has a quota.
            deadline: Time after which a response is useless, monotonic
                seconds.

        Returns:
            The token with which the request is admitted, ``None`` if it needs
            none, or the refusal.
        """
        ...

    def give_back(
        self, account: accounts.ClientAccount, token: token_stock.Token
    ) -> None:
        """Return the token of a request that certainly has not run.

        Args:
            account: The account.
            token: The token.
        """
        ...


@attrs.frozen
class UnlimitedKeys:
    """Key permission where withdrawn keys need not be noticed in time."""

    def may_serve(self) -> bool:
        """Return that keys may be served."""
        return True

    def retry_after_s(self) -> float:
        """Return no delay."""
        return 0.0


@attrs.frozen
class UnlimitedQuota:
    """Quota admission where no quota is enforced."""

    async def admit(
        self, account: accounts.ClientAccount, deadline: float
    ) -> outcomes.Refusal | token_stock.Token | None:
        """Admit every request.

        Args:
            account: The account.
            deadline: Its deadline.
        """
        return None

    def give_back(
        self, account: accounts.ClientAccount, token: token_stock.Token
    ) -> None:
        """Do nothing.

        Args:
            account: The account.
            token: Its token.
        """


@attrs.define(eq=False)
class AccountGate:
    """Admits requests of accounts by key permission and quota.

    Requests without an account pass.

    Attributes:
        keys: Whether keys may be served.
        quotas: Admission within quotas.
    """

    keys: KeyPermission = UnlimitedKeys()
    quotas: QuotaAdmission = UnlimitedQuota()

    async def admit(
        self, account: accounts.ClientAccount | None, deadline: float
    ) -> outcomes.Refusal | token_stock.Token | None:
        """Admit a request that has arrived, or return why it is refused.

        Args:
            account: Account of the request, ``None`` if it has none.
            deadline: Its deadline, monotonic seconds.

        Returns:
            The token of its account's quota, ``None`` if it needs none, or
            the refusal.
        """
        if account is None:
            return None
        if not self.keys.may_serve():
            return self._outdated()
        if account.quota is None:
            return None
        return await self.quotas.admit(account, deadline)

    def recheck(
        self, request: caller_request.CallerRequest
    ) -> outcomes.Refusal | None:
        """Check a request again before it is sent to an upstream.

        Its key may have been withdrawn while it waited.

        Args:
            request: The request.
        """
        if request.identity.account is None or self.keys.may_serve():
            return None
        return self._outdated()

    def settle(
        self,
        request: caller_request.CallerRequest,
        outcome: outcomes.Outcome | None,
    ) -> None:
        """Return the token of a request that has not run.

        Args:
            request: The request.
            outcome: Outcome of the request, ``None`` if it was refused before
                it was executed.
        """
        account = request.identity.account
        if account is None or request.token is None:
            return
        if outcome is None or isinstance(outcome, outcomes.Refusal):
            self.quotas.give_back(account, request.token)

    def _outdated(self) -> outcomes.Refusal:
        return outcomes.Refusal(
            'keys-outdated', self.keys.retry_after_s() or 1.0
        )
