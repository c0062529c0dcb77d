"""Arrivals and slow spells, drawn before any policy runs."""

import math
import random

import attrs

ENTRIES = 9
VARIATION = 0.7
"""Standard deviation of service times in means (lognormal)."""


@attrs.frozen
class Site:
    """One pool of a deployment; ``hop_s`` is the delay of a message."""

    name: str
    instances: int
    slots: int
    hop_s: float


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
    """A time during which work at an instance takes longer."""

    instance: int
    start: float
    end: float
    factor: float = 6.0


@attrs.define(eq=False)
class Call:
    """One request; ``work_s`` is its service time at a typical instance."""

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

    Examples:
        >>> site = Site('a', 16, 5, 0.001)
        >>> calls = draw_calls(site, (Stream('short', 0.7),), 1.0, 1)
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
    site: Site, length_s: float, seed: int, at_once: int
) -> list[Spell]:
    """Draw spells of 1.5 s without a pause, each time at other instances."""
    source = random.Random(f'{seed}/spells')
    return [
        Spell(instance, 1.0 + 1.5 * turn, 2.5 + 1.5 * turn)
        for turn in range(int(length_s / 1.5))
        for instance in source.sample(range(site.instances), at_once)
    ]
