"""Slots and results of the attempts of a call."""

import typing

import attrs

from bulrushcourse_domain.slots import requests
from bulrushcourse_entry.upstreams import client

# Attempt numbers of hedges start here, so that they differ from those of
# retries.
FIRST_HEDGE_NUMBER = 100


@attrs.frozen
class GrantedSlot:
    """A granted slot.

    Attributes:
        region: Region of the instance.
        instance: Name of the instance.
        release: Releases the slot; called once, with the outcome.
    """

    region: str
    instance: str
    release: typing.Callable[[requests.ReleaseOutcome], None]


@attrs.define
class Exchange:
    """A response that is being received, and the slot that it occupies.

    Attributes:
        answer: Response whose headers and first bytes have arrived.
        release_slot: Releases the slot; called once, with the outcome.
        remaining_s: Returns the seconds until the deadline, when the grant
            expires and the slot may be granted again.
    """

    answer: client.UpstreamResponse
    release_slot: typing.Callable[[requests.ReleaseOutcome], None]
    remaining_s: typing.Callable[[], float]


@attrs.define
class Attempt:
    """Result of one attempt.

    Attributes:
        exchange: Set if the instance responded.
        failure: Set if a slot was granted but no response arrived.
        instance: Name of the instance, empty if no slot was granted.
        refusal: Set if no slot was granted.
        selected: Whether this attempt's result is used, rather than that of
            its hedge or primary request.
    """

    exchange: Exchange | None = None
    failure: client.Failure | None = None
    instance: str = ''
    refusal: requests.Refusal | None = None
    selected: bool = False
