"""What an attempt was based on, as the log and the operators see it."""

import typing

import attrs

from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.upstreams import connection_tracing


@attrs.define(eq=False)
class AttemptRecord:
    """The row behind an attempt, its age, and who answered.

    Attributes:
        trace: The connection and the upstream that the attempt was sent to.
        rows_version: Store version of the directory at the start.
        rows_age_s: Time since that version was read from the store, in
            seconds.
        outcome: HTTP status or failure, empty until the attempt has ended and
            for one that was cancelled.
    """

    trace: connection_tracing.AttemptTrace
    rows_version: int
    rows_age_s: float
    outcome: str = ''

    def fields(self) -> dict[str, typing.Any]:
        """Return the record as fields of a log line."""
        upstream = self.trace.upstream
        return {
            'upstream': upstream.name,
            'born': upstream.born,
            'row': upstream.version,
            'address': upstream.address,
            'failure_domain': upstream.failure_domain,
            'region': upstream.region,
            'rows_version': self.rows_version,
            'rows_age_ms': round(self.rows_age_s * 1000),
            'kept_connection': self.trace.reused,
            'proof_ms': round(self.trace.proof_s * 1000),
            'answered_by': self.trace.answered_by,
            'outcome': self.outcome or 'cancelled',
        }


def begin(
    state: process_state.ProcessState, trace: connection_tracing.AttemptTrace
) -> AttemptRecord:
    """Return the record of an attempt that starts now.

    Args:
        state: The process state.
        trace: The attempt.
    """
    directory = state.upstreams
    return AttemptRecord(
        trace,
        directory.position.version,
        state.clock.monotonic() - directory.read_at,
    )
