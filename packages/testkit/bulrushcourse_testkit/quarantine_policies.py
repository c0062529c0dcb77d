"""Rules by which requests are quarantined, for their comparison in models."""

import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.quarantine import crashes
from bulrushcourse_domain.quarantine import evidence as evidences
from bulrushcourse_domain.quarantine import fingerprints
from bulrushcourse_domain.quarantine import probes

Verdict = probes.Verdict
Kind = evidences.Kind

VMS = tuple(f'vm-{n}' for n in range(6))


class Ledger(typing.Protocol):
    """What the model asks of a ledger."""

    def admit(self, fingerprint: str, vm: str) -> Verdict:
        """Return whether a request may run."""
        ...

    def record(
        self, fingerprint: str, upstream: str, began_at: float, outcome: str
    ) -> None:
        """Record the outcome of an attempt."""
        ...


@attrs.define
class EarlierLedger:
    """The rules before this decision.

    Two losses quarantine a request for 60 s at each VM that had no response
    to it; resets at once on reused connections count for nothing.

    Attributes:
        clock: Source of time.
        lost_at: Time of the losses by fingerprint and incarnation.
        proven: Fingerprints that got a response.
        unsent: Losses that the other VMs do not know.
    """

    clock: clocks.ManualClock
    lost_at: dict[str, dict[str, float]] = attrs.field(factory=dict)
    proven: set[str] = attrs.field(factory=set)
    unsent: list[tuple[str, str]] = attrs.field(factory=list)

    def admit(self, fingerprint: str, vm: str) -> Verdict:
        """Return whether a request may run."""
        oldest = self.clock.now - 60.0
        lost = self.lost_at.get(fingerprint, {}).values()
        is_bad = sum(at > oldest for at in lost) >= 2
        if is_bad and fingerprint not in self.proven:
            return Verdict.REFUSE
        return Verdict.RUN

    def record(
        self, fingerprint: str, upstream: str, began_at: float, outcome: str
    ) -> None:
        """Record the outcome of an attempt."""
        if outcome == 'answer':
            self.proven.add(fingerprint)
            self.lost_at.pop(fingerprint, None)
        elif outcome == 'lost':
            self.merge((fingerprint, upstream))
            self.unsent.append((fingerprint, upstream))

    def take(self) -> list[tuple[str, str]]:
        """Return and remove what the other VMs do not know."""
        taken, self.unsent = self.unsent, []
        return taken

    def merge(self, loss: tuple[str, str]) -> None:
        """Apply a loss."""
        losses = self.lost_at.setdefault(loss[0], {})
        losses[loss[1]] = self.clock.now


def without_caller(fingerprint: str) -> str:
    """Return the content, which identified a request in earlier versions."""
    return fingerprints.content_of(fingerprint) or fingerprint


def without_content(fingerprint: str) -> str:
    """Return a fingerprint that shows no common content of callers."""
    return fingerprint.replace('.', '~')


@attrs.define
class PresentLedger:
    """The ledger of the product, with parts switched off for comparison.

    Attributes:
        ledger: The ledger.
        without: Kinds of evidence that are not used.
        identify: Returns what identifies a request.
    """

    ledger: crashes.CrashLedger
    without: frozenset[Kind] = frozenset()
    identify: typing.Callable[[str], str] = str

    def admit(self, fingerprint: str, vm: str) -> Verdict:
        """Return whether a request may run."""
        fingerprint = self.identify(fingerprint)
        verdict = self.ledger.admit(fingerprint, vm, lambda: VMS)
        if verdict is Verdict.PROBE:
            if Kind.PROBE in self.without:
                return Verdict.REFUSE
            self.ledger.begin_probe(fingerprint)
        return verdict

    def record(
        self, fingerprint: str, upstream: str, began_at: float, outcome: str
    ) -> None:
        """Record the outcome of an attempt."""
        ledger = self.ledger
        fingerprint = self.identify(fingerprint)
        if outcome != 'answer':
            ledger.record_loss(fingerprint, upstream)
            return
        if Kind.SURVIVAL in self.without:
            upstream = ''
        ledger.record_answer(fingerprint, upstream, began_at)

    def take(self) -> list[evidences.Evidence]:
        """Return and remove what the other VMs do not know."""
        taken = self.ledger.outbox.take(self.ledger.clock.monotonic())
        return [e for e in taken if e.kind not in self.without]

    def merge(self, evidence: evidences.Evidence) -> None:
        """Apply the evidence of another VM."""
        self.ledger.merge(evidence)


Policy = typing.Callable[[clocks.ManualClock], typing.Any]


def _present(
    limit: int,
    *without: Kind,
    identify: typing.Callable[[str], str] = str,
) -> Policy:
    return lambda clock: PresentLedger(
        crashes.CrashLedger(clock, limit), frozenset(without), identify
    )


POLICIES: typing.Mapping[str, Policy] = {
    'before': EarlierLedger,
    '2 losses, clearances, survivals and probes': _present(2),
    '3 losses only': _present(3, Kind.CLEARANCE, Kind.SURVIVAL, Kind.PROBE),
    '3 losses, clearances': _present(3, Kind.SURVIVAL, Kind.PROBE),
    '3 losses, clearances and survivals': _present(3, Kind.PROBE),
    'the same and probes (chosen)': _present(3),
}
# Choices of what counts as one request.
IDENTITIES: typing.Mapping[str, Policy] = {
    'content': _present(3, identify=without_caller),
    'content and caller': _present(3, identify=without_content),
    'the same, contents of three callers (chosen)': _present(3),
}
