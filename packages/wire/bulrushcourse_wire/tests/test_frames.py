"""Guards against frames that are forged, replayed or malformed."""

import hypothesis
import msgpack
import pytest
from hypothesis import strategies

from bulrushcourse_wire import frames
from bulrushcourse_wire import messages

HEARTBEAT = messages.Heartbeat('serving', 3, True)


@hypothesis.settings(derandomize=True)
@hypothesis.given(strategies.binary(max_size=200))
def test_garbage_raises_only_frame_errors(garbage):
    with pytest.raises(frames.FrameError):
        frames.FrameSealer(b'key').open(garbage)
    try:
        frames.decode_message(garbage)
    except frames.FrameError:
        pass


def test_a_replayed_frame_is_refused():
    sealed = frames.FrameSealer(b'key').seal(b'payload')
    opener = frames.FrameSealer(b'key')
    body = sealed[frames.HEADER_BYTES :]
    assert opener.open(body) == b'payload'
    with pytest.raises(frames.FrameError):
        opener.open(body)


def test_unknown_fields_and_types_are_ignored():
    fields = msgpack.unpackb(frames.encode_message(HEARTBEAT))
    fields['added_later'] = 1
    assert frames.decode_message(msgpack.packb(fields)) == HEARTBEAT
    fields['t'] = 'added_later'
    assert frames.decode_message(msgpack.packb(fields)) is None


def test_an_oversized_frame_is_refused():
    with pytest.raises(frames.FrameError):
        frames.frame_length(b'\xff\xff\xff\xff')
