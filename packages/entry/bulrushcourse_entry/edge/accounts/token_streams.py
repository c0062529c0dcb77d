"""VM side of the quotas: one task for the stream to each owner of tokens."""

import asyncio

import attrs

from bulrushcourse_domain.fleet import fleet
from bulrushcourse_domain.quotas import token_stock
from bulrushcourse_entry import events
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.accounts import token_exchange
from bulrushcourse_entry.edge.accounts import token_granter
from bulrushcourse_entry.edge.fleet import framing
from bulrushcourse_entry.edge.reporting import event_log as event_logs
from bulrushcourse_wire import quota_messages

# Time for an answer, and for a connection. An answer takes a few tens of
# milliseconds between regions; requests wait for it.
ANSWER_TIMEOUT_S = 0.4
# An owner that did not answer is not asked for this long.
UNAVAILABLE_S = 1.0
# A stream without requests is closed.
IDLE_S = 15.0


@attrs.define(eq=False)
class OwnerStream:
    """The stream to one owner.

    Attributes:
        vm: The owner.
        place: Place for which it grants.
        waiting: Requests that the next message asks for.
        asked: Requests that the last message asked for.
        wake: Set when a request waits.
        task: Task that sends the messages.
    """

    vm: fleet.Vm
    place: str
    waiting: token_exchange.Waiting = attrs.field(factory=dict)
    asked: token_exchange.Waiting = attrs.field(factory=dict)
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    task: asyncio.Task[None] | None = None


@attrs.define(eq=False)
class TokenStreams:
    """Asks the owners of accounts for tokens.

    While a message is under way, further requests are collected for the next
    one, so that the number of messages is limited by the round-trip time.

    Attributes:
        state: The process state.
        event_log: Log.
        granter: Grants the tokens that this VM owns.
        exchange: Builds the messages and applies the answers.
        streams: Streams by the name of the owner.
        unavailable_until: Time until which an owner that did not answer is
            not asked, by name.
    """

    state: process_state.ProcessState
    event_log: event_logs.EventLog
    granter: token_granter.TokenGranter
    exchange: token_exchange.TokenExchange
    streams: dict[str, OwnerStream] = attrs.field(factory=dict)
    unavailable_until: dict[str, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Subscribe to removed VMs."""
        self.state.removed_vms.subscribe(
            lambda name: self.unavailable_until.pop(name, None)
        )

    async def ask(self, place: str, account: str) -> token_stock.Token | None:
        """Return a token from the owner in a place, or ``None``.

        What the owner answered is recorded in the account's holding.

        Args:
            place: The place.
            account: Name of the account.
        """
        owner = self.state.token_ledger.ownership.owner(place, account)
        now = self.state.clock.monotonic()
        future = asyncio.get_running_loop().create_future()
        if owner == self.state.settings.vm:
            waiting = {account: [future]}
            answer = self.granter.answer(self.exchange.message(owner, waiting))
            self.exchange.apply(owner, place, waiting, answer, now)
        elif owner and self.unavailable_until.get(owner, now) <= now:
            stream = self._stream(place, self.state.fleet.peers[owner])
            stream.waiting.setdefault(account, []).append(future)
            stream.wake.set()
        else:
            self.state.holdings.of(account).places.record_unknown(place, now)
            return None
        try:
            return await future
        except asyncio.CancelledError:
            self._give_back(account, future)
            raise

    def _give_back(
        self, account: str, future: asyncio.Future[token_stock.Token | None]
    ) -> None:
        """Return a token to the stock whose request ended as it came."""
        if future.cancelled() or not future.done():
            return
        token = future.result()
        if token is not None:
            self.state.holdings.of(account).stock.give_back(
                token, self.state.clock.monotonic()
            )

    def send_returns(self) -> None:
        """Return unused tokens to their owners."""
        ownership = self.state.token_ledger.ownership
        now = self.state.clock.monotonic()
        for owner in self.exchange.owners_to_tell():
            if owner == self.state.settings.vm:
                self.granter.answer(self.exchange.message(owner, {}))
                continue
            if self.unavailable_until.get(owner, now) <= now:
                vm = self.state.fleet.peers[owner]
                self._stream(ownership.place_of(vm), vm).wake.set()

    async def close(self) -> None:
        """Close all streams."""
        tasks = [stream.task for stream in self.streams.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _stream(self, place: str, vm: fleet.Vm) -> OwnerStream:
        stream = self.streams.get(vm.name)
        if stream is None or stream.vm != vm:
            if stream is not None:
                stream.task.cancel()
            stream = OwnerStream(vm, place)
            self.streams[vm.name] = stream
            stream.task = asyncio.create_task(self._run(stream))
        return stream

    async def _run(self, stream: OwnerStream) -> None:
        """Send messages to an owner until it fails or nothing is asked."""
        owner = stream.vm.name
        try:
            await self._exchange(stream)
        except Exception as error:
            # The owner stopped, was cut off, or its answer is no answer.
            now = self.state.clock.monotonic()
            self.unavailable_until[owner] = now + UNAVAILABLE_S
            self.event_log.log_change(
                events.Event.QUOTA_OWNER_LOST, vm=owner, reason=repr(error)
            )
        finally:
            if self.streams.get(owner) is stream:
                del self.streams[owner]
            self.exchange.fail(stream.place, stream.asked)
            self.exchange.fail(stream.place, stream.waiting)

    async def _exchange(self, stream: OwnerStream) -> None:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            reader, writer = await framing.connect(stream.vm.peer_address)
        try:
            framing.write_frame(writer, quota_messages.STREAM_PREFACE)
            while await _is_set(stream.wake):
                stream.wake.clear()
                stream.asked, stream.waiting = stream.waiting, {}
                sent_at = self.state.clock.monotonic()
                message = self.exchange.message(stream.vm.name, stream.asked)
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    framing.write_frame(
                        writer, quota_messages.encode_ask(message)
                    )
                    await writer.drain()
                    content = await framing.read_frame(
                        reader,
                        quota_messages.MAX_MESSAGE_BYTES,
                        self.state.memory,
                    )
                asked, stream.asked = stream.asked, {}
                answer = quota_messages.decode_answer(content)
                self.exchange.apply(
                    stream.vm.name, stream.place, asked, answer, sent_at
                )
        finally:
            writer.close()


async def _is_set(wake: asyncio.Event) -> bool:
    """Return whether an event is set before a stream counts as idle."""
    try:
        async with asyncio.timeout(IDLE_S):
            await wake.wait()
    except TimeoutError:
        return False
    return True
