"""Messages of other VMs that take many times their bytes are refused."""

import struct
import tracemalloc

import pytest

from bulrushcourse_wire import configuration_queries
from bulrushcourse_wire import fleet_messages
from bulrushcourse_wire import quota_messages

LISTS = 500_000
# An empty list takes 56 bytes.
MAX_MEMORY_BYTES = LISTS * 56 // 2


@pytest.mark.parametrize(
    ('decode', 'error'),
    (
        (fleet_messages.decode, fleet_messages.MalformedReport),
        (quota_messages.decode_ask, quota_messages.MalformedMessage),
        (quota_messages.decode_answer, quota_messages.MalformedMessage),
        (
            configuration_queries.decode_answer,
            configuration_queries.MalformedMessage,
        ),
    ),
)
def test_message_of_empty_lists(decode, error):
    # Guards against a message of a byte for each list, which takes 64 times
    # its bytes before its fields are checked.
    content = b'\xdd' + struct.pack('>I', LISTS) + b'\x90' * LISTS
    tracemalloc.start()
    try:
        with pytest.raises(error):
            decode(content)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < MAX_MEMORY_BYTES
