"""Guards against short work that waits behind long work, and starvation."""

import itertools

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.limits import pacing
from bulrushcourse_domain.limits import rate_window

SHARE = 2_000_000
LONG = 2
SHORT = 1


class Senders:
    """Bodies that always have one chunk in the queue."""

    def __init__(self, streams):
        self.clock = clocks.ManualClock()
        window = rate_window.RateWindow(self.clock)
        self.queue = pacing.ChunkQueue(self.clock, window, LONG)
        self.streams = streams
        self.flowed = []
        for name, priority in streams.items():
            self.queue.add(pacing.Chunk(name, priority, pacing.CHUNK_BYTES))

    def run_until(self, end):
        while self.clock.now < end:
            for chunk in self.queue.release(SHARE):
                self.flowed.append((self.clock.now, chunk))
                if chunk.chunk_id in self.streams:
                    self.queue.add(chunk)
            wait = self.queue.wait_s(SHARE)
            self.clock.advance(min(max(wait, 1e-4), end - self.clock.now))

    def bytes_of(self, name):
        return sum(p.size for _, p in self.flowed if p.chunk_id == name)


def test_uploads_use_nine_tenths_of_link():
    senders = Senders({'upload-1': LONG, 'upload-2': LONG})
    senders.run_until(20.0)
    first, second = (senders.bytes_of(n) for n in senders.streams)
    assert first + second >= 0.9 * SHARE * 20
    assert abs(first - second) <= pacing.CHUNK_BYTES


def test_short_chunk_flows_at_once_beside_uploads():
    """Guards against a window that uploads have filled."""
    senders = Senders({'upload-1': LONG, 'upload-2': LONG})
    for number in itertools.count():
        due = 2.0 + number * 0.137
        if due > 12.0:
            break
        senders.run_until(due)
        senders.queue.add(pacing.Chunk('list', SHORT, pacing.CHUNK_BYTES))
        released = senders.queue.release(SHARE)
        assert 'list' in [chunk.chunk_id for chunk in released]


def test_uploads_do_not_starve_behind_short_work():
    senders = Senders({'upload': LONG, 'list-1': SHORT, 'list-2': SHORT})
    senders.run_until(20.0)
    total = sum(chunk.size for _, chunk in senders.flowed)
    assert senders.bytes_of('upload') >= total / (pacing.RELIEF_EVERY + 1)
    assert senders.bytes_of('upload') <= total / 10


def test_bytes_stay_within_share_in_each_second():
    senders = Senders({'upload': LONG, 'list': SHORT})
    senders.run_until(5.0)
    for start, _ in senders.flowed:
        held = sum(p.size for t, p in senders.flowed if start <= t < start + 1)
        assert held <= SHARE


def test_cancelled_chunk_is_not_charged():
    senders = Senders({'upload': LONG})
    senders.queue.cancel('upload')
    assert senders.queue.release(SHARE) == []
    assert senders.queue.window.in_use() == 0
