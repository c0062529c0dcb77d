"""Evidence about crash-inducing requests, over all VMs.

The load that it answers: a request that crashes each upstream that begins to
run it and comes again at any VM, beside connections that are reset although
the upstream lives.
"""

import typing

import attrs

from bulrushcourse_domain.quarantine import counted_losses
from bulrushcourse_domain.quarantine import evidence as evidences
from bulrushcourse_domain.quarantine import fingerprints
from bulrushcourse_domain.quarantine import observed_losses
from bulrushcourse_domain.quarantine import probe_schedule
from bulrushcourse_domain.quarantine import probes

Evidence = evidences.Evidence
Kind = evidences.Kind
CLEARANCE_MARGIN_S = counted_losses.CLEARANCE_MARGIN_S
MIN_DOWNTIME_S = counted_losses.MIN_DOWNTIME_S


@attrs.define
class CrashLedger(observed_losses.ObservedLosses):
    """Losses of upstreams while they ran a request, by its fingerprint.

    A loss counts until it is disproved: by a complete response to the same
    request, which a request that crashes every upstream never gets, or by an
    answer of the same process of the upstream. Losses after that count anew.
    A content that lost upstreams for several callers, without a response to
    any, is quarantined for all callers.

    Attributes:
        schedule: Probes of quarantined requests.
        quarantined: Fingerprints and contents that were quarantined at the
            last ``update``.
    """

    schedule: probe_schedule.ProbeSchedule = attrs.field(
        default=attrs.Factory(
            lambda self: probe_schedule.ProbeSchedule(self.clock),
            takes_self=True,
        )
    )
    quarantined: set[str] = attrs.field(factory=set)

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
            >>> from bulrushcourse_domain import clock
            >>> ledger = CrashLedger(clock.ManualClock())
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
