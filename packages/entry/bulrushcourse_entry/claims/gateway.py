"""Handling of keyed requests by the kind and the issuer of the key."""

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
    """Forwards requests to the entries that issued their keys."""

    async def forward(
        self,
        key: keys.IssuedKey,
        request: dispatch.KeyedRequest,
        ask_only: bool,
    ) -> outcomes.Reply | None:
        """Return the issuer's reply, ``None`` if it is unreachable."""
        ...


@attrs.define(eq=False)
class Gateway:
    """Serves requests with an idempotency key.

    Attributes:
        free_form: Runs requests with free-form keys.
        issued: Runs requests with keys that this incarnation issued.
        issuers: Forwards requests with other issued keys.
        rows: Claims in the table.
    """

    free_form: free_form.FreeFormRuns
    issued: issued_runs.IssuedRuns
    issuers: Issuers
    rows: claim_rows.ClaimRows

    async def serve(self, request: dispatch.KeyedRequest) -> outcomes.Reply:
        """Run a request at most once and return the reply to its caller.

        Args:
            request: The request.
        """
        if not keys.has_issued_format(request.key):
            return await self.free_form.serve(request)
        return await self._serve_issued(request, ask_only=False)

    async def find_outcome(
        self, request: dispatch.KeyedRequest
    ) -> outcomes.Reply:
        """Return the known outcome of a key's request without running it.

        Args:
            request: Service and key; its other fields are not used.
        """
        if keys.has_issued_format(request.key):
            return await self._serve_issued(request, ask_only=True)
        run = self.free_form.runs.get(request.identity)
        if run is not None:
            return await run.wait(0.0)
        return await self._stored_reply(request, 'no-claim', ask_only=True)

    async def serve_own(
        self, request: dispatch.KeyedRequest, ask_only: bool
    ) -> outcomes.Reply:
        """Serve a request whose key this incarnation issued.

        Args:
            request: The request, sent by a caller or forwarded.
            ask_only: Whether to return only the outcome, without a run.
        """
        if ask_only:
            return self.issued.keys.reply(request.key)
        return await self.issued.serve(request)

    async def drain(self) -> None:
        """Wait until all runs have ended and all outcomes are recorded."""
        while tasks := self.free_form.tasks | self.issued.tasks:
            await asyncio.wait(tasks)

    def dump(self) -> dict[str, typing.Any]:
        """Return counts for a state dump."""
        return {
            'free_form_tasks': len(self.free_form.tasks),
            'issued_tasks': len(self.issued.tasks),
            'keys_unused': len(self.issued.keys.unused),
            'keys_kept': len(self.issued.keys.records),
            'outcomes_not_copied': self.issued.uncopied_outcomes,
            'cleanup': self.free_form.cleanup.dump(),
            'writes': self.rows.writer.dump(),
        }

    async def _serve_issued(
        self, request: dispatch.KeyedRequest, ask_only: bool
    ) -> outcomes.Reply:
        key = keys.verify_key(self.issued.keys.secret, request.key)
        if key is None:
            return outcomes.Reply(outcomes.Outcome.UNKNOWN, 'invalid')
        if self.issued.keys.may_run(key):
            return await self.serve_own(request, ask_only)
        reply = await self.issuers.forward(key, request, ask_only)
        if reply is not None:
            return reply
        return await self._stored_reply(
            request, 'issuer-unreachable', ask_only
        )

    async def _stored_reply(
        self,
        request: dispatch.KeyedRequest,
        absent_reason: str,
        ask_only: bool,
    ) -> outcomes.Reply:
        """Return the reply that the row implies; no row proves nothing."""
        try:
            found = await self.rows.read(claim_rows.row_key(*request.identity))
        except claim_rows.RowUnreadable:
            return outcomes.Reply(outcomes.Outcome.UNKNOWN, 'store')
        if found is None:
            return outcomes.Reply(outcomes.Outcome.UNKNOWN, absent_reason)
        if not ask_only and _differs(found.claim, request):
            return outcomes.Reply(outcomes.Outcome.UNKNOWN, 'other-request')
        return await self.rows.load_answer(found.claim.reply())


def _differs(claim: claims.Claim, request: dispatch.KeyedRequest) -> bool:
    return claim.digest != request.digest
