"""What this VM observes of requests that may crash upstreams."""

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.quarantine import counted_losses
from bulrushcourse_domain.quarantine import evidence as evidences
from bulrushcourse_domain.quarantine import fingerprints
from bulrushcourse_domain.quarantine import loss_table
from bulrushcourse_domain.quarantine import outbox as outboxes
from bulrushcourse_domain.quarantine import probes
from bulrushcourse_domain.quarantine import survivals
from bulrushcourse_domain.quarantine import unconfirmed_losses

Evidence = evidences.Evidence
Kind = evidences.Kind
MIN_DOWNTIME_S = counted_losses.MIN_DOWNTIME_S


@attrs.define
class ObservedLosses:
    """Losses of upstreams, with what this VM sees and tells the others.

    Attributes:
        clock: Source of time.
        loss_limit: Losses that quarantine a request.
        counted: Losses that count.
        unconfirmed: Losses of this VM that count if a crash is seen.
        answers: Answers after losses that do not prove anything yet.
        outbox: Evidence that the other VMs still have to learn.
    """

    clock: clocks.Clock
    loss_limit: int = probes.LOSS_LIMIT
    counted: counted_losses.CountedLosses = attrs.field(init=False)
    unconfirmed: unconfirmed_losses.UnconfirmedLosses = attrs.field(init=False)
    answers: survivals.Survivals = attrs.field(factory=survivals.Survivals)
    outbox: outboxes.Outbox = attrs.field(factory=outboxes.Outbox)

    def __attrs_post_init__(self) -> None:
        """Create the parts that share the clock."""
        self.counted = counted_losses.CountedLosses(
            self.clock, self.loss_limit
        )
        self.unconfirmed = unconfirmed_losses.UnconfirmedLosses(self.clock)

    @property
    def losses(self) -> loss_table.LossTable:
        """The losses that count."""
        return self.counted.table

    def record_loss(self, fingerprint: str, upstream: str) -> None:
        """Record that this VM lost an upstream while it ran a request.

        Args:
            fingerprint: What identifies the request.
            upstream: Incarnation of the upstream.
        """
        loss = self._observe(Kind.LOSS, fingerprint, upstream)
        self._count(loss)
        for other in self.unconfirmed.take_simultaneous(upstream, loss.at):
            self._count(other)

    def _count(self, loss: Evidence) -> None:
        is_repeated = bool(self.losses.of_request(loss.fingerprint))
        if not self.counted.add(loss):
            return
        self.outbox.hold(loss)
        if is_repeated:
            self.outbox.release(loss.fingerprint)

    def record_possible_loss(self, fingerprint: str, upstream: str) -> bool:
        """Record an attempt by which the upstream may have crashed.

        Args:
            fingerprint: What identifies the request.
            upstream: Incarnation of the upstream.

        Returns:
            Whether it matters if the upstream has crashed, since the request
            may have lost another one before.
        """
        loss = self._observe(Kind.LOSS, fingerprint, upstream)
        if self.counted.is_cleared(loss):
            # As the attempt of a hedged request that another one has ended.
            return False
        moment = loss.at - unconfirmed_losses.SAME_MOMENT_S
        if any(e.at >= moment for e in self.losses.of_upstream(upstream)):
            self._count(loss)
            return False
        self.unconfirmed.add(loss)
        lost = {
            entry.upstream
            for table in (self.losses, self.unconfirmed.table)
            for entry in table.of_request(fingerprint)
        }
        return len(lost) > 1

    def record_end(self, upstream: str) -> None:
        """Record that the process of an upstream has ended.

        Args:
            upstream: Its incarnation.
        """
        for loss in self.unconfirmed.take_ended(upstream):
            self._count(loss)

    def record_restart(self, name: str, incarnation: str) -> None:
        """Record that an upstream has another process than before.

        Args:
            name: Name of the upstream.
            incarnation: Its present incarnation.
        """
        for former in self.unconfirmed.former(name, incarnation):
            self.record_end(former)

    def record_answer(
        self, fingerprint: str, upstream: str, began_at: float
    ) -> None:
        """Record that a request got a complete response.

        Args:
            fingerprint: What identifies the request.
            upstream: Incarnation of the upstream.
            began_at: When the request was sent, in monotonic seconds.
        """
        content = fingerprints.content_of(fingerprint)
        # One caller's losses do not concern the others.
        concerns_others = (
            len(self.losses.by_content.get(content, ())) > 1
            and self.counted.of_content(content) != []
        )
        losses = self.counted.clear(fingerprint, self.clock.monotonic())
        self.unconfirmed.table.discard(fingerprint)
        known = [self.outbox.withdraw(loss) for loss in losses]
        if any(known):
            self.outbox.add(self._observe(Kind.CLEARANCE, fingerprint))
        elif concerns_others:
            self.outbox.add(self._observe(Kind.CLEARANCE, content))
        self.record_alive(upstream, began_at)

    def record_alive(self, upstream: str, began_at: float) -> None:
        """Record that an upstream answered a request.

        Args:
            upstream: Incarnation of the upstream, as this VM knew it.
            began_at: When the request was sent, in monotonic seconds.
        """
        now = self.clock.monotonic()
        self.unconfirmed.refute(upstream, now - MIN_DOWNTIME_S, began_at)
        is_urgent = False
        for loss in self.losses.of_upstream(upstream):
            if loss.at >= began_at:
                continue
            is_known = True
            if now - loss.at <= MIN_DOWNTIME_S:
                others = len(self.losses.of_request(loss.fingerprint)) - 1
                self.losses.remove(loss)
                is_known = self.outbox.withdraw(loss)
                is_urgent |= is_known and (loss.is_own or others > 0)
            if is_known:
                self.answers.record(upstream, began_at, loss.is_own)
        if is_urgent:
            presence = self._observe(Kind.PRESENCE, '', upstream)
            self.outbox.add(attrs.evolve(presence, at=began_at))
            self._forget_answer(upstream)

    def _observe(
        self, kind: Kind, fingerprint: str, upstream: str = ''
    ) -> Evidence:
        stamp = int(self.clock.wall().timestamp() * 1000)
        now = self.clock.monotonic()
        return Evidence(kind, fingerprint, upstream, stamp, now, True)

    def _forget_answer(self, upstream: str) -> None:
        """Forget an answer if it has nothing left to disprove."""
        if not self.losses.of_upstream(upstream):
            self.answers.forget(upstream)
