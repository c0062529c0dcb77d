"""Bodies of open requests stay within the memory of a small VM."""

import asyncio

import attrs
import pytest

from bulrushcourse_entry.edge import bodies

MOST = 100


@attrs.frozen
class Content:
    """Pieces of a body as they arrive."""

    pieces: tuple[bytes, ...]

    async def iter_any(self):
        for piece in self.pieces:
            yield piece


@attrs.frozen
class Request:
    """As much of a request as reading its body needs."""

    content: Content
    content_length: int | None = None
    body_exists: bool = True


def read(memory, size, announced=True, limit=1000):
    pieces = tuple(b'x' * 10 for _ in range(size // 10))
    request = Request(Content(pieces), size if announced else None)
    body = bodies.Body(memory)
    return body, asyncio.run(body.read(request, limit))


@pytest.mark.parametrize('announced', [True, False])
def test_bodies_of_a_crowd_stay_within_the_memory(announced):
    # Guards against a VM that is ended for its memory by many uploads.
    memory = bodies.BodyMemory(MOST)
    held = []
    for _ in range(20):
        body, reason = read(memory, 40, announced)
        held.append(body)
        assert reason in ('', bodies.NO_MEMORY)
        assert memory.held <= MOST
    assert sum(body.content != b'' for body in held) == 2
    for body in held:
        body.release()
    assert memory.held == 0


@pytest.mark.parametrize('announced', [True, False])
def test_allowed_body_is_read_even_if_it_is_larger_than_the_memory(announced):
    # Guards against a deployment whose limit on bodies is never reached.
    body, reason = read(bodies.BodyMemory(MOST), 500, announced)
    assert reason == ''
    assert len(body.content) == 500


@pytest.mark.parametrize('announced', [True, False])
def test_body_above_the_limit_is_turned_away(announced):
    memory = bodies.BodyMemory(MOST)
    body, reason = read(memory, 60, announced, limit=50)
    assert reason == bodies.TOO_LARGE
    body.release()
    assert memory.held == 0
