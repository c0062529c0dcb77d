"""Quarantine by the times of losses, and who may try the request again.

The load that it answers: a crash-inducing request that comes again for
minutes, and a sound request whose upstreams crashed for other reasons.
"""

import enum
import typing

import attrs

from bulrushcourse_domain import rendezvous

# Losses that quarantine a request. The pages count what is sent after the
# third crash, and upstreams are also lost for other reasons.
LOSS_LIMIT = 3
# Time from the latest loss to each probe. The first one comes within the 15 s
# in which service must recover from an outage; the pages allow three.
PROBE_DELAYS_S = (8.0, 64.0, 512.0)
# A VM that gets no such request in this time lets another one try. The result
# of a probe is known to all VMs by then.
PROBE_SLOT_S = 3.0
# Part of the delay after which a loss counts as a failed probe; VMs know the
# time of a loss to a second.
PROBE_TOLERANCE = 0.75


class Verdict(enum.Enum):
    """Whether a request may run.

    Attributes:
        RUN: It may.
        PROBE: It is quarantined, but may run once to find out whether it is
            still dangerous.
        REFUSE: It must not.
    """

    RUN = 'run'
    PROBE = 'probe'
    REFUSE = 'refuse'


# The verdicts, the strictest one last.
STRICTNESS = (Verdict.RUN, Verdict.PROBE, Verdict.REFUSE)


@attrs.frozen
class Quarantine:
    """A quarantine, as it follows from the times of the losses.

    Attributes:
        failed_probes: Number of probes that lost an upstream.
        due: Time of the next probe, infinite if none is left.
    """

    failed_probes: int
    due: float

    def due_after(self, probed_at: float) -> float:
        """Return the time of the next probe after one without a result.

        Args:
            probed_at: When the latest probe began.
        """
        return max(self.due, probed_at + PROBE_SLOT_S)


def quarantine_of(
    lost_at: typing.Iterable[float], loss_limit: int = LOSS_LIMIT
) -> Quarantine | None:
    """Return the quarantine of a request, ``None`` for too few losses.

    All VMs that know the same losses return the same.

    Args:
        lost_at: Time of each loss.
        loss_limit: Losses that quarantine a request.

    Examples:
        >>> quarantine_of([0.0, 0.1])
        >>> quarantine_of([0.0, 0.1, 1.0])
        Quarantine(failed_probes=0, due=9.0)
        >>> quarantine_of([0.0, 0.1, 1.0, 9.5]).due
        73.5
    """
    times = sorted(lost_at)
    if len(times) < loss_limit:
        return None
    failed = 0
    latest = times[loss_limit - 1]
    for at in times[loss_limit:]:
        if failed < len(PROBE_DELAYS_S) and (
            at - latest >= PROBE_DELAYS_S[failed] * PROBE_TOLERANCE
        ):
            failed += 1
        latest = at
    if failed == len(PROBE_DELAYS_S):
        return Quarantine(failed, float('inf'))
    return Quarantine(failed, latest + PROBE_DELAYS_S[failed])


def may_try(
    fingerprint: str,
    vm: str,
    members: typing.Iterable[str],
    overdue_s: float,
) -> bool:
    """Return whether a VM may try a quarantined request.

    One VM may at first; their number doubles with each slot in which none of
    them got such a request.

    Args:
        fingerprint: Hash of the request's content.
        vm: The VM.
        members: The VMs that are alive.
        overdue_s: Time since the probe fell due, negative before that.

    Examples:
        >>> [may_try('f', vm, 'abcd', 0.0) for vm in 'abcd'].count(True)
        1
        >>> [may_try('f', vm, 'abcd', 3.5) for vm in 'abcd'].count(True)
        2
    """
    names = set(members)
    if overdue_s < 0:
        return False
    slots = min(int(overdue_s / PROBE_SLOT_S), len(names).bit_length())
    return vm in rendezvous.top(fingerprint, names, 1 << slots)
