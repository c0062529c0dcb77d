"""Where the forwarding path gets slots from."""

import typing

from returns import result

from bulrushcourse_domain.slots import requests


class SlotSource(typing.Protocol):
    """Gives slots of the pools of services in regions."""

    async def acquire(
        self, service: str, region: str, wish: requests.SlotRequest
    ) -> result.Result[requests.Grant, requests.Refusal]:
        """Wait for a slot; cancelling the call cancels the wish."""
        ...

    def release(
        self,
        service: str,
        region: str,
        request_id: str,
        outcome: requests.ReleaseOutcome,
        service_time_s: float,
    ) -> None:
        """Give a slot back."""
        ...
