"""Replication of the quarantine to all entries and the table."""

import asyncio
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.quarantine import losses
from bulrushcourse_domain.quarantine import quarantine as quarantines
from bulrushcourse_entry.peers import hub as peer_hub
from bulrushcourse_entry.platform import table as platform_table
from bulrushcourse_wire import slot_messages

MAX_WRITE_ATTEMPTS = 3
EXPIRY_INTERVAL_S = 30.0


def to_message(update: losses.LossUpdate) -> typing.Any:
    """Return the wire message for a loss update.

    Args:
        update: A loss or the clearance of losses.
    """
    if isinstance(update, losses.Loss):
        return slot_messages.UpstreamLoss(**attrs.asdict(update))
    return slot_messages.UpstreamLossCleared(
        update.fingerprint, tuple(sorted(update.loss_ids)), update.expires
    )


@attrs.define(eq=False)
class SharedQuarantine:
    """Replicates the quarantine between all entries.

    Attributes:
        clock: Source of time.
        hub: Streams to peers.
        table: The platform's table service.
        quarantine: Losses by fingerprint, and which requests may run.
        tasks: Running writes and the expiry task.
    """

    clock: clocks.Clock
    hub: peer_hub.PeerHub
    table: platform_table.Table
    quarantine: quarantines.Quarantine = attrs.field(
        default=attrs.Factory(
            lambda self: quarantines.Quarantine(self.clock), takes_self=True
        )
    )
    tasks: set[asyncio.Task] = attrs.field(factory=set)

    def start(self) -> None:
        """Subscribe to the updates of peers and start the expiry task."""
        self.hub.received.subscribe(self._on_message)
        self.hub.changes.subscribe(self._on_connection_change)
        self._spawn(self._remove_expired())

    async def stop(self) -> None:
        """Cancel all tasks and wait for them."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def publish(self, update: losses.LossUpdate) -> None:
        """Send an update to all peers and write it to the table.

        Args:
            update: A loss or a clearance that this entry found.
        """
        self.hub.broadcast(to_message(update))
        self._spawn(self._write(update.fingerprint))

    def dump(self) -> dict[str, typing.Any]:
        """Return the counted losses by fingerprint for a state dump."""
        return {
            fingerprint: [
                {'instance': loss.instance, 'repeatable': loss.repeatable}
                for loss in self.quarantine.counted_losses(fingerprint)
            ]
            for fingerprint in self.quarantine.losses_by_fingerprint
        }

    def _spawn(self, coroutine: typing.Coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _remove_expired(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self.quarantine.remove_expired()

    async def _write(self, fingerprint: str) -> None:
        """Merge this entry's losses of a request into its row and write it."""
        key = f'quarantine/{fingerprint}'
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                row = await self.table.get(key)
            except platform_table.TableUnavailable:
                return
            for fields in row.value['losses'] if row else ():
                self.quarantine.merge(losses.Loss(**fields))
            value = {
                'losses': [
                    attrs.asdict(loss)
                    for loss in self.quarantine.counted_losses(fingerprint)
                ]
            }
            write = platform_table.Write(key, value, row.version if row else 0)
            result = await self.table.transact([write])
            if result is not platform_table.WriteResult.CONFLICT:
                return

    def _on_message(self, received: peer_hub.ReceivedMessage) -> None:
        message = received.message
        if isinstance(message, slot_messages.UpstreamLoss):
            self.quarantine.merge(losses.Loss(**attrs.asdict(message)))
        elif isinstance(message, slot_messages.UpstreamLossCleared):
            self.quarantine.merge(
                losses.LossClearance(
                    message.fingerprint,
                    frozenset(message.loss_ids),
                    message.expires,
                )
            )

    def _on_connection_change(
        self, change: peer_hub.PeerConnectionChange
    ) -> None:
        if not change.connected:
            return
        for fingerprint in self.quarantine.losses_by_fingerprint:
            for loss in self.quarantine.counted_losses(fingerprint):
                self.hub.send(change.peer, to_message(loss))
