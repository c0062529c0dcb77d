"""Quarantine of a content that crashes upstreams whoever asks for it.

The load that it answers: a request that crashes each upstream and comes from
hundreds of client accounts, each of which may crash three upstreams alone.
"""

import operator
import typing

from bulrushcourse_domain.quarantine import evidence as evidences
from bulrushcourse_domain.quarantine import probes

# Callers whose requests for a content lost upstreams, without an answer to
# any caller, that quarantine the content for all callers.
CALLER_LIMIT = 3


def quarantine_of(
    losses: typing.Iterable[evidences.Evidence],
) -> probes.Quarantine | None:
    """Return the quarantine of a content, ``None`` for too few callers.

    Args:
        losses: The losses that count, of all callers.

    Examples:
        >>> losses = [
        ...     evidences.Evidence(
        ...         evidences.Kind.LOSS, f'c.{caller}', 'u@1', 0, at
        ...     )
        ...     for caller, at in (('a', 1.0), ('a', 2.0), ('b', 3.0))
        ... ]
        >>> quarantine_of(losses)
        >>> other = evidences.Evidence(
        ...     evidences.Kind.LOSS, 'c.d', 'u@1', 0, 4.0
        ... )
        >>> quarantine_of([*losses, other]).due
        12.0
    """
    ordered = sorted(losses, key=operator.attrgetter('at'))
    callers: set[str] = set()
    for count, loss in enumerate(ordered, 1):
        callers.add(loss.fingerprint)
        if len(callers) == CALLER_LIMIT:
            return probes.quarantine_of([e.at for e in ordered], count)
    return None
