"""Client of the platform's list of VMs."""

import asyncio
import json
import typing

import aiohttp
import attrs

from bulrushcourse_entry import bounded_answers
from bulrushcourse_entry import events

CALL_TIMEOUT_S = 2.0


@attrs.frozen
class VmRecord:
    """A VM in the platform's list.

    Attributes:
        vm_id: The platform's identifier of the VM.
        entry: Name of the configured entry that the VM was created for.
        peer_address: ``ip:port`` of its peer listener.
        failure_domain: Failure domain that it runs in.
        state: ``live`` or ``leaving``.
        instance: Name of the upstream instance, empty for an entry VM.
    """

    vm_id: str
    entry: str
    peer_address: str
    failure_domain: str
    state: str
    instance: str = ''


class VmList(typing.Protocol):
    """The platform's list of VMs."""

    async def list(self) -> tuple[VmRecord, ...] | None:
        """Return live and leaving VMs, ``None`` if the call failed."""
        ...


@attrs.define
class HttpVmList:
    """List of VMs over HTTP with JSON.

    Attributes:
        base: Base URL.
        session: HTTP session.
        leaving_instances: Upstream instances whose VMs are leaving, from the
            last successful call.
        reachable: Whether the last call succeeded.
    """

    base: str
    session: aiohttp.ClientSession
    leaving_instances: frozenset[str] = frozenset()
    reachable: bool = True

    async def list(self) -> tuple[VmRecord, ...] | None:
        """Return live and leaving entry VMs, ``None`` if the call failed.

        VMs of upstream instances are not returned. Those that are leaving are
        kept in ``leaving_instances``.
        """
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                async with self.session.get(f'{self.base}/vms') as response:
                    response.raise_for_status()
                    listed = json.loads(await bounded_answers.read(response))
            vms = [VmRecord(**fields) for fields in listed]
        except (
            aiohttp.ClientError,
            TimeoutError,
            TypeError,
            ValueError,
        ) as error:
            if self.reachable:
                events.emit(
                    events.Event.VM_LIST_UNREACHABLE, reason=repr(error)
                )
            self.reachable = False
            return None
        self.reachable = True
        self.leaving_instances = frozenset(
            vm.instance for vm in vms if vm.instance and vm.state == 'leaving'
        )
        return tuple(vm for vm in vms if not vm.instance)
