"""What the attempts of a call hold and lead to."""

import typing

import attrs

from bulrushcourse_domain.slots import requests
from bulrushcourse_entry.upstreams import client

# Numbers of second copies begin here, apart from those of retries.
HEDGE_NUMBER = 100


@attrs.frozen
class HeldSlot:
    """A granted slot.

    Attributes:
        region: Region of the instance.
        instance: Name of the instance.
        finish: Gives the slot back; called once with how the work ended.
    """

    region: str
    instance: str
    finish: typing.Callable[[requests.ReleaseOutcome], None]


@attrs.define
class Exchange:
    """An answer under way, with the slot that it holds.

    Attributes:
        answer: Answer whose beginning has arrived.
        finish: Gives the slot back; called once with how the work ended.
        remaining_s: Returns the seconds until the deadline, after which the
            slot is granted to other work.
    """

    answer: client.UpstreamAnswer
    finish: typing.Callable[[requests.ReleaseOutcome], None]
    remaining_s: typing.Callable[[], float]


@attrs.define
class Attempt:
    """What one attempt led to.

    Attributes:
        exchange: Set if the instance answered.
        failure: Set if it did not.
        instance: Name of the instance, empty if no slot was granted.
        refusal: Set if no slot was granted.
        taken: Whether the answer goes to the caller.
    """

    exchange: Exchange | None = None
    failure: client.Failure | None = None
    instance: str = ''
    refusal: requests.Refusal | None = None
    taken: bool = False
