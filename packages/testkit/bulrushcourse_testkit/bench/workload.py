"""Arrivals and disturbances, drawn before any policy runs."""

import math
import random

import attrs

ENTRIES = 9
VARIATION = 0.7
"""Standard deviation of service times in means (lognormal)."""


@attrs.frozen
class Site:
    """One pool of a deployment.

    Attributes:
        name: Deployment and service.
        instances: Number of instances.
        slots: Slots of each.
        hop_s: One-way delay between any two machines, in seconds.
    """

    name: str
    instances: int
    slots: int
    hop_s: float


FILATAB = Site('filatab/catalog', 16, 5, 0.001)
THIES = Site('thies/liste', 16, 7, 0.000_5)
FILATAB_UPLOADS = Site('filatab/artwork', 12, 3, 0.001)
THIES_UPLOADS = Site('thies/album', 12, 3, 0.000_5)


@attrs.frozen
class Stream:
    """Open-loop arrivals of one class.

    Attributes:
        request_class: Name of the class.
        load: Part of all slots that the stream keeps in use, the network
            time during which a slot is held included.
        mean_s: Mean service time.
    """

    request_class: str
    load: float
    mean_s: float = 0.04


@attrs.frozen
class Spell:
    """A time during which an instance is slowed.

    Attributes:
        instance: Number of the instance.
        start: Seconds from the start of the run.
        end: Likewise.
        factor: How many times longer work takes.
    """

    instance: int
    start: float
    end: float
    factor: float


@attrs.define(eq=False)
class Call:
    """One request.

    Attributes:
        number: Its number.
        at: Arrival at its entry.
        entry: Number of the entry.
        request_class: Name of its class.
        work_s: Service time at a typical instance.
        answered: When the entry had the whole answer.
        refused: Whether it was refused.
    """

    number: int
    at: float
    entry: int
    request_class: str
    work_s: float
    answered: float | None = None
    refused: bool = False


def draw_calls(
    site: Site, streams: tuple[Stream, ...], length_s: float, seed: int
) -> list[Call]:
    """Draw the arrivals of a run.

    Args:
        site: The pool.
        streams: What arrives.
        length_s: Time during which calls arrive.
        seed: Seed of the random source.

    Examples:
        >>> calls = draw_calls(FILATAB, (Stream('short', 0.7),), 1.0, 1)
        >>> 1100 < len(calls) < 1450
        True
    """
    drawn = []
    for number, stream in enumerate(streams):
        source = random.Random(f'{seed}/{number}')
        hold_s = stream.mean_s + 4 * site.hop_s
        rate = stream.load * site.instances * site.slots / hold_s
        sigma = math.sqrt(math.log(1 + VARIATION**2))
        mu = math.log(stream.mean_s) - sigma**2 / 2
        at = source.expovariate(rate)
        while at < length_s:
            work_s = source.lognormvariate(mu, sigma)
            entry = source.randrange(ENTRIES)
            drawn.append((at, entry, stream.request_class, work_s))
            at += source.expovariate(rate)
    return [Call(n, *fields) for n, fields in enumerate(sorted(drawn))]


def draw_spells(
    site: Site, length_s: float, seed: int, at_once: int = 2
) -> tuple[Spell, ...]:
    """Draw spells of 1.5 s without a pause, each time of other instances.

    Args:
        site: The pool.
        length_s: Length of the run.
        seed: Seed of the random source.
        at_once: Number of instances slowed at a time.
    """
    source = random.Random(f'{seed}/spells')
    spells = []
    start = 1.0
    while start < length_s:
        for instance in source.sample(range(site.instances), at_once):
            spells.append(Spell(instance, start, start + 1.5, 6.0))
        start += 1.5
    return tuple(spells)
