"""Open-loop load generator with precomputed arrival times.

A stall of the system delays no arrival. Latencies are measured from the time
at which a request was due, which avoids coordinated omission.
"""

import asyncio
import collections
import hashlib
import random
import time
import typing

import aiohttp
import attrs

MAX_ATTEMPTS = 3
LOOKUP_INTERVAL_S = 0.5
CONNECT_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.1


@attrs.frozen
class RequestKind:
    """A kind of request in a load mix.

    Attributes:
        name: Name in the report.
        service: Service to call.
        rate_per_s: Mean arrivals per second.
        request_class: Request class to send; empty for the service's default.
        method: HTTP method.
        query: Query string, such as ``work_ms=20``.
        body_bytes: Size of the body, in bytes.
        idempotent: Whether the caller retries after a failure.
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
    """The outcome of one request.

    Attributes:
        kind: Name of the kind of request.
        due_s: Time at which it was due, in seconds after the start.
        latency_s: Time from when it was due to the complete response.
        outcome: ``done``, ``not-run``, ``unknown``, ``failed``, ``wrong``
            or ``upstream-error``.
        attempts: Number of attempts.
        number: Number of the request, part of its path ``/rNUMBER``.
    """

    kind: str
    due_s: float
    latency_s: float
    outcome: str
    attempts: int
    number: int = 0


@attrs.define(eq=False)
class Callers:
    """Callers that look up the entries and send requests to them.

    Attributes:
        seeds: Addresses of callers' listeners for the first look-up.
        session: HTTP session.
        random: Random source for the choice of entries.
        entries: Addresses in the order of the last look-up answer.
        valid_until: When that answer expires, in monotonic seconds.
        not_run_details: Number of responses with outcome ``not-run`` by their
            body.
    """

    seeds: list[str]
    session: aiohttp.ClientSession
    random: random.Random
    entries: list[str] = attrs.field(factory=list)
    valid_until: float = 0.0
    not_run_details: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    async def poll_entries(self) -> None:
        """Repeat the look-up at a fixed interval until cancelled."""
        while True:
            await self.look_up()
            await asyncio.sleep(LOOKUP_INTERVAL_S)

    async def look_up(self) -> None:
        """Refresh the entries from the first entry or seed that responds."""
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

    async def call(self, kind: RequestKind, number: int) -> tuple[str, int]:
        """Send one request, with retries, and return its outcome and attempts.

        Args:
            kind: Kind of request.
            number: Number that makes path and body of the request unique.
        """
        query = f'?{kind.query}' if kind.query else ''
        path = f'/r{number}{query}'
        body = number.to_bytes(8, 'big') * (kind.body_bytes // 8)
        digest = hashlib.sha256(path.encode() + body).hexdigest()
        outcome = 'failed'
        start = self.random.randrange(1 << 16)
        for attempt in range(1, MAX_ATTEMPTS + 1):
            address = await self.choose_entry(start + attempt)
            outcome = await self._send(address, kind, path, body, digest)
            if outcome in ('done', 'wrong') or not kind.idempotent:
                return outcome, attempt
            await asyncio.sleep(RETRY_DELAY_S)
        return outcome, MAX_ATTEMPTS

    async def choose_entry(self, index: int) -> str:
        """Return the address of an entry, round robin by attempt.

        Args:
            index: Position, which each attempt of a request increments.
        """
        if time.monotonic() >= self.valid_until:
            await self.look_up()
        addresses = self.entries or self.seeds
        return addresses[index % len(addresses)]

    async def _send(
        self,
        address: str,
        kind: RequestKind,
        path: str,
        body: bytes,
        digest: str,
    ) -> str:
        headers = {}
        if kind.request_class:
            headers['Bulrushcourse-Class'] = kind.request_class
        try:
            async with self.session.request(
                kind.method,
                f'http://{address}/v1/services/{kind.service}{path}',
                data=body or None,
                headers=headers,
            ) as response:
                content = await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return 'failed'
        outcome = response.headers.get('Bulrushcourse-Outcome', 'failed')
        if outcome == 'not-run':
            self.not_run_details[content.decode()] += 1
        if outcome == 'done' and response.status != 200:
            # A complete response of the upstream, but not a success.
            return 'upstream-error'
        if outcome == 'done' and not _matches_request(content, digest):
            return 'wrong'
        return outcome


async def run_load(
    callers: Callers,
    mix: typing.Sequence[RequestKind],
    duration_s: float,
    seed: int,
) -> list[Sample]:
    """Send a load mix for a given time and return a sample per request.

    Args:
        callers: Callers that send the requests.
        mix: Kinds of requests.
        duration_s: Time during which requests arrive, in seconds.
        seed: Seed of the arrival times.
    """
    arrivals = sample_arrivals(mix, duration_s, seed)
    start = time.monotonic()
    samples: list[Sample] = []

    async def run(due_s: float, kind: RequestKind, number: int) -> None:
        outcome, attempts = await callers.call(kind, number)
        latency_s = time.monotonic() - start - due_s
        samples.append(
            Sample(kind.name, due_s, latency_s, outcome, attempts, number)
        )

    async with asyncio.TaskGroup() as group:
        for number, (due_s, kind) in enumerate(arrivals):
            await asyncio.sleep(max(0.0, start + due_s - time.monotonic()))
            group.create_task(run(due_s, kind, number))
    return samples


def sample_arrivals(
    mix: typing.Sequence[RequestKind], duration_s: float, seed: int
) -> list[tuple[float, RequestKind]]:
    """Return the arrivals of independent Poisson processes, ordered by time.

    Args:
        mix: Kinds of requests with their rates.
        duration_s: Time after which nothing arrives, in seconds.
        seed: Seed of the random source.

    Examples:
        >>> arrivals = sample_arrivals([RequestKind('a', 's', 10.0)], 1.0, 1)
        >>> arrivals == sample_arrivals([RequestKind('a', 's', 10.0)], 1.0, 1)
        True
    """
    source = random.Random(seed)
    arrivals = []
    for kind in mix:
        due_s = source.expovariate(kind.rate_per_s)
        while due_s < duration_s:
            arrivals.append((due_s, kind))
            due_s += source.expovariate(kind.rate_per_s)
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
    for name in sorted({sample.kind for sample in samples}):
        chosen = [s for s in samples if s.kind == name]
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


def _matches_request(content: bytes, digest: str) -> bool:
    expected = (digest * (len(content) // len(digest) + 1))[: len(content)]
    return content.decode(errors='replace') == expected and bool(content)
