"""Construction of the components that run requests at most once."""

import asyncio
import random
import typing
import uuid

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.claims import issued_keys
from bulrushcourse_domain.configuration import active_configuration
from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_entry.callers import forwarding
from bulrushcourse_entry.claims import cleanup as claim_cleanup
from bulrushcourse_entry.claims import exchanges
from bulrushcourse_entry.claims import free_form
from bulrushcourse_entry.claims import gateway as claim_gateway
from bulrushcourse_entry.claims import issued_runs
from bulrushcourse_entry.claims import rows as claim_rows
from bulrushcourse_entry.claims import sweep as claim_sweep
from bulrushcourse_entry.claims import upstream
from bulrushcourse_entry.claims import writer as claim_writer
from bulrushcourse_entry.peers import hub as peer_hub
from bulrushcourse_entry.platform import objects as platform_objects
from bulrushcourse_entry.platform import table as platform_table


@attrs.define(eq=False)
class ClaimsParts:
    """Components of one entry that run requests at most once.

    Attributes:
        gateway: Serves requests with an idempotency key.
        forwarded_keys: Serves requests that other entries forward because
            their keys were issued here.
        issuers: Forwards requests to the entries that issued their keys.
        sweep: Deletes the rows of stopped processes.
    """

    gateway: claim_gateway.Gateway
    forwarded_keys: exchanges.ForwardedKeys
    issuers: exchanges.PeerIssuers
    sweep: claim_sweep.Sweep

    def configure(
        self, configuration: configuration_set.ConfigurationSet
    ) -> None:
        """Apply the number of entries of a configuration.

        Args:
            configuration: The configuration that was just activated.
        """
        entries = len(configuration.objects.entries)
        self.gateway.rows.writer.set_entry_count(entries)

    def start(self) -> tuple[asyncio.Task, ...]:
        """Subscribe to peer messages and start the background tasks.

        Returns:
            The tasks, which run until they are cancelled.
        """
        self.issuers.start()
        self.forwarded_keys.start()
        return (
            asyncio.create_task(self.gateway.rows.writer.run()),
            asyncio.create_task(self.gateway.free_form.cleanup.run()),
            asyncio.create_task(self.sweep.run()),
        )

    async def drain(self) -> None:
        """Wait until all runs have ended and are recorded and answered.

        Peers still forward requests, whose runs would be cut off.
        """
        self.gateway.issued.leaving = True
        await self.gateway.drain()
        while tasks := self.forwarded_keys.tasks:
            await asyncio.wait(tasks)

    def dump(self) -> dict[str, typing.Any]:
        """Return counts for a state dump."""
        return self.gateway.dump()


def build_claims(
    hub: peer_hub.PeerHub,
    clock: clocks.Clock,
    table: platform_table.HttpTable,
    objects: platform_objects.ObjectStore,
    forwarder: forwarding.Forwarder,
    configuration: active_configuration.ActiveConfiguration,
) -> ClaimsParts:
    """Return the components, not yet started.

    Args:
        hub: Streams to peers, and the identity of this entry.
        clock: Source of time.
        table: The platform's table service.
        objects: The platform's object store.
        forwarder: Acquires slots and sends requests.
        configuration: Holder of the active configuration.
    """
    rows = claim_rows.ClaimRows(
        table, objects, claim_writer.BatchWriter(table, clock)
    )
    cleanup = claim_cleanup.Cleanup(rows, clock)
    dispatcher = upstream.ForwarderDispatcher(forwarder)
    free = free_form.FreeFormRuns(
        rows, dispatcher, clock, cleanup, lambda: uuid.uuid4().hex
    )
    identity = hub.identity
    keys = issued_keys.IssuedKeys(
        identity.entry, identity.incarnation, identity.secret, clock
    )
    issued = issued_runs.IssuedRuns(keys, rows, dispatcher, clock, cleanup)
    issuers = exchanges.PeerIssuers(hub, clock)
    gateway = claim_gateway.Gateway(free, issued, issuers, rows)
    forwarded = exchanges.ForwardedKeys(hub, gateway, configuration, clock)
    sweep = claim_sweep.Sweep(rows, table, clock, random.Random())
    return ClaimsParts(gateway, forwarded, issuers, sweep)
