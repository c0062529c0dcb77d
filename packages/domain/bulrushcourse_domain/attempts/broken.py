"""What an attempt proves whose connection broke before a whole response.

The load that it answers: requests that crash the upstreams that run them, and
connections that upstreams or the network reset although the upstream lives.
"""

import enum
import typing

import attrs

# A reset that arrives within two round trips plus this time may precede any
# work on the request.
RESET_MARGIN_S = 0.03


class Proof(enum.Enum):
    """What is known of a request after its connection broke."""

    NOTHING_SENT = 'nothing-sent'
    PERHAPS_BEGUN = 'perhaps-begun'
    BEGUN = 'begun'
    ANSWERED_IN_PART = 'answered-in-part'


class Suspicion(enum.Enum):
    """Whether the upstream may have crashed by the request.

    Attributes:
        NONE: It can't have.
        POSSIBLE: It may have, or it is faulty and lives, or the network was
            cut. This counts once the end of its process is seen.
        PRESUMED: It counts as crashed until it is seen alive.
    """

    NONE = 'none'
    POSSIBLE = 'possible'
    PRESUMED = 'presumed'


@attrs.frozen
class BrokenAttempt:
    """Observations of an attempt whose connection broke.

    Attributes:
        wrote: Whether any byte of the request may have been written.
        reused: Whether the connection had carried a request before.
        answer_bytes: Bytes received of the response.
        took_s: Time from the start of the attempt to the break in seconds.
        round_trip_s: Round-trip time to the upstream in seconds.
    """

    wrote: bool
    reused: bool
    answer_bytes: int
    took_s: float
    round_trip_s: float


@attrs.frozen
class Consequences:
    """What follows from a proof.

    Attributes:
        may_have_run: Whether the request may have run. One that may run only
            once is then never sent again.
        suspicion: Whether the upstream may have crashed by the request.
        suspects_connection: Whether the upstream may have dropped its other
            idle connections as well.
    """

    may_have_run: bool
    suspicion: Suspicion
    suspects_connection: bool


# An upstream that crashes as soon as it reads the request and one that dropped
# the idle connection reset it alike, so both are suspected. One that truncates
# a response mostly lives, but a request may also crash it while it responds.
CONSEQUENCES: typing.Mapping[Proof, Consequences] = {
    Proof.NOTHING_SENT: Consequences(False, Suspicion.NONE, False),
    Proof.PERHAPS_BEGUN: Consequences(True, Suspicion.PRESUMED, True),
    Proof.BEGUN: Consequences(True, Suspicion.PRESUMED, False),
    Proof.ANSWERED_IN_PART: Consequences(True, Suspicion.POSSIBLE, False),
}


def classify(attempt: BrokenAttempt) -> Proof:
    """Return what a broken attempt proves.

    The age of the idle connection does not matter: an upstream may close a
    connection right after a response as well as after its idle timeout.

    Args:
        attempt: What was observed.

    Examples:
        >>> classify(BrokenAttempt(True, True, 0, 0.002, 0.001))
        <Proof.PERHAPS_BEGUN: 'perhaps-begun'>
        >>> classify(BrokenAttempt(True, False, 0, 0.002, 0.001))
        <Proof.BEGUN: 'begun'>
    """
    if attempt.answer_bytes:
        return Proof.ANSWERED_IN_PART
    if not attempt.wrote:
        return Proof.NOTHING_SENT
    at_once = attempt.took_s <= 2 * attempt.round_trip_s + RESET_MARGIN_S
    if attempt.reused and at_once:
        return Proof.PERHAPS_BEGUN
    return Proof.BEGUN
