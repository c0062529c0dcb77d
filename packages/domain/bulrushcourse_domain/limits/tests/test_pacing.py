"""Guards against short requests that wait behind long ones, and starvation."""

import itertools

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.limits import pacing
from bulrushcourse_domain.limits import rate_window

SHARE = 2_000_000
LONG = 2
SHORT = 1


class Senders:
    """Sends bodies that always have one chunk in the queue."""

    def __init__(self, streams):
        self.clock = clocks.ManualClock()
        window = rate_window.RateWindow(self.clock)
        self.queue = pacing.ChunkQueue(self.clock, window, LONG)
        self.streams = streams
        self.sent = []
        for name, priority in streams.items():
            self.queue.add(pacing.Chunk(name, priority, pacing.CHUNK_BYTES))

    def run_until(self, end):
        while self.clock.now < end:
            for chunk in self.queue.release(SHARE):
                self.sent.append((self.clock.now, chunk))
                if chunk.chunk_id in self.streams:
                    self.queue.add(chunk)
            wait = self.queue.wait_s(SHARE)
            self.clock.advance(min(max(wait, 1e-4), end - self.clock.now))

    def bytes_sent(self, name):
        return sum(
            chunk.size_bytes
            for _, chunk in self.sent
            if chunk.chunk_id == name
        )


def test_uploads_use_at_least_90_percent_of_link():
    senders = Senders({'upload-1': LONG, 'upload-2': LONG})
    senders.run_until(20.0)
    first, second = (senders.bytes_sent(n) for n in senders.streams)
    assert first + second >= 0.9 * SHARE * 20
    assert abs(first - second) <= pacing.CHUNK_BYTES


def test_short_chunk_is_sent_immediately_beside_uploads():
    """Guards against uploads that fill the window."""
    senders = Senders({'upload-1': LONG, 'upload-2': LONG})
    for number in itertools.count():
        due = 2.0 + number * 0.137
        if due > 12.0:
            break
        senders.run_until(due)
        senders.queue.add(pacing.Chunk('list', SHORT, pacing.CHUNK_BYTES))
        released = senders.queue.release(SHARE)
        assert 'list' in [chunk.chunk_id for chunk in released]


def test_uploads_do_not_starve_behind_short_requests():
    senders = Senders({'upload': LONG, 'list-1': SHORT, 'list-2': SHORT})
    senders.run_until(20.0)
    total = sum(chunk.size_bytes for _, chunk in senders.sent)
    assert senders.bytes_sent('upload') >= total / (
        pacing.CHUNKS_PER_LOW_PRIORITY_CHUNK + 1
    )
    assert senders.bytes_sent('upload') <= total / 10


def test_bytes_stay_within_share_in_each_second():
    senders = Senders({'upload': LONG, 'list': SHORT})
    senders.run_until(5.0)
    for start, _ in senders.sent:
        total = sum(
            chunk.size_bytes
            for at, chunk in senders.sent
            if start <= at < start + 1
        )
        assert total <= SHARE


def test_cancelled_chunk_is_not_charged():
    senders = Senders({'upload': LONG})
    senders.queue.cancel('upload')
    assert senders.queue.release(SHARE) == []
    assert senders.queue.window.in_use() == 0
