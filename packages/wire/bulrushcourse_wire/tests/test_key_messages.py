"""Guards against changes to forwarded requests and answers on the wire."""

from bulrushcourse_wire import frames
from bulrushcourse_wire import key_messages


def test_requests_and_answers_survive_a_round_trip():
    """Guards against bodies or headers altered on a stream."""
    forward = key_messages.KeyForward(
        'x1', 'orders', 'ik1~', 'd', False, 900, 'short', 'POST', '/o?a=%20',
        {'X-A': 'b'}, bytes(range(256)),
    )  # fmt: skip
    answer = key_messages.KeyAnswer(
        'x1', 'done', '', 200, [('Set-Cookie', 'a'), ('Set-Cookie', 'b')],
        bytes(range(256)),
    )  # fmt: skip
    for message in (forward, answer):
        assert frames.decode_message(frames.encode_message(message)) == message
