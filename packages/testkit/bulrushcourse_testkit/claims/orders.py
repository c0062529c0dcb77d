"""Callers that send orders, re-send them, and note what they are told."""

import asyncio
import hashlib
import random
import typing

import aiohttp
import attrs

from bulrushcourse_testkit import cluster as clusters

DEADLINE_MS = 2500
CALL_LIMIT_S = 4.0
MAX_SENDS = 5
# Part of the sends whose caller closes the connection early.
LEAVING_SHARE = 0.1
AGAIN_SHARE = 0.1
LEAVE_AFTER_S = (0.005, 0.06)
BIG_SHARE = 0.05
BIG_BYTES = 150_000
WORK_MS = 15


@attrs.frozen
class Note:
    """What a caller was told by one send or question.

    Attributes:
        key: Idempotency key.
        outcome: One of the three outcomes, empty if it was told nothing.
        whole: Whether a ``done`` answer was the answer of this order.
        reason: Title of the problem details, empty for an answer.
        first: Whether this was the first send of the key.
    """

    key: str
    outcome: str
    whole: bool
    reason: str
    first: bool


@attrs.define(eq=False)
class OrderCallers:
    """Callers of a cluster.

    Attributes:
        cluster: The cluster.
        service: Service that must not repeat work.
        random: Source of choices.
        notes: All that callers were told.
        paths: Path of the order by key.
        issued_share: Part of the orders that use issued keys.
        leaving_share: Part of the sends that are given up early.
        again_share: Part of the told callers that send again.
        no_key: Times that an entry did not give a key.
    """

    cluster: clusters.Cluster
    service: str
    random: random.Random
    notes: list[Note] = attrs.field(factory=list)
    paths: dict[str, str] = attrs.field(factory=dict)
    issued_share: float = 0.5
    leaving_share: float = LEAVING_SHARE
    again_share: float = AGAIN_SHARE
    no_key: int = 0

    async def run(self, number: int, workers: int, pause_s: float) -> None:
        """Send orders until a number of them is over.

        Args:
            number: Number of orders.
            workers: Orders that are sent at a time.
            pause_s: Pause of a worker after an order.
        """
        waiting = iter(range(number))

        async def work() -> None:
            for order in waiting:
                await self.order(order)
                await asyncio.sleep(pause_s)

        await asyncio.gather(*(work() for _ in range(workers)))

    async def order(self, number: int) -> None:
        """Send one order until its outcome is known or sends run out.

        Args:
            number: Number of the order.
        """
        entry = self.random.choice(self.cluster.entry_names)
        key = f'order-{number}'
        if self.random.random() < self.issued_share:
            key = await self.take_key(entry)
            for _ in range(MAX_SENDS):
                if key:
                    break
                self.no_key += 1
                entry = self.random.choice(self.cluster.entry_names)
                key = await self.take_key(entry)
            if not key:
                return
        size = BIG_BYTES if self.random.random() < BIG_SHARE else 64
        path = f'/order/{number}?work_ms={WORK_MS}&size={size}'
        self.paths[key] = path
        for send in range(MAX_SENDS):
            note = await self.send(entry, key, path, first=send == 0)
            self.notes.append(note)
            # Some callers send again although they were told.
            if note.outcome in ('done', 'not-run'):
                if self.random.random() >= self.again_share:
                    return
            entry = self.random.choice(self.cluster.entry_names)

    async def take_key(self, entry: str) -> str:
        """Return a new key of an entry, empty if there is none.

        Args:
            entry: Name of the entry.
        """
        url = self._url(entry, 'keys?count=1')
        try:
            async with asyncio.timeout(CALL_LIMIT_S):
                async with self.cluster.session.post(url) as response:
                    if response.status != 201:
                        return ''
                    return (await response.json())['keys'][0]
        except (aiohttp.ClientError, TimeoutError):
            return ''

    async def send(self, entry: str, key: str, path: str, first: bool) -> Note:
        """Send an order once.

        Args:
            entry: Name of the entry.
            key: Idempotency key.
            path: Path of the order.
            first: Whether the key was never sent before.
        """
        limit_s = CALL_LIMIT_S
        if self.random.random() < self.leaving_share:
            limit_s = self.random.uniform(*LEAVE_AFTER_S)
        headers = {
            'Idempotency-Key': key,
            'Bulrushcourse-Deadline-Ms': str(DEADLINE_MS),
        }
        return await self._call(
            'POST', entry, path.lstrip('/'), key, limit_s, headers, first
        )

    async def ask(self, entry: str, key: str) -> Note:
        """Ask for the outcome of an order.

        Args:
            entry: Name of the entry.
            key: Idempotency key.
        """
        path = f'outcomes/{key}'
        return await self._call('GET', entry, path, key, CALL_LIMIT_S, {})

    async def _call(
        self,
        method: str,
        entry: str,
        path: str,
        key: str,
        limit_s: float,
        headers: dict[str, str],
        first: bool = False,
    ) -> Note:
        data = key.encode() if method == 'POST' else None
        try:
            async with asyncio.timeout(limit_s):
                async with self.cluster.session.request(
                    method, self._url(entry, path), headers=headers, data=data
                ) as response:
                    body = await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            return Note(key, '', False, type(error).__name__, first)
        outcome = response.headers.get('Bulrushcourse-Outcome', '')
        whole = outcome == 'done' and body == self.expected(key)
        reason = '' if outcome == 'done' else _reason(body)
        return Note(key, outcome, whole, reason, first)

    def expected(self, key: str) -> bytes:
        """Return the answer that the run of a key gives.

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
class Verdict:
    """Comparison of what ran with what callers were told.

    Attributes:
        orders: Orders that were sent.
        runs: Runs in the journal.
        ran_twice: Keys that ran more than once.
        false_not_run: Keys that ran and of which ``not-run`` was told.
        wrong_answers: Sends that got an answer of no or another run.
        final: Number of orders by the best outcome that was told.
        reply: Number of sends by outcome and reason.
    """

    orders: int
    runs: int
    ran_twice: tuple[str, ...]
    false_not_run: tuple[str, ...]
    wrong_answers: tuple[str, ...]
    final: dict[str, int]
    reply: dict[str, int]

    @property
    def holds(self) -> bool:
        """Whether no promise was broken."""
        return not (self.ran_twice or self.false_not_run or self.wrong_answers)


def judge(
    callers: OrderCallers, journal: list[dict[str, typing.Any]]
) -> Verdict:
    """Compare the journal of the upstreams with what callers were told.

    Args:
        callers: The callers, all orders over.
        journal: Runs of all instances.
    """
    runs: dict[str, int] = {}
    for run in journal:
        if run['key'] in callers.paths:
            runs[run['key']] = runs.get(run['key'], 0) + 1
    reply: dict[str, int] = {}
    best = dict.fromkeys(callers.paths, 'unknown')
    for note in callers.notes:
        label = f'{note.outcome or "nothing"} {note.reason}'.strip()
        reply[label] = reply.get(label, 0) + 1
        if note.outcome in ('done', 'not-run'):
            best[note.key] = note.outcome
    not_run = {n.key for n in callers.notes if n.outcome == 'not-run'}
    done = [n for n in callers.notes if n.outcome == 'done']
    final: dict[str, int] = {}
    for key, outcome in best.items():
        ran = 'ran' if key in runs else 'did not run'
        label = f'{outcome}, {ran}'
        final[label] = final.get(label, 0) + 1
    return Verdict(
        len(callers.paths),
        sum(runs.values()),
        tuple(key for key, count in runs.items() if count > 1),
        tuple(sorted(not_run & runs.keys())),
        tuple(n.key for n in done if not n.whole or n.key not in runs),
        dict(sorted(final.items())),
        dict(sorted(reply.items())),
    )


def _reason(body: bytes) -> str:
    for name in (b'"title": "', b'"reason": "'):
        _, found, rest = body.partition(name)
        if found:
            return rest.partition(b'"')[0].decode()
    return ''
