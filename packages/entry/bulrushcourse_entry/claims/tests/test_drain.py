"""Guards against runs that begin while an entry waits for the last ones."""

import asyncio
import types

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.claims import issued_keys
from bulrushcourse_domain.claims import outcomes
from bulrushcourse_entry.claims import assembly
from bulrushcourse_entry.claims import dispatch
from bulrushcourse_entry.claims import gateway as claim_gateway
from bulrushcourse_entry.claims import issued_runs

NOT_RUN = outcomes.Outcome.NOT_RUN


class Dispatcher:
    """Stand-in that grants no slot, and only when the test allows it."""

    def __init__(self):
        self.may_decide = asyncio.Event()
        self.requested = []

    async def acquire(self, request, number, avoid):
        self.requested.append(request.key)
        await self.may_decide.wait()


class Rows:
    """Stand-in that writes every row."""

    async def write(self, key, claim, version, urgent):
        return outcomes.StoreWriteResult.COMMITTED


def build_claims(dispatcher):
    clock = clocks.ManualClock()
    issued = issued_runs.IssuedRuns(
        issued_keys.IssuedKeys('e', 'i', b's', clock),
        Rows(),
        dispatcher,
        clock,
        types.SimpleNamespace(add=lambda key, claim: None),
    )
    idle = types.SimpleNamespace(tasks=set())
    gateway = claim_gateway.Gateway(idle, issued, None, None)
    return assembly.ClaimsParts(gateway, idle, None, None)


def test_forwarded_request_starts_no_run_during_the_drain():
    """Guards against runs for peers' callers that the exit cuts off."""

    async def scenario():
        dispatcher = Dispatcher()
        claims = build_claims(dispatcher)
        gateway = claims.gateway
        running, late = gateway.issued.keys.issue('s', 2)

        async def forward(key):
            request = dispatch.KeyedRequest('s', key, 'd', 5.0)
            return await gateway.serve_own(request, ask_only=False)

        first = asyncio.create_task(forward(running))
        await asyncio.sleep(0)
        drain = asyncio.create_task(claims.drain())
        await asyncio.sleep(0)
        joined = asyncio.create_task(forward(running))
        refusal = outcomes.Reply(NOT_RUN, 'leaving')
        assert await asyncio.wait_for(forward(late), 1) == refusal
        assert await forward(late) == refusal
        dispatcher.may_decide.set()
        assert (
            await first == await joined == outcomes.Reply(NOT_RUN, 'refused')
        )
        await drain
        assert dispatcher.requested == [running]

    asyncio.run(scenario())
