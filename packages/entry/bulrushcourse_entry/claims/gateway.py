"""Which way a request with an idempotency key takes."""

import asyncio
import typing

import attrs

from bulrushcourse_domain.claims import claim as claims
from bulrushcourse_domain.claims import keys
from bulrushcourse_domain.claims import outcomes
from bulrushcourse_entry.claims import dispatch
from bulrushcourse_entry.claims import free_form
from bulrushcourse_entry.claims import issued_runs
from bulrushcourse_entry.claims import rows as claim_rows


class Issuers(typing.Protocol):
    """Reaches the entries that issued keys."""

    async def ask(
        self,
        key: keys.IssuedKey,
        request: dispatch.KeyedRequest,
        ask_only: bool,
    ) -> outcomes.Reply | None:
        """Return what the issuer says, ``None`` if it cannot be asked."""
        ...


@attrs.define(eq=False)
class Gateway:
    """Serves requests with an idempotency key.

    Attributes:
        free: Runs of free-form keys.
        issued: Runs of the keys of this incarnation.
        issuers: Reaches the issuers of other keys.
        rows: Claims in the table.
    """

    free: free_form.FreeFormRuns
    issued: issued_runs.IssuedRuns
    issuers: Issuers
    rows: claim_rows.ClaimRows

    async def serve(self, request: dispatch.KeyedRequest) -> outcomes.Reply:
        """Run a request at most once and return what to tell its caller.

        Args:
            request: The request.
        """
        if not keys.is_issued_form(request.key):
            return await self.free.serve(request)
        return await self._ask_issuer(request, ask_only=False)

    async def outcome(self, request: dispatch.KeyedRequest) -> outcomes.Reply:
        """Return what is known of a key without running it.

        Args:
            request: Names service and key.
        """
        if keys.is_issued_form(request.key):
            return await self._ask_issuer(request, ask_only=True)
        run = self.free.runs.get(request.identity)
        if run is not None:
            return await run.wait(0.0)
        return await self._stored(request, 'no-claim', ask_only=True)

    async def serve_own(
        self, request: dispatch.KeyedRequest, ask_only: bool
    ) -> outcomes.Reply:
        """Serve a request whose key this incarnation issued.

        Args:
            request: The request, sent by a caller or forwarded.
            ask_only: Whether only the outcome is asked for.
        """
        if ask_only:
            return self.issued.keys.reply(request.key)
        return await self.issued.serve(request)

    async def drain(self) -> None:
        """Wait until all runs are over and all outcomes are recorded."""
        while tasks := self.free.tasks | self.issued.tasks:
            await asyncio.wait(tasks)

    def dump(self) -> dict[str, typing.Any]:
        """Return counts for a state dump."""
        return {
            'free_form_tasks': len(self.free.tasks),
            'issued_tasks': len(self.issued.tasks),
            'keys_unused': len(self.issued.keys.unused),
            'keys_kept': len(self.issued.keys.records),
            'outcomes_not_copied': self.issued.not_copied,
            'cleanup': self.free.cleanup.dump(),
            'writes': self.rows.writer.dump(),
        }

    async def _ask_issuer(
        self, request: dispatch.KeyedRequest, ask_only: bool
    ) -> outcomes.Reply:
        key = keys.read_key(self.issued.keys.secret, request.key)
        if key is None:
            return outcomes.Reply(outcomes.Outcome.UNKNOWN, 'invalid')
        if self.issued.keys.may_run(key):
            return await self.serve_own(request, ask_only)
        reply = await self.issuers.ask(key, request, ask_only)
        if reply is not None:
            return reply
        return await self._stored(request, 'issuer-unreachable', ask_only)

    async def _stored(
        self, request: dispatch.KeyedRequest, absent: str, ask_only: bool
    ) -> outcomes.Reply:
        """Return what the row says; an absent row proves nothing."""
        try:
            found = await self.rows.read(claim_rows.row_key(*request.identity))
        except claim_rows.RowUnreadable:
            return outcomes.Reply(outcomes.Outcome.UNKNOWN, 'store')
        if found is None:
            return outcomes.Reply(outcomes.Outcome.UNKNOWN, absent)
        if not ask_only and _differs(found.claim, request):
            return outcomes.Reply(outcomes.Outcome.UNKNOWN, 'other-request')
        return await self.rows.whole(found.claim.reply())


def _differs(claim: claims.Claim, request: dispatch.KeyedRequest) -> bool:
    return claim.digest != request.digest
