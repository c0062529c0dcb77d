"""How the parts that run requests at most once fit together."""

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
    """The parts of one entry that run requests at most once.

    Attributes:
        gateway: Serves requests with a key.
        forwarded: Answers other entries about keys issued here.
        issuers: Asks other entries about their keys.
        sweep: Deletes rows of stopped processes.
    """

    gateway: claim_gateway.Gateway
    forwarded: exchanges.ForwardedKeys
    issuers: exchanges.PeerIssuers
    sweep: claim_sweep.Sweep

    def configure(
        self, configuration: configuration_set.ConfigurationSet
    ) -> None:
        """Take the number of entries from a configuration.

        Args:
            configuration: The configuration that is now in force.
        """
        entries = len(configuration.objects.entries)
        self.gateway.rows.writer.set_entries(entries)

    def start(self) -> tuple[asyncio.Task, ...]:
        """Follow the peers and return the tasks that run until cancelled."""
        self.issuers.start()
        self.forwarded.start()
        return (
            asyncio.create_task(self.gateway.rows.writer.run()),
            asyncio.create_task(self.gateway.free.cleanup.run()),
            asyncio.create_task(self.sweep.run()),
        )

    async def drain(self) -> None:
        """Wait until all runs are over, recorded and answered."""
        await self.gateway.drain()
        while tasks := self.forwarded.tasks:
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
    """Return the parts, not yet started.

    Args:
        hub: Streams to peers, and who this entry is.
        clock: Source of time.
        table: The platform's table service.
        objects: The platform's object store.
        forwarder: Asks for slots and sends requests.
        configuration: Configuration in force.
    """
    rows = claim_rows.ClaimRows(
        table, objects, claim_writer.BatchWriter(table, clock)
    )
    cleanup = claim_cleanup.Cleanup(rows, clock)
    dispatcher = upstream.ForwarderDispatcher(forwarder)
    free = free_form.FreeFormRuns(
        rows, dispatcher, clock, cleanup, lambda: uuid.uuid4().hex
    )
    who = hub.identity
    keys = issued_keys.IssuedKeys(
        who.entry, who.incarnation, who.secret, clock
    )
    own = issued_runs.IssuedRuns(keys, rows, dispatcher, clock, cleanup)
    issuers = exchanges.PeerIssuers(hub, clock)
    gateway = claim_gateway.Gateway(free, own, issuers, rows)
    forwarded = exchanges.ForwardedKeys(hub, gateway, configuration, clock)
    sweep = claim_sweep.Sweep(rows, table, clock, random.Random())
    return ClaimsParts(gateway, forwarded, issuers, sweep)
