"""Control requests to the stand-ins of a cluster: faults and observations."""

import typing

import aiohttp
import attrs

HOST = '127.0.0.1'


@attrs.define(eq=False)
class StandInControl:
    """Sends control requests to the stand-ins.

    Attributes:
        session: HTTP session, set when the cluster starts.
        platform_port: Control port of the platform stand-in.
        upstreams_port: Control port of the upstreams stand-in.
        proxy_port: Control port of the fault proxy.
    """

    session: aiohttp.ClientSession | None = attrs.field(
        default=None, init=False
    )
    platform_port: int = attrs.field(default=0, init=False)
    upstreams_port: int = attrs.field(default=0, init=False)
    proxy_port: int = attrs.field(default=0, init=False)

    async def control(self, port: int, path: str, body: typing.Any) -> None:
        """Send a control request to a stand-in.

        Args:
            port: Control port of the stand-in.
            path: Path below ``/control/``.
            body: Value to send as JSON.
        """
        url = f'http://{HOST}:{port}/control/{path}'
        async with self.session.put(url, json=body) as response:
            response.raise_for_status()

    async def observe(self, port: int, path: str) -> typing.Any:
        """Return what a stand-in has recorded, as decoded JSON.

        Args:
            port: Control port of the stand-in.
            path: Path below ``/control/``.
        """
        url = f'http://{HOST}:{port}/control/{path}'
        async with self.session.get(url) as response:
            response.raise_for_status()
            return await response.json()

    async def set_store_faults(self, **faults: typing.Any) -> None:
        """Replace the injected faults of the store for all entries.

        Args:
            **faults: Fields of ``standins.platform.Faults``.
        """
        await self.control(self.platform_port, 'faults', faults)

    async def set_link_faults(self, link: str, **faults: typing.Any) -> None:
        """Replace the injected faults of a link.

        Links are named ``store-NAME`` and ``peers-NAME``. A connection between
        two entries uses the link of the entry whose name sorts higher.

        Args:
            link: Name of the link.
            **faults: Fields of ``standins.fault_proxy.LinkFaults``.
        """
        await self.control(self.proxy_port, link, faults)

    async def set_upstream(self, instance: str, **faults: typing.Any) -> None:
        """Replace the behaviour of an instance, or of ``all`` instances.

        Args:
            instance: Name of the instance.
            **faults: Fields of ``standins.upstreams.Behaviour``.
        """
        await self.control(self.upstreams_port, instance, faults)
