"""Questions about the configuration survive encoding; others are refused."""

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies

from bulrushcourse_wire import configuration_queries
from bulrushcourse_wire import fleet_messages


@given(strategies.integers(0, 1 << 62), strategies.binary(max_size=50))
def test_messages_survive_encoding(version, configuration):
    # Guards against a version or configuration that changes on the way.
    question = configuration_queries.encode_question(version)
    assert configuration_queries.decode_question(question) == version
    answer = configuration_queries.Answer(version, configuration)
    content = configuration_queries.encode_answer(answer)
    assert configuration_queries.decode_answer(content) == answer


def test_other_first_frames_are_no_questions():
    # Guards against reports that are taken for questions.
    assert configuration_queries.decode_question(b'quota-tokens/1') is None
    with pytest.raises(fleet_messages.MalformedReport):
        fleet_messages.decode(configuration_queries.encode_question(1))


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'\xc1',
        msgpack.packb(3),
        msgpack.packb([1]),
        msgpack.packb([-1, b'']),
        msgpack.packb([1, 'text']),
        msgpack.packb([True, b'']),
    ],
)
def test_malformed_messages_raise_one_error(content):
    # Guards against bytes of a faulty VM that end the task that reads them.
    with pytest.raises(configuration_queries.MalformedMessage):
        configuration_queries.decode_answer(content)
    if content != msgpack.packb(3):
        with pytest.raises(configuration_queries.MalformedMessage):
            configuration_queries.decode_question(
                configuration_queries.PREFACE + content
            )
