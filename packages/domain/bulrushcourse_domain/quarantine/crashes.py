"""Evidence about crash-inducing requests, over all VMs.

The load that it answers: a request that crashes each upstream that begins to
run it and comes again at any VM, beside connections that are reset although
the upstream lives.
"""

import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.quarantine import counted_losses
from bulrushcourse_domain.quarantine import evidence as evidences
from bulrushcourse_domain.quarantine import fingerprints
from bulrushcourse_domain.quarantine import loss_table
from bulrushcourse_domain.quarantine import outbox as outboxes
from bulrushcourse_domain.quarantine import probe_schedule
from bulrushcourse_domain.quarantine import probes
from bulrushcourse_domain.quarantine import survivals

Evidence = evidences.Evidence
Kind = evidences.Kind
CLEARANCE_MARGIN_S = counted_losses.CLEARANCE_MARGIN_S
MIN_DOWNTIME_S = counted_losses.MIN_DOWNTIME_S


@attrs.define
class CrashLedger:
    """Losses of upstreams while they ran a request, by its fingerprint.

    A loss counts until it is disproved: by a complete response to the same
    request, which a request that crashes every upstream never gets, or by an
    answer of the same process of the upstream. Losses after that count anew.
    A content that lost upstreams for several callers, without a response to
    any, is quarantined for all callers.

    Attributes:
        clock: Source of time.
        loss_limit: Losses that quarantine a request.
        counted: Losses that count.
        answers: Answers after losses that do not prove anything yet.
        schedule: Probes of quarantined requests.
        outbox: Evidence that the other VMs still have to learn.
        quarantined: Fingerprints and contents that were quarantined at the
            last ``update``.
    """

    clock: clocks.Clock
    loss_limit: int = probes.LOSS_LIMIT
    counted: counted_losses.CountedLosses = attrs.field(init=False)
    schedule: probe_schedule.ProbeSchedule = attrs.field(init=False)
    answers: survivals.Survivals = attrs.field(factory=survivals.Survivals)
    outbox: outboxes.Outbox = attrs.field(factory=outboxes.Outbox)
    quarantined: set[str] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Create the parts that share the clock."""
        self.counted = counted_losses.CountedLosses(
            self.clock, self.loss_limit
        )
        self.schedule = probe_schedule.ProbeSchedule(self.clock)

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
        is_repeated = bool(self.losses.of_request(fingerprint))
        if not self.counted.add(loss):
            return
        self.outbox.hold(loss)
        if is_repeated:
            self.outbox.release(fingerprint)

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

    def confirm_survivals(
        self,
        incarnation_of: typing.Callable[[str], str | None],
        read_at: float,
    ) -> None:
        """Withdraw the losses of upstreams that have not restarted since.

        Args:
            incarnation_of: See ``Survivals.take_confirmed``.
            read_at: When the rows were read, in monotonic seconds.
        """
        confirmed = self.answers.take_confirmed(incarnation_of, read_at)
        for upstream, began_at in confirmed:
            survival = attrs.evolve(
                self._observe(Kind.SURVIVAL, '', upstream), at=began_at
            )
            self.merge(survival)
            self.outbox.add(survival)

    def merge(self, evidence: Evidence) -> None:
        """Apply the evidence of another VM; the order makes no difference.

        Args:
            evidence: The evidence.
        """
        _APPLY[evidence.kind](self, evidence)

    def is_current(self, evidence: Evidence) -> bool:
        """Return whether evidence still says something to other VMs.

        Args:
            evidence: The evidence.
        """
        if evidence.kind is Kind.LOSS:
            return self.losses.has(evidence.fingerprint, evidence.upstream)
        return evidence.is_useful(self.clock.monotonic())

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request is quarantined.

        Args:
            fingerprint: What identifies the request.

        Examples:
            >>> ledger = CrashLedger(clocks.ManualClock())
            >>> for upstream in ('a', 'b', 'c'):
            ...     ledger.record_loss('f', upstream)
            >>> ledger.is_quarantined('f')
            True
        """
        return self.counted.is_quarantined(fingerprint)

    def admit(
        self,
        fingerprint: str,
        vm: str,
        members: typing.Callable[[], typing.Iterable[str]],
    ) -> probes.Verdict:
        """Return whether a request may run at this VM.

        Args:
            fingerprint: What identifies the request.
            vm: This VM.
            members: Returns the VMs that are alive.
        """
        verdicts = (
            self.schedule.admit(
                name, self.counted.quarantine(name), vm, members
            )
            for name in fingerprints.names(fingerprint)
        )
        return max(verdicts, key=probes.STRICTNESS.index)

    def begin_probe(self, fingerprint: str) -> None:
        """Record that this VM probes a quarantined request.

        Args:
            fingerprint: What identifies the request.
        """
        for name in fingerprints.names(fingerprint):
            if self.counted.quarantine(name) is not None:
                probe = self._observe(Kind.PROBE, name)
                self.schedule.running.add(name)
                self.merge(probe)
                self.outbox.add(probe)

    def end_probe(self, fingerprint: str) -> None:
        """Record that a probe of this VM has ended.

        Args:
            fingerprint: What identifies the request.
        """
        names = fingerprints.names(fingerprint)
        self.schedule.running.difference_update(names)

    def update(self) -> list[tuple[str, bool]]:
        """Return the names whose quarantine began or ended.

        Returns:
            Each with whether it is quarantined now.
        """
        present = self.counted.quarantined_names()
        changed = present ^ self.quarantined
        self.quarantined = present
        return [(name, name in present) for name in sorted(changed)]

    def _observe(
        self, kind: Kind, fingerprint: str, upstream: str = ''
    ) -> Evidence:
        stamp = int(self.clock.wall().timestamp() * 1000)
        now = self.clock.monotonic()
        return Evidence(kind, fingerprint, upstream, stamp, now, True)

    def _merge_clearance(self, evidence: Evidence) -> None:
        cleared = self.counted.clear(evidence.fingerprint, evidence.at)
        self._withdraw(cleared)

    def _merge_survival(self, evidence: Evidence) -> None:
        self._withdraw(
            self.counted.record_survival(evidence.upstream, evidence.at)
        )
        self._forget_answer(evidence.upstream)

    def _merge_presence(self, evidence: Evidence) -> None:
        self._withdraw(
            self.counted.record_presence(evidence.upstream, evidence.at)
        )
        self._forget_answer(evidence.upstream)

    def _merge_probe(self, evidence: Evidence) -> None:
        self.schedule.probed_at.record(evidence.fingerprint, evidence.at)

    def _forget_answer(self, upstream: str) -> None:
        """Forget an answer if it has nothing left to disprove."""
        if not self.losses.of_upstream(upstream):
            self.answers.forget(upstream)

    def _withdraw(self, losses: typing.Iterable[Evidence]) -> None:
        for loss in losses:
            self.outbox.withdraw(loss)


_APPLY: typing.Mapping[
    Kind, typing.Callable[[CrashLedger, Evidence], typing.Any]
] = {
    Kind.LOSS: lambda ledger, evidence: ledger.counted.add(evidence),
    Kind.CLEARANCE: CrashLedger._merge_clearance,
    Kind.SURVIVAL: CrashLedger._merge_survival,
    Kind.PRESENCE: CrashLedger._merge_presence,
    Kind.PROBE: CrashLedger._merge_probe,
}
