"""Open-loop load with arrival times that are fixed beforehand.

A stall of the system delays no arrival, so latencies count from the time at
which a request was due (no coordinated omission).
"""

import asyncio
import collections
import hashlib
import random
import time
import typing

import aiohttp
import attrs

ATTEMPTS = 3
LOOKUP_INTERVAL_S = 0.5
CONNECT_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.1


@attrs.frozen
class Work:
    """A kind of request in a mix.

    Attributes:
        name: Name in the report.
        service: Service that is called.
        rate_per_s: Arrivals a second.
        request_class: Class header; empty for the service's own.
        method: HTTP method.
        query: Query of the request, such as ``work_ms=20``.
        body_bytes: Size of the body.
        idempotent: Whether the caller sends again after a failure.
    """

    name: str
    service: str
    rate_per_s: float
    request_class: str = ''
    method: str = 'GET'
    query: str = ''
    body_bytes: int = 0
    idempotent: bool = True


@attrs.frozen
class Sample:
    """What became of one request.

    Attributes:
        work: Name of its kind.
        due: Seconds after the start at which it was due.
        latency_s: From due to the whole answer.
        outcome: ``done``, ``not-run``, ``unknown``, ``failed``, ``wrong``
            or ``upstream-error``.
        attempts: How often it was sent.
        number: Number of the request, part of its path ``/rNUMBER``.
    """

    work: str
    due: float
    latency_s: float
    outcome: str
    attempts: int
    number: int = 0


@attrs.define(eq=False)
class Callers:
    """Callers that look up entries and send requests.

    Attributes:
        seeds: Callers' addresses of entries known beforehand.
        session: HTTP session.
        random: Source of choices.
        entries: Addresses in the order of the last answer.
        valid_until: When the last answer expires, by the machine's clock.
        problems: Answers that say that a request has not run, by detail.
    """

    seeds: list[str]
    session: aiohttp.ClientSession
    random: random.Random
    entries: list[str] = attrs.field(factory=list)
    valid_until: float = 0.0
    problems: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    async def follow_lookups(self) -> None:
        """Look entries up again and again until cancelled."""
        while True:
            await self.look_up()
            await asyncio.sleep(LOOKUP_INTERVAL_S)

    async def look_up(self) -> None:
        """Ask known entries, then seeds, which entries to use."""
        for address in [*self.entries, *self.seeds]:
            try:
                async with self.session.get(
                    f'http://{address}/v1/entries',
                    timeout=aiohttp.ClientTimeout(total=CONNECT_TIMEOUT_S),
                ) as response:
                    answer = await response.json()
            except (aiohttp.ClientError, TimeoutError):
                continue
            if answer.get('entries'):
                self.entries = [e['address'] for e in answer['entries']]
                self.valid_until = time.monotonic() + answer['max_age_s']
                return

    async def call(self, work: Work, number: int) -> tuple[str, int]:
        """Send one request and return its outcome and the attempts.

        Args:
            work: Kind of request.
            number: Makes the request's path and body its own.
        """
        query = f'?{work.query}' if work.query else ''
        path = f'/r{number}{query}'
        body = number.to_bytes(8, 'big') * (work.body_bytes // 8)
        digest = hashlib.sha256(path.encode() + body).hexdigest()
        outcome = 'failed'
        start = self.random.randrange(1 << 16)
        for attempt in range(1, ATTEMPTS + 1):
            address = await self.choose(start + attempt)
            outcome = await self._send(address, work, path, body, digest)
            if outcome in ('done', 'wrong') or not work.idempotent:
                return outcome, attempt
            await asyncio.sleep(RETRY_DELAY_S)
        return outcome, ATTEMPTS

    async def choose(self, turn: int) -> str:
        """Return the entry of a turn; the next turn is another entry.

        Args:
            turn: Number that grows with each attempt of a request.
        """
        if time.monotonic() >= self.valid_until:
            await self.look_up()
        known = self.entries or self.seeds
        return known[turn % len(known)]

    async def _send(
        self, address: str, work: Work, path: str, body: bytes, digest: str
    ) -> str:
        headers = {}
        if work.request_class:
            headers['Bulrushcourse-Class'] = work.request_class
        try:
            async with self.session.request(
                work.method,
                f'http://{address}/v1/services/{work.service}{path}',
                data=body or None,
                headers=headers,
            ) as response:
                content = await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return 'failed'
        outcome = response.headers.get('Bulrushcourse-Outcome', 'failed')
        if outcome == 'not-run':
            self.problems[content.decode()] += 1
        if outcome == 'done' and response.status != 200:
            # The upstream's own whole answer, but not to be counted as work.
            return 'upstream-error'
        if outcome == 'done' and not _is_own(content, digest):
            return 'wrong'
        return outcome


async def run_load(
    callers: Callers, mix: typing.Sequence[Work], duration_s: float, seed: int
) -> list[Sample]:
    """Send a mix for a duration and return all samples.

    Args:
        callers: Callers to send with.
        mix: Kinds of requests.
        duration_s: How long requests arrive, in seconds.
        seed: Seed of the arrival times.
    """
    arrivals = draw_arrivals(mix, duration_s, seed)
    start = time.monotonic()
    samples: list[Sample] = []

    async def run(due: float, work: Work, number: int) -> None:
        outcome, attempts = await callers.call(work, number)
        latency = time.monotonic() - start - due
        samples.append(
            Sample(work.name, due, latency, outcome, attempts, number)
        )

    async with asyncio.TaskGroup() as group:
        for number, (due, work) in enumerate(arrivals):
            await asyncio.sleep(max(0.0, start + due - time.monotonic()))
            group.create_task(run(due, work, number))
    return samples


def draw_arrivals(
    mix: typing.Sequence[Work], duration_s: float, seed: int
) -> list[tuple[float, Work]]:
    """Return Poisson arrivals, ordered by time.

    Args:
        mix: Kinds of requests with their rates.
        duration_s: End of the arrivals, in seconds.
        seed: Seed of the random source.

    Examples:
        >>> drawn = draw_arrivals([Work('a', 's', 10.0)], 1.0, 1)
        >>> drawn == draw_arrivals([Work('a', 's', 10.0)], 1.0, 1)
        True
    """
    source = random.Random(seed)
    arrivals = []
    for work in mix:
        due = source.expovariate(work.rate_per_s)
        while due < duration_s:
            arrivals.append((due, work))
            due += source.expovariate(work.rate_per_s)
    return sorted(arrivals, key=lambda arrival: arrival[0])


def summarize(samples: typing.Sequence[Sample]) -> dict[str, typing.Any]:
    """Return outcomes and latency percentiles by kind of request.

    Args:
        samples: All samples of a run.

    Examples:
        >>> summary = summarize([Sample('a', 0.0, 0.5, 'done', 1)])
        >>> summary['a']['p50_ms'], summary['a']['done']
        (500.0, 1)
    """
    report = {}
    for name in sorted({sample.work for sample in samples}):
        chosen = [s for s in samples if s.work == name]
        done = sorted(s.latency_s for s in chosen if s.outcome == 'done')
        report[name] = dict(collections.Counter(s.outcome for s in chosen))
        report[name]['resent'] = sum(s.attempts > 1 for s in chosen)
        for percent in (50, 99, 99.9):
            report[name][f'p{percent}_ms'] = _percentile(done, percent)
    return report


def _percentile(ordered: list[float], percent: float) -> float:
    if not ordered:
        return float('nan')
    index = min(len(ordered) - 1, int(len(ordered) * percent / 100))
    return round(ordered[index] * 1000, 1)


def _is_own(content: bytes, digest: str) -> bool:
    whole = (digest * (len(content) // len(digest) + 1))[: len(content)]
    return content.decode(errors='replace') == whole and bool(content)
