"""Forwards evidence about crash-inducing requests to the other VMs."""

import attrs

from bulrushcourse_domain.fleet import news
from bulrushcourse_domain.quarantine import evidence as evidences
from bulrushcourse_domain.store import position as positions
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.fleet import stream_cursor
from bulrushcourse_wire import evidence_messages

AgedEvidence = evidence_messages.AgedEvidence


@attrs.define(eq=False)
class EvidenceForwarding:
    """Sends the evidence of this VM and forwards that of others.

    Attributes:
        state: The process state.
        known: Evidence that this VM knows.
    """

    state: process_state.ProcessState
    known: news.News[evidences.Evidence] = attrs.field(factory=news.News)

    def __attrs_post_init__(self) -> None:
        """Withdraw losses whenever the upstreams' rows have been read."""
        self.state.directory_reads.subscribe(self._confirm_survivals)

    def _confirm_survivals(self, _position: positions.Position) -> None:
        upstreams = self.state.upstreams

        def incarnation_of(name: str) -> str | None:
            upstream = upstreams.by_name.get(name)
            is_kept = name in upstreams.expiry.kept_until
            if upstream is None or is_kept or not upstream.born:
                return None
            return upstream.incarnation

        self.state.crash_ledger.confirm_survivals(
            incarnation_of, upstreams.read_at
        )

    def to_send(
        self, cursor: stream_cursor.StreamCursor
    ) -> tuple[AgedEvidence, ...]:
        """Return the evidence for the next report of a stream.

        Args:
            cursor: Cursor of the stream.
        """
        now = self.state.clock.monotonic()
        for evidence in self.state.crash_ledger.outbox.take(now):
            self.known.add(evidence)
        unsent = self.known.since(cursor.evidence)
        cursor.evidence = self.known.latest
        return tuple(
            AgedEvidence(
                evidence.kind,
                evidence.fingerprint,
                evidence.upstream,
                evidence.stamp,
                now - evidence.at,
            )
            for evidence in unsent
            if self.state.crash_ledger.is_current(evidence)
        )

    def apply(
        self, received: tuple[AgedEvidence, ...], is_first_report: bool
    ) -> None:
        """Apply the evidence in a report.

        Args:
            received: The evidence.
            is_first_report: Whether it is the first report of its stream,
                which also carries what the sender learned long ago.
        """
        now = self.state.clock.monotonic()
        for aged in received:
            age_s = aged.age_s
            if age_s is None:
                if is_first_report:
                    continue
                age_s = 0.0
            evidence = evidences.Evidence(
                aged.kind,
                aged.fingerprint,
                aged.upstream,
                aged.stamp,
                now - age_s,
            )
            if self.known.add(evidence):
                self.state.crash_ledger.merge(evidence)
