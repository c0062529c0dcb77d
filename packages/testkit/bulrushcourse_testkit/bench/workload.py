"""Arrivals and slowdowns, sampled before any policy runs."""

import math
import random

import attrs

ENTRIES = 9
VARIATION_COEFFICIENT = 0.7
"""Coefficient of variation of the lognormal service times."""


@attrs.frozen
class Site:
    """One pool of a deployment; ``hop_s`` is the one-way network delay."""

    name: str
    instances: int
    slots: int
    hop_s: float


@attrs.frozen
class Stream:
    """Open-loop arrivals of one request class.

    Attributes:
        request_class: Name of the class.
        load: Share of all slots that the stream occupies, including the
            network time during which a slot is held.
        mean_s: Mean service time, in seconds.
    """

    request_class: str
    load: float
    mean_s: float = 0.04


@attrs.frozen
class Slowdown:
    """A period in which work at an instance takes ``factor`` times as long."""

    instance: int
    start: float
    end: float
    factor: float = 6.0


@attrs.define(eq=False)
class Call:
    """One request; ``work_s`` is its service time at an unslowed instance."""

    number: int
    arrives_at: float
    entry: int
    request_class: str
    work_s: float
    answered_at: float | None = None
    refused: bool = False


def sample_calls(
    site: Site, streams: tuple[Stream, ...], duration_s: float, seed: int
) -> list[Call]:
    """Return the calls of a run, by time of arrival.

    Examples:
        >>> site = Site('a', 16, 5, 0.001)
        >>> calls = sample_calls(site, (Stream('short', 0.7),), 1.0, 1)
        >>> 1100 < len(calls) < 1450
        True
    """
    sampled = []
    for number, stream in enumerate(streams):
        rng = random.Random(f'{seed}/{number}')
        hold_s = stream.mean_s + 4 * site.hop_s
        rate = stream.load * site.instances * site.slots / hold_s
        sigma = math.sqrt(math.log(1 + VARIATION_COEFFICIENT**2))
        mu = math.log(stream.mean_s) - sigma**2 / 2
        arrives_at = rng.expovariate(rate)
        while arrives_at < duration_s:
            work_s = rng.lognormvariate(mu, sigma)
            entry = rng.randrange(ENTRIES)
            sampled.append((arrives_at, entry, stream.request_class, work_s))
            arrives_at += rng.expovariate(rate)
    return [Call(n, *fields) for n, fields in enumerate(sorted(sampled))]


def sample_slowdowns(
    site: Site, duration_s: float, seed: int, concurrent: int
) -> list[Slowdown]:
    """Return back-to-back slowdowns of 1.5 s, each of random instances."""
    rng = random.Random(f'{seed}/spells')
    return [
        Slowdown(instance, 1.0 + 1.5 * number, 2.5 + 1.5 * number)
        for number in range(int(duration_s / 1.5))
        for instance in rng.sample(range(site.instances), concurrent)
    ]
