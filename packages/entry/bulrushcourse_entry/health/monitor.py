"""Health checks that detect leaving instances.

Two entries of an instance's region poll its health endpoint, with one task
each. A change is sent to all peers immediately, so that the owner of the pool
stops granting the instance's slots.
"""

import asyncio
import json
import typing

import aiohttp
import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain import rendezvous
from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.routing import drains
from bulrushcourse_entry import bounded_answers
from bulrushcourse_entry import events
from bulrushcourse_entry.peers import hub as peer_hub
from bulrushcourse_wire import health_messages

HEALTH_INTERVAL_S = 1.0
HEALTH_TIMEOUT_S = 1.0
# Maximum size of the body of a health response.
MAX_HEALTH_BYTES = 64 << 10
REASSIGN_INTERVAL_S = 0.5
# Two, so that a change is detected in time while one of them is paused.
POLLERS_PER_INSTANCE = 2
DRAINING = 'draining'


class LeavingListener(typing.Protocol):
    """Listener for instances that are leaving or serving again."""

    def set_leaving(self, instance: str, leaving: bool) -> None:
        """Record that an instance is leaving or serving again."""
        ...


@attrs.define(eq=False)
class HealthMonitor:
    """Polls the health of the instances of this entry's region.

    Attributes:
        clock: Source of time.
        region: Region of this entry.
        session: HTTP session for health checks.
        hub: Streams to peers.
        leaving_listener: Notified of each change, found here or by a peer.
        listed_leaving: Returns the instances whose VMs are leaving according
            to the platform's list.
        region_entries: Returns the serving entries of the region, including
            this one.
        instances: The region's instances by name.
        tasks: Polling tasks by instance name.
        leaving: Instances that have reported that they are leaving, to this
            entry or a peer.
        drained: Instances that an active plan drains or whose VMs are leaving.
        configuration: The active configuration.
    """

    clock: clocks.Clock
    region: str
    session: aiohttp.ClientSession
    hub: peer_hub.PeerHub
    leaving_listener: LeavingListener
    listed_leaving: typing.Callable[[], frozenset[str]]
    region_entries: typing.Callable[[], typing.Iterable[str]]
    instances: dict[str, objects.Instance] = attrs.field(factory=dict)
    tasks: dict[str, asyncio.Task] = attrs.field(factory=dict)
    leaving: set[str] = attrs.field(factory=set)
    drained: frozenset[str] = frozenset()
    configuration: configuration_set.ConfigurationSet | None = None

    def start(self) -> None:
        """Subscribe to leaving instances reported by peers."""
        self.hub.received.subscribe(self._on_message)
        self.hub.changes.subscribe(self._on_connection_change)

    def configure(
        self, configuration: configuration_set.ConfigurationSet
    ) -> None:
        """Apply the region's instances and drains of a configuration.

        Args:
            configuration: The active configuration.
        """
        self.configuration = configuration
        self.instances = {
            instance.name: instance
            for pool in configuration.objects.pools
            for instance in pool.instances
            if configuration.regions[instance.place] == self.region
        }
        self.leaving &= {
            instance.name
            for pool in configuration.objects.pools
            for instance in pool.instances
        }
        self.reassign()
        self.apply_drains()

    async def run(self) -> None:
        """Reassign instances and apply drains until cancelled."""
        while True:
            self.reassign()
            self.apply_drains()
            await asyncio.sleep(REASSIGN_INTERVAL_S)

    def reassign(self) -> None:
        """Start and cancel polling tasks as the serving entries change."""
        entries = list(self.region_entries())
        own = self.hub.identity.entry
        assigned = {
            name: instance
            for name, instance in self.instances.items()
            if own in rendezvous.top(name, entries, POLLERS_PER_INSTANCE)
        }
        for name in self.tasks.keys() - assigned.keys():
            self.tasks.pop(name).cancel()
        for name in assigned.keys() - self.tasks.keys():
            self.tasks[name] = asyncio.create_task(
                self._poll(assigned[name]), name=f'poll {name}'
            )

    def apply_drains(self) -> None:
        """Notify the listener of instances whose drain began or was revoked.

        Instances whose VMs are leaving count as drained.
        """
        if self.configuration is None:
            return
        drained = self.listed_leaving() | drains.drained_instances(
            self.configuration, self.clock.wall()
        )
        changed = drained ^ self.drained
        self.drained = drained
        for name in sorted(changed - self.leaving):
            self.leaving_listener.set_leaving(name, name in drained)

    async def stop(self) -> None:
        """Cancel all polling tasks and wait for them."""
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)

    def dump(self) -> dict[str, typing.Any]:
        """Return polled, leaving and drained instances for a state dump."""
        return {
            'watched': sorted(self.tasks),
            'leaving': sorted(self.leaving),
            'drained': sorted(self.drained),
        }

    async def _poll(self, instance: objects.Instance) -> None:
        while True:
            state = await self._fetch_state(instance)
            if state is not None:
                self._update_leaving(instance.name, state == DRAINING, True)
            await asyncio.sleep(HEALTH_INTERVAL_S)

    async def _fetch_state(self, instance: objects.Instance) -> str | None:
        """Return the state that an instance reports, ``None`` on failure."""
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                async with self.session.get(
                    f'http://{instance.address}/health'
                ) as response:
                    body = json.loads(
                        await bounded_answers.read(response, MAX_HEALTH_BYTES)
                    )
            return str(body['state'])
        except (
            aiohttp.ClientError,
            OSError,
            TimeoutError,
            RecursionError,
            ValueError,
            KeyError,
            TypeError,
        ):
            return None

    def _update_leaving(
        self, name: str, leaving: bool, found_here: bool
    ) -> None:
        if leaving == (name in self.leaving):
            return
        if leaving:
            self.leaving.add(name)
        else:
            self.leaving.discard(name)
        if name not in self.drained:
            self.leaving_listener.set_leaving(name, leaving)
        if found_here:
            event = LEAVING_EVENTS[leaving]
            events.emit(event, instance=name)
            self.hub.broadcast(health_messages.UpstreamLeaving(name, leaving))

    def _on_message(self, received: peer_hub.ReceivedMessage) -> None:
        message = received.message
        if isinstance(message, health_messages.UpstreamLeaving):
            self._update_leaving(message.instance, message.leaving, False)

    def _on_connection_change(
        self, change: peer_hub.PeerConnectionChange
    ) -> None:
        if change.connected:
            for name in self.leaving:
                self.hub.send(
                    change.peer, health_messages.UpstreamLeaving(name, True)
                )


LEAVING_EVENTS = {
    True: events.Event.UPSTREAM_LEAVING,
    False: events.Event.UPSTREAM_RETURNED,
}
