"""Bodies of open requests stay within the memory of a small VM."""

import asyncio
import math

import attrs
import pytest

from bulrushcourse_domain.resources import memory as memories
from bulrushcourse_entry.edge.callers import bodies
from bulrushcourse_entry.edge.callers import body_content

MIB = 1 << 20
# Memory for bodies in these tests.
LIMIT_BYTES = 100


@attrs.frozen
class Content:
    """Body content that arrives in chunks."""

    chunks: tuple[bytes, ...]

    async def iter_any(self):
        for chunk in self.chunks:
            yield chunk


@attrs.frozen
class Request:
    """The part of a request that reading its body needs."""

    content: Content
    content_length: int | None = None
    body_exists: bool = True
    headers: dict[str, str] = attrs.field(factory=dict)
    protocol: object = None


def budget_of(bodies_bytes):
    share = memories.BODIES_SHARE * memories.BODY_SHARES[memories.Use.REQUESTS]
    return memories.MemoryBudget(math.ceil(bodies_bytes / share))


def used_bytes(budget):
    return budget.used_bytes[memories.Use.REQUESTS]


def read(budget, size, announced=True, limit=1000):
    chunks = tuple(b'x' * 10 for _ in range(size // 10))
    request = Request(Content(chunks), size if announced else None)
    body = bodies.Body(budget)
    limits = bodies.BodyLimits(limit, 60.0, 60.0)
    return body, asyncio.run(body.read(request, limits))


@pytest.mark.parametrize('announced', [True, False])
def test_concurrent_bodies_stay_within_the_budget(announced):
    # Guards against a process that runs out of memory under many concurrent
    # uploads.
    budget = budget_of(LIMIT_BYTES)
    opened = []
    for _ in range(20):
        body, reason = read(budget, 40, announced)
        opened.append((body, reason))
        assert reason in ('', bodies.NO_MEMORY)
        assert used_bytes(budget) <= LIMIT_BYTES
    assert sum(reason == '' for _, reason in opened) == 2
    del body, opened
    assert used_bytes(budget) == 0


@pytest.mark.parametrize('announced', [True, False])
def test_body_beyond_the_memory_is_refused_also_alone(announced):
    # Guards against one upload that ends a process with little memory.
    budget = budget_of(LIMIT_BYTES)
    body, reason = read(budget, 500, announced)
    assert reason == bodies.NO_MEMORY
    assert used_bytes(budget) <= LIMIT_BYTES


@pytest.mark.parametrize('memory_mb', [200, 300, 552])
def test_largest_body_of_the_agreed_limits_fits(memory_mb):
    # Guards against a configured body limit that can never be used.
    budget = memories.MemoryBudget(memories.traffic_bytes(memory_mb * MIB))
    body, reason = read(budget, 640, limit=64 * MIB)
    assert reason == ''
    del body
    assert budget.try_take(memories.Use.REQUESTS, 64 * MIB)


@pytest.mark.parametrize('announced', [True, False])
def test_body_above_the_limit_is_rejected(announced):
    budget = budget_of(LIMIT_BYTES)
    body, reason = read(budget, 60, announced, limit=50)
    assert reason == bodies.TOO_LARGE
    del body
    assert used_bytes(budget) == 0


def test_stalled_body_is_refused_and_returns_its_share():
    # Guards against uploads that stall and keep memory until the client goes.
    class Stalled:
        async def iter_any(self):
            yield b'x'
            await asyncio.Event().wait()

    budget = budget_of(LIMIT_BYTES)
    body = bodies.Body(budget)
    limits = bodies.BodyLimits(100, 60.0, 0.01)
    reason = asyncio.run(body.read(Request(Stalled(), 50), limits))
    assert reason == bodies.TIMED_OUT
    del body
    assert used_bytes(budget) == 0


def test_body_of_tiny_chunks_is_kept_in_few_parts():
    # Guards against chunks of a byte that take 50 times their size.
    content = body_content.Content()
    for _ in range(200_000):
        content.append(b'x')
    assert len(content) == 200_000
    assert len(content.parts) <= 4
    assert b''.join(content.parts) == b'x' * 200_000
