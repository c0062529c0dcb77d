"""Owner side of the quotas: answers the requests of VMs for tokens."""

import asyncio
import math

import attrs

from bulrushcourse_domain.accounts import account as accounts
from bulrushcourse_domain.quotas import bucket as grant_buckets
from bulrushcourse_domain.quotas import shares
from bulrushcourse_entry import events
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.fleet import framing
from bulrushcourse_entry.edge.reporting import event_log as event_logs
from bulrushcourse_wire import quota_messages

# Streams without requests are closed by the VM that opened them; this bound
# is for one that was cut off.
READ_TIMEOUT_S = 40.0
_MAX_WAIT_S = 60.0


@attrs.define(eq=False)
class TokenGranter:
    """Grants tokens of the accounts that this VM owns.

    Attributes:
        state: The process state.
        event_log: Log.
    """

    state: process_state.ProcessState
    event_log: event_logs.EventLog

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests on a stream until it ends.

        Args:
            reader: The stream, after its preface.
            writer: The same stream.
        """
        while True:
            async with asyncio.timeout(READ_TIMEOUT_S):
                content = await framing.read_frame(
                    reader,
                    quota_messages.MAX_MESSAGE_BYTES,
                    self.state.memory,
                )
            try:
                ask = quota_messages.decode_ask(content)
            except quota_messages.MalformedMessage as error:
                self.event_log.log_change(
                    events.Event.PEER_REFUSED, reason=str(error)
                )
                return
            answer = quota_messages.encode_answer(self.answer(ask))
            framing.write_frame(writer, answer)
            async with asyncio.timeout(framing.USER_TIMEOUT_MS / 1000):
                await writer.drain()
            # Neither waits while further requests are buffered.
            await asyncio.sleep(0)

    def answer(
        self, ask: quota_messages.Ask
    ) -> tuple[quota_messages.Granted, ...]:
        """Return the answer to a message.

        Args:
            ask: The message.
        """
        for returned in ask.returned:
            self.state.token_ledger.take_back(
                returned.account, returned.slot, returned.count
            )
        return tuple(self._grant(wanted) for wanted in ask.wanted)

    def _grant(self, wanted: quota_messages.Wanted) -> quota_messages.Granted:
        account = self.state.routes.accounts.by_name.get(wanted.account)
        grant = self._grant_tokens(account, wanted)
        if grant is None:
            return quota_messages.Granted(wanted.account, None)
        return quota_messages.Granted(
            wanted.account,
            grant.count,
            grant.slot,
            math.floor(grant.lifetime_s * 1000),
            math.ceil(min(_MAX_WAIT_S, grant.wait_s) * 1000),
        )

    def _grant_tokens(
        self,
        account: accounts.ClientAccount | None,
        wanted: quota_messages.Wanted,
    ) -> grant_buckets.Grant | None:
        if account is None:
            return None
        if account.quota is None:
            # The quota was removed or is not known here yet.
            return grant_buckets.Grant(
                wanted.needed, lifetime_s=shares.MIN_LIFETIME_S
            )
        return self.state.token_ledger.grant(
            account,
            self.state.settings.bounds.quota_terms,
            wanted.needed,
            wanted.extra,
        )
