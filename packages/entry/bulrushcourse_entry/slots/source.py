"""The interface through which the forwarding path acquires slots."""

import typing

from returns import result

from bulrushcourse_domain.slots import requests


class SlotSource(typing.Protocol):
    """Acquires and releases slots of a service's pool in a region."""

    async def acquire(
        self, service: str, region: str, request: requests.SlotRequest
    ) -> result.Result[requests.Grant, requests.Refusal]:
        """Wait for a slot; cancelling the call cancels the request."""
        ...

    def release(
        self,
        service: str,
        region: str,
        request_id: str,
        outcome: requests.ReleaseOutcome,
        service_time_s: float,
    ) -> None:
        """Release a slot."""
        ...
