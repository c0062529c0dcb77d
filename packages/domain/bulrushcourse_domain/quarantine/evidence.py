"""Evidence about crash-inducing requests that the VMs send to each other."""

import enum
import typing

import attrs


class Kind(enum.Enum):
    """What a piece of evidence states.

    Attributes:
        LOSS: An upstream's connection broke while it ran a request.
        CLEARANCE: A request got a complete response.
        SURVIVAL: An upstream answered after a loss, under the same
            incarnation.
        PRESENCE: An upstream answered sooner after a loss than it could have
            restarted.
        PROBE: A VM probes whether a quarantined request is still dangerous.
    """

    LOSS = 'l'
    CLEARANCE = 'c'
    SURVIVAL = 's'
    PRESENCE = 'p'
    PROBE = 't'


# Evidence is forgotten after this time.
MAX_AGE_S = 3600.0
# Time in which evidence may matter to a VM that starts. A loss matters for as
# long as nothing has disproved it.
_USEFUL_FOR_S: typing.Mapping[Kind, float] = {
    Kind.LOSS: MAX_AGE_S,
    Kind.CLEARANCE: MAX_AGE_S,
    Kind.SURVIVAL: MAX_AGE_S,
    Kind.PRESENCE: 10.0,
    Kind.PROBE: 10.0,
}


@attrs.frozen
class Evidence:
    """One observation of one VM.

    Attributes:
        kind: What it states.
        fingerprint: What identifies the request, or its content for all
            callers; empty for ``SURVIVAL`` and ``PRESENCE``.
        upstream: Incarnation of the upstream, empty for ``CLEARANCE`` and
            ``PROBE``.
        stamp: Wall-clock time of the observing VM in milliseconds. It only
            distinguishes observations, since clocks of VMs differ.
        at: Time of the observation, in monotonic seconds of this VM.
        is_own: Whether this VM observed it.
    """

    kind: Kind
    fingerprint: str
    upstream: str
    stamp: int
    at: float = attrs.field(eq=False)
    is_own: bool = attrs.field(default=False, eq=False)

    def is_useful(self, now: float) -> bool:
        """Return whether it may still matter to another VM.

        Args:
            now: Monotonic time in seconds.
        """
        return now - self.at < _USEFUL_FOR_S[self.kind]
