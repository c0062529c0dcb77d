"""Callers that send and resend orders and record the replies."""

import asyncio
import hashlib
import random
import typing

import aiohttp
import attrs

from bulrushcourse_testkit import cluster as clusters

DEADLINE_MS = 2500
CALL_TIMEOUT_S = 4.0
MAX_SENDS = 5
# Share of the sends whose caller closes the connection early.
DISCONNECT_SHARE = 0.1
RESEND_SHARE = 0.1
DISCONNECT_AFTER_S = (0.005, 0.06)
LARGE_SHARE = 0.05
LARGE_BYTES = 150_000
WORK_MS = 15


@attrs.frozen
class CallResult:
    """Result of one send of an order or one query of its outcome.

    Attributes:
        key: Idempotency key.
        outcome: ``done``, ``not-run`` or ``unknown``, empty without a
            response.
        is_expected: Whether the outcome is ``done`` and the body is that of
            this order.
        reason: Title of the problem details or name of the exception, empty
            for ``done``.
        is_first: Whether this was the first send of the key.
    """

    key: str
    outcome: str
    is_expected: bool
    reason: str
    is_first: bool


@attrs.define(eq=False)
class OrderCallers:
    """Callers that send orders to a cluster.

    Attributes:
        cluster: Cluster that serves the orders.
        service: Service whose requests are not idempotent.
        rng: Source of randomness.
        results: Results of all sends and queries.
        paths: Path of the order by key.
        issued_share: Share of the orders that use issued keys.
        disconnect_share: Share of the sends whose caller disconnects early.
        resend_share: Share of the callers that send again although they know
            the outcome.
        failed_key_requests: Number of requests for a key that failed.
    """

    cluster: clusters.Cluster
    service: str
    rng: random.Random
    results: list[CallResult] = attrs.field(factory=list)
    paths: dict[str, str] = attrs.field(factory=dict)
    issued_share: float = 0.5
    disconnect_share: float = DISCONNECT_SHARE
    resend_share: float = RESEND_SHARE
    failed_key_requests: int = 0

    async def run(self, number: int, workers: int, pause_s: float) -> None:
        """Send a number of orders.

        Args:
            number: Number of orders.
            workers: Maximum number of concurrent orders.
            pause_s: Pause of a worker after each order, in seconds.
        """
        order_numbers = iter(range(number))

        async def work() -> None:
            for order in order_numbers:
                await self.send_order(order)
                await asyncio.sleep(pause_s)

        await asyncio.gather(*(work() for _ in range(workers)))

    async def send_order(self, number: int) -> None:
        """Send an order up to ``MAX_SENDS`` times until its outcome is known.

        Args:
            number: Number of the order.
        """
        entry = self.rng.choice(self.cluster.entry_names)
        key = f'order-{number}'
        if self.rng.random() < self.issued_share:
            key = await self.request_key(entry)
            for _ in range(MAX_SENDS):
                if key:
                    break
                self.failed_key_requests += 1
                entry = self.rng.choice(self.cluster.entry_names)
                key = await self.request_key(entry)
            if not key:
                return
        size = LARGE_BYTES if self.rng.random() < LARGE_SHARE else 64
        path = f'/order/{number}?work_ms={WORK_MS}&size={size}'
        self.paths[key] = path
        for send in range(MAX_SENDS):
            result = await self.send(entry, key, path, is_first=send == 0)
            self.results.append(result)
            # Some callers send again although they know the outcome.
            if result.outcome in ('done', 'not-run'):
                if self.rng.random() >= self.resend_share:
                    return
            entry = self.rng.choice(self.cluster.entry_names)

    async def request_key(self, entry: str) -> str:
        """Request a new key of an entry; return an empty one on failure.

        Args:
            entry: Name of the entry.
        """
        url = self._url(entry, 'keys?count=1')
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                async with self.cluster.session.post(url) as response:
                    if response.status != 201:
                        return ''
                    return (await response.json())['keys'][0]
        except (aiohttp.ClientError, TimeoutError):
            return ''

    async def send(
        self, entry: str, key: str, path: str, is_first: bool
    ) -> CallResult:
        """Send an order once.

        Args:
            entry: Name of the entry.
            key: Idempotency key.
            path: Path of the order.
            is_first: Whether the key has not been sent before.
        """
        timeout_s = CALL_TIMEOUT_S
        if self.rng.random() < self.disconnect_share:
            timeout_s = self.rng.uniform(*DISCONNECT_AFTER_S)
        headers = {
            'Idempotency-Key': key,
            'Bulrushcourse-Deadline-Ms': str(DEADLINE_MS),
        }
        return await self._call(
            'POST', entry, path.lstrip('/'), key, timeout_s, headers, is_first
        )

    async def query_outcome(self, entry: str, key: str) -> CallResult:
        """Query the outcome of an order.

        Args:
            entry: Name of the entry.
            key: Idempotency key.
        """
        path = f'outcomes/{key}'
        return await self._call('GET', entry, path, key, CALL_TIMEOUT_S, {})

    async def _call(
        self,
        method: str,
        entry: str,
        path: str,
        key: str,
        timeout_s: float,
        headers: dict[str, str],
        is_first: bool = False,
    ) -> CallResult:
        data = key.encode() if method == 'POST' else None
        try:
            async with asyncio.timeout(timeout_s):
                async with self.cluster.session.request(
                    method, self._url(entry, path), headers=headers, data=data
                ) as response:
                    body = await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            return CallResult(key, '', False, type(error).__name__, is_first)
        outcome = response.headers.get('Bulrushcourse-Outcome', '')
        is_expected = outcome == 'done' and body == self.expected(key)
        reason = '' if outcome == 'done' else _reason(body)
        return CallResult(key, outcome, is_expected, reason, is_first)

    def expected(self, key: str) -> bytes:
        """Return the body that the run of a key responds with.

        Args:
            key: Idempotency key.
        """
        path = self.paths[key]
        digest = hashlib.sha256(path.encode() + key.encode()).hexdigest()
        size = int(path.rpartition('=')[2])
        return (digest * (size // len(digest) + 1))[:size].encode()

    def _url(self, entry: str, path: str) -> str:
        port = self.cluster.entry_ports[entry].callers
        prefix = f'http://{clusters.HOST}:{port}/v1/services'
        return f'{prefix}/{self.service}/{path}'


@attrs.frozen
class TrialResult:
    """Comparison of the runs with the results of the callers.

    Attributes:
        orders: Number of orders sent.
        runs: Number of runs in the journal.
        ran_twice: Keys that ran more than once.
        false_not_run: Keys that ran although a caller got ``not-run``.
        wrong_answers: Key of each ``done`` result whose body is not that of
            the order or whose key did not run.
        orders_by_outcome: Number of orders by last definite outcome and
            whether they ran.
        results_by_reason: Number of results by outcome and reason.
    """

    orders: int
    runs: int
    ran_twice: tuple[str, ...]
    false_not_run: tuple[str, ...]
    wrong_answers: tuple[str, ...]
    orders_by_outcome: dict[str, int]
    results_by_reason: dict[str, int]

    @property
    def passed(self) -> bool:
        """Whether no guarantee was violated."""
        return not (self.ran_twice or self.false_not_run or self.wrong_answers)


def evaluate(
    callers: OrderCallers, journal: list[dict[str, typing.Any]]
) -> TrialResult:
    """Compare the runs of the upstreams with the results of the callers.

    Args:
        callers: Callers, after all orders.
        journal: Runs of all instances.
    """
    runs: dict[str, int] = {}
    for run in journal:
        if run['key'] in callers.paths:
            runs[run['key']] = runs.get(run['key'], 0) + 1
    results_by_reason: dict[str, int] = {}
    outcomes = dict.fromkeys(callers.paths, 'unknown')
    for result in callers.results:
        label = f'{result.outcome or "nothing"} {result.reason}'.strip()
        results_by_reason[label] = results_by_reason.get(label, 0) + 1
        if result.outcome in ('done', 'not-run'):
            outcomes[result.key] = result.outcome
    not_run = {r.key for r in callers.results if r.outcome == 'not-run'}
    done = [r for r in callers.results if r.outcome == 'done']
    orders_by_outcome: dict[str, int] = {}
    for key, outcome in outcomes.items():
        ran = 'ran' if key in runs else 'did not run'
        label = f'{outcome}, {ran}'
        orders_by_outcome[label] = orders_by_outcome.get(label, 0) + 1
    return TrialResult(
        len(callers.paths),
        sum(runs.values()),
        tuple(key for key, count in runs.items() if count > 1),
        tuple(sorted(not_run & runs.keys())),
        tuple(r.key for r in done if not r.is_expected or r.key not in runs),
        dict(sorted(orders_by_outcome.items())),
        dict(sorted(results_by_reason.items())),
    )


def _reason(body: bytes) -> str:
    for name in (b'"title": "', b'"reason": "'):
        _, found, rest = body.partition(name)
        if found:
            return rest.partition(b'"')[0].decode()
    return ''
