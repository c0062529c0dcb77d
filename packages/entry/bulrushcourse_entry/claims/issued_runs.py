"""Runs of requests with keys that this process issued."""

import asyncio

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.claims import claim as claims
from bulrushcourse_domain.claims import issued_keys
from bulrushcourse_domain.claims import outcomes
from bulrushcourse_entry import events
from bulrushcourse_entry.claims import cleanup as claim_cleanup
from bulrushcourse_entry.claims import dispatch
from bulrushcourse_entry.claims import rows as claim_rows

INITIAL_COPY_RETRY_S = 0.5
MAX_COPY_RETRY_S = 4.0
COPY_TIMEOUT_S = 300.0

# Outcomes that wait to be copied during a store outage. Further outcomes are
# known only to this process.
MAX_PENDING_COPIES = 5_000


@attrs.define(eq=False)
class IssuedRuns:
    """Runs requests with issued keys and copies their outcomes to the store.

    This process's memory is authoritative for them, so no claim is written
    before a run.

    Attributes:
        keys: Keys of this incarnation.
        rows: Claims in the table.
        dispatcher: Acquires slots and sends requests.
        clock: Source of time.
        cleanup: Deletes expired rows.
        runs: Runs in progress by key.
        tasks: Tasks of runs and copies.
        uncopied_outcomes: Number of outcomes that were never copied.
        leaving: Whether no more runs are started.
    """

    keys: issued_keys.IssuedKeys
    rows: claim_rows.ClaimRows
    dispatcher: dispatch.Dispatcher
    clock: clocks.Clock
    cleanup: claim_cleanup.Cleanup
    runs: dict[str, dispatch.Run] = attrs.field(factory=dict)
    tasks: set[asyncio.Task] = attrs.field(factory=set)
    uncopied_outcomes: int = 0
    leaving: bool = False

    async def serve(self, request: dispatch.KeyedRequest) -> outcomes.Reply:
        """Run a request, or join its run in progress, and return the reply.

        Args:
            request: The request; its key has the format of issued keys.
        """
        check = self.keys.check_request(
            request.key, request.service, request.digest
        )
        if check is issued_keys.KeyCheck.FIRST and self.leaving:
            reply = outcomes.Reply(outcomes.Outcome.NOT_RUN, 'leaving')
            self.keys.finish(request.key, reply)
            return reply
        if check is issued_keys.KeyCheck.FIRST:
            self._start(request)
        elif check is issued_keys.KeyCheck.FINAL:
            return self.keys.reply(request.key)
        elif check is not issued_keys.KeyCheck.RUNNING:
            return self.decline(check)
        remaining_s = request.deadline - self.clock.monotonic()
        return await self.runs[request.key].wait(remaining_s)

    def decline(self, check: issued_keys.KeyCheck) -> outcomes.Reply:
        """Return the reply to a request that is not run.

        Args:
            check: Result of the key's check, which is the reason.
        """
        return outcomes.Reply(outcomes.Outcome.UNKNOWN, check.value)

    def _start(self, request: dispatch.KeyedRequest) -> None:
        run = dispatch.Run(request.digest)
        self.runs[request.key] = run
        task = asyncio.create_task(self._run(request, run))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run(
        self, request: dispatch.KeyedRequest, run: dispatch.Run
    ) -> None:
        reply = outcomes.Reply(outcomes.Outcome.UNKNOWN, 'lost')
        try:
            reply = await self._execute(request)
        finally:
            self.keys.finish(request.key, reply)
            run.resolve(reply)
            del self.runs[request.key]
        if reply.outcome is not outcomes.Outcome.UNKNOWN:
            await self._copy(request, reply)

    async def _execute(self, request: dispatch.KeyedRequest) -> outcomes.Reply:
        slot = await self.dispatcher.acquire(request, 0, ())
        if slot is None:
            return outcomes.Reply(outcomes.Outcome.NOT_RUN, 'refused')
        dispatched = await dispatch.dispatch_with_retries(
            self.dispatcher, self.clock, request, slot
        )
        outcome = outcomes.attempt_outcome(dispatched.result)
        if outcome is outcomes.Outcome.DONE:
            return outcomes.Reply(outcome, answer=dispatched.answer)
        return outcomes.Reply(outcome, dispatched.result.value)

    async def _copy(
        self, request: dispatch.KeyedRequest, reply: outcomes.Reply
    ) -> None:
        """Copy an outcome to the table, so that it survives this process."""
        if len(self.tasks) > MAX_PENDING_COPIES:
            self._record_uncopied(request)
            return
        key = claim_rows.row_key(*request.identity)
        attempt = self.keys.incarnation
        now = self.clock.wall().timestamp()
        copy = claims.open_claim(attempt, request.digest, now).finish(
            attempt, reply.outcome, now, reply.answer
        )
        limit = self.clock.monotonic() + COPY_TIMEOUT_S
        delay = INITIAL_COPY_RETRY_S
        while self.clock.monotonic() < limit:
            stored = await self.rows.write(key, copy, 0, urgent=False)
            if stored is not outcomes.StoreWriteResult.UNKNOWN:
                # Only this process writes the rows of these keys, so a
                # conflict is an earlier write whose response was lost.
                self.cleanup.add(key, copy)
                return
            await asyncio.sleep(delay)
            delay = min(2 * delay, MAX_COPY_RETRY_S)
        self._record_uncopied(request)

    def _record_uncopied(self, request: dispatch.KeyedRequest) -> None:
        self.uncopied_outcomes += 1
        events.emit(events.Event.OUTCOME_NOT_COPIED, service=request.service)
