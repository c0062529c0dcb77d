"""Watching instances for signs that they are leaving.

Each instance is watched by two entries of its region, with one task each that
asks its health endpoint. A sign goes to all peers at once, so that the owner
of the pool stops granting its slots.
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
from bulrushcourse_entry import events
from bulrushcourse_entry.peers import hub as peer_hub
from bulrushcourse_wire import health_messages

HEALTH_INTERVAL_S = 1.0
HEALTH_TIMEOUT_S = 1.0
REASSIGN_INTERVAL_S = 0.5
# Two, so that a sign is seen in time while one of them is paused.
WATCHERS = 2
DRAINING = 'draining'


class LeavingListener(typing.Protocol):
    """Receiver of signs that an instance leaves or serves again."""

    def set_leaving(self, instance: str, leaving: bool) -> None:
        """Note that an instance leaves, or serves again."""
        ...


@attrs.define(eq=False)
class HealthMonitor:
    """Watches the instances of this entry's region.

    Attributes:
        clock: Source of time.
        region: Region of this entry.
        session: HTTP session for probes.
        hub: Streams to peers.
        leaving_listener: Receiver of signs of all entries.
        listed_leaving: Returns the instances whose VMs are leaving, by the
            platform's list.
        region_entries: Returns the serving entries of the region, this one
            included.
        instances: The region's instances by name.
        tasks: One task by name of instance.
        leaving: Instances that said they are leaving, as far as this entry
            knows.
        drained: Instances that a plan in force drains or whose VMs leave.
        configuration: Configuration in force.
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
        """Follow the signs that peers send."""
        self.hub.received.subscribe(self._on_message)
        self.hub.changes.subscribe(self._on_change)

    def configure(
        self, configuration: configuration_set.ConfigurationSet
    ) -> None:
        """Watch the region's instances of a configuration.

        Args:
            configuration: The configuration that is now in force.
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
        """Follow entries that come and go, and drains that start."""
        while True:
            self.reassign()
            self.apply_drains()
            await asyncio.sleep(REASSIGN_INTERVAL_S)

    def reassign(self) -> None:
        """Start and end tasks by who watches which instance now."""
        entries = list(self.region_entries())
        own = self.hub.identity.entry
        wanted = {
            name: instance
            for name, instance in self.instances.items()
            if own in rendezvous.first(name, entries, WATCHERS)
        }
        for name in self.tasks.keys() - wanted.keys():
            self.tasks.pop(name).cancel()
        for name in wanted.keys() - self.tasks.keys():
            self.tasks[name] = asyncio.create_task(
                self._watch(wanted[name]), name=f'watch {name}'
            )

    def apply_drains(self) -> None:
        """Sign instances whose drain or leaving began or was taken back."""
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
        """End all tasks."""
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)

    def dump(self) -> dict[str, typing.Any]:
        """Return the instances that are leaving for a state dump."""
        return {
            'watched': sorted(self.tasks),
            'leaving': sorted(self.leaving),
            'drained': sorted(self.drained),
        }

    async def _watch(self, instance: objects.Instance) -> None:
        while True:
            state = await self._probe(instance)
            if state is not None:
                self._note(instance.name, state == DRAINING, True)
            await asyncio.sleep(HEALTH_INTERVAL_S)

    async def _probe(self, instance: objects.Instance) -> str | None:
        """Return the state an instance reports, ``None`` without answer."""
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                async with self.session.get(
                    f'http://{instance.address}/health'
                ) as response:
                    answer = json.loads(await response.text())
            return str(answer['state'])
        except (
            aiohttp.ClientError,
            OSError,
            TimeoutError,
            ValueError,
            KeyError,
            TypeError,
        ):
            return None

    def _note(self, name: str, leaving: bool, own: bool) -> None:
        if leaving == (name in self.leaving):
            return
        if leaving:
            self.leaving.add(name)
        else:
            self.leaving.discard(name)
        if name not in self.drained:
            self.leaving_listener.set_leaving(name, leaving)
        if own:
            event = SIGN_EVENTS[leaving]
            events.emit(event, instance=name)
            self.hub.broadcast(health_messages.UpstreamLeaving(name, leaving))

    def _on_message(self, received: peer_hub.ReceivedMessage) -> None:
        message = received.message
        if isinstance(message, health_messages.UpstreamLeaving):
            self._note(message.instance, message.leaving, False)

    def _on_change(self, change: peer_hub.PeerConnectionChange) -> None:
        if change.connected:
            for name in self.leaving:
                self.hub.send(
                    change.peer, health_messages.UpstreamLeaving(name, True)
                )


SIGN_EVENTS = {
    True: events.Event.UPSTREAM_LEAVING,
    False: events.Event.UPSTREAM_RETURNED,
}
