"""Answers of upstreams after losses, until they prove anything.

The load that it answers: upstreams that restart under their names, beside
some whose connections were only cut.
"""

import typing

import attrs

# An upstream that restarted under its name writes its row within this time.
# One whose row is read later and shows the same start did not restart.
RESTART_VISIBLE_S = 2.0
# The VM that observed a loss tells the others first that the upstream
# survived. They do so only if it has not by then.
OTHERS_DELAY_S = 2.0


@attrs.frozen
class Answer:
    """An answer of an upstream after a loss.

    Attributes:
        began_at: When the request was sent, in monotonic seconds.
        confirm_at: Time from which a read of the upstream's row shows whether
            it had restarted before.
    """

    began_at: float
    confirm_at: float


@attrs.define
class Survivals:
    """Upstreams that answered and may have restarted before.

    Attributes:
        answers: First answer after a loss, by incarnation of the upstream.
    """

    answers: dict[str, Answer] = attrs.field(factory=dict)

    def record(self, upstream: str, began_at: float, is_own: bool) -> None:
        """Record an answer unless there is an earlier one.

        Args:
            upstream: Incarnation of the upstream, as this VM knew it.
            began_at: When the request was sent, in monotonic seconds.
            is_own: Whether this VM observed the loss.
        """
        delay_s = RESTART_VISIBLE_S + (0.0 if is_own else OTHERS_DELAY_S)
        self.answers.setdefault(upstream, Answer(began_at, began_at + delay_s))

    def forget(self, upstream: str) -> None:
        """Forget the answer of an upstream, which has nothing to disprove.

        Args:
            upstream: Its incarnation.
        """
        self.answers.pop(upstream, None)

    def take_confirmed(
        self,
        incarnation_of: typing.Callable[[str], str | None],
        read_at: float,
    ) -> list[tuple[str, float]]:
        """Return and remove the upstreams that have not restarted.

        Args:
            incarnation_of: Returns the incarnation in an upstream's row by
                name, ``None`` without a row or if it states no start.
            read_at: When the rows were read, in monotonic seconds.

        Returns:
            Incarnations, each with the time from which it is known to have
            been alive.
        """
        confirmed = []
        for upstream, answer in list(self.answers.items()):
            if incarnation_of(upstream.rpartition('@')[0]) != upstream:
                del self.answers[upstream]
            elif read_at > answer.confirm_at:
                del self.answers[upstream]
                confirmed.append((upstream, answer.began_at))
        return confirmed
