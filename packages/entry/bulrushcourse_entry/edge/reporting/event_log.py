"""Structured log lines on standard output, rate-limited and non-blocking."""

import collections
import json
import sys
import threading
import time
import typing

import attrs
import logbook

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.quarantine import crashes
from bulrushcourse_domain.upstreams import directory as directories
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_entry import events

# Further lines are dropped and counted.
MAX_QUEUED_LINES = 2000
FLUSH_INTERVAL_S = 0.2


@attrs.define
class LineBudget:
    """Token bucket for one kind of log line.

    Attributes:
        per_s: Tokens added per second.
        burst: Capacity of the bucket.
        tokens: Tokens now; a line costs one.
        refilled_at: Time of the last refill, monotonic seconds.
    """

    per_s: float
    burst: float
    tokens: float = 1.0
    refilled_at: float = 0.0

    def try_acquire(self, now: float) -> bool:
        """Spend a token if there is one, and return whether there was.

        Args:
            now: Monotonic time in seconds.
        """
        refill = max(0.0, now - self.refilled_at) * self.per_s
        self.tokens = min(self.burst, self.tokens + refill)
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class LineWriter(logbook.Handler):
    """Log handler that writes from its own thread.

    Lines go through a bounded queue and are dropped when it is full, so that
    requests are not blocked when nothing reads standard output.
    """

    def __init__(self, stream: typing.TextIO = sys.stdout) -> None:
        super().__init__(level=logbook.INFO, bubble=False)
        self.stream = stream
        self.queue: collections.deque[str] = collections.deque()
        self.dropped = 0
        self.condition = threading.Condition()
        self.closing = False
        self.thread = threading.Thread(target=self._write_lines, daemon=True)
        self.thread.start()

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue a record as a JSON line.

        Args:
            record: The record.
        """
        fields = {
            't': round(time.time(), 3),
            'level': record.level_name.lower(),
            **record.kwargs,
        }
        with self.condition:
            if len(self.queue) >= MAX_QUEUED_LINES:
                self.dropped += 1
                return
            if self.dropped:
                fields['dropped'], self.dropped = self.dropped, 0
            self.queue.append(json.dumps(fields, default=str))
            if len(self.queue) == 1:
                self.condition.notify()

    def close(self) -> None:
        """Write the queued lines and stop the thread."""
        with self.condition:
            self.closing = True
            self.condition.notify()
        self.thread.join(timeout=1.0)

    def _write_lines(self) -> None:
        while True:
            with self.condition:
                while not self.queue and not self.closing:
                    self.condition.wait()
                closing = self.closing
            if not closing:
                # Collects lines so that one write carries many of them.
                time.sleep(FLUSH_INTERVAL_S)
            with self.condition:
                lines = list(self.queue)
                self.queue.clear()
            if lines:
                self.stream.write('\n'.join(lines) + '\n')
                self.stream.flush()
            if closing:
                return


# Limits for one process. Failures and refusals get more lines than successes,
# since they are what users ask about; successes are only sampled.
FAILURE_LINES_PER_S = 20.0
SUCCESS_LINES_PER_S = 1.0
CHANGE_LINES_PER_S = 20.0
# Clients choose how often they exceed limits; lines about it must not suppress
# those about changes.
CLIENT_LINES_PER_S = 2.0


@attrs.define
class EventLog:
    """Writes request outcomes and state changes at a limited rate.

    Attributes:
        clock: Source of time.
        failures: Budget for requests that were not served.
        successes: Budget for requests that were served.
        clients: Budget for clients outside the limits.
        changes: Budget for all other events.
        suppressed: Lines omitted since the last written one.
    """

    clock: clocks.Clock
    failures: LineBudget = attrs.field(
        factory=lambda: LineBudget(FAILURE_LINES_PER_S, 60.0)
    )
    successes: LineBudget = attrs.field(
        factory=lambda: LineBudget(SUCCESS_LINES_PER_S, 5.0)
    )
    clients: LineBudget = attrs.field(
        factory=lambda: LineBudget(CLIENT_LINES_PER_S, 20.0)
    )
    changes: LineBudget = attrs.field(
        factory=lambda: LineBudget(CHANGE_LINES_PER_S, 100.0)
    )
    suppressed: int = 0

    def log_request_outcome(self, served: bool, **fields: typing.Any) -> None:
        """Write the outcome of a request and the inputs of its decisions.

        Args:
            served: Whether an upstream's response was delivered without a
                server error.
            **fields: Details, written as JSON fields.
        """
        if served:
            self._write(self.successes, events.Event.REQUEST_SERVED, fields)
        else:
            self._write(self.failures, events.Event.REQUEST_FAILED, fields)

    def log_change(self, event: events.Event, **fields: typing.Any) -> None:
        """Write a change of the process state.

        Args:
            event: The event.
            **fields: Details, written as JSON fields.
        """
        self._write(self.changes, event, fields)

    def log_client_outside_limits(self, **fields: typing.Any) -> None:
        """Write that a connection was closed or refused for the limits.

        Args:
            **fields: Details, written as JSON fields.
        """
        self._write(self.clients, events.Event.CLIENT_OUTSIDE_LIMITS, fields)

    def log_upstream_change(
        self, change: directories.Change, version: int
    ) -> None:
        """Write a change of an upstream's row.

        Args:
            change: The change.
            version: Store version in which it was found.
        """
        self.log_change(
            events.Event.UPSTREAM_CHANGED,
            upstream=change.upstream.name,
            what=change.kind,
            version=version,
        )

    def log_ban(self, upstream: upstreams.Upstream, pause_s: float) -> None:
        """Write that an upstream asked to be sent nothing.

        Args:
            upstream: The upstream.
            pause_s: Pause that it asked for in seconds, 0 if it is leaving.
        """
        event = (
            events.Event.UPSTREAM_PAUSED
            if pause_s
            else events.Event.UPSTREAM_LEAVING
        )
        self.log_change(
            event, upstream=upstream.incarnation, pause_s=round(pause_s, 2)
        )

    def log_unproven(
        self, upstream: upstreams.Upstream, finding: str, answered_by: str
    ) -> None:
        """Write that an upstream did not prove that it has its address.

        Args:
            upstream: The upstream.
            finding: What was found instead.
            answered_by: Name of the upstream that answered, empty if none.
        """
        self.log_change(
            events.Event.UPSTREAM_UNPROVEN,
            upstream=upstream.name,
            born=upstream.born,
            row=upstream.version,
            address=upstream.address,
            region=upstream.region,
            finding=finding,
            answered_by=answered_by,
        )

    def log_quarantine(self, ledger: crashes.CrashLedger) -> None:
        """Write the requests whose quarantine has begun or ended.

        Args:
            ledger: Evidence about crash-inducing requests.
        """
        for name, begun in ledger.update():
            self.log_change(
                events.Event.REQUEST_QUARANTINED
                if begun
                else events.Event.REQUEST_RELEASED,
                fingerprint=name,
                upstreams=[
                    loss.upstream for loss in ledger.losses.of_name(name)
                ],
            )

    def log_crash_check(self, upstream: str, finding: str) -> None:
        """Write whether an upstream crashed by a request, as far as seen.

        Args:
            upstream: Incarnation of the upstream.
            finding: What the check found.
        """
        self.log_change(
            events.Event.CRASH_CHECKED, upstream=upstream, finding=finding
        )

    def log_room(self, service: str, is_short: bool) -> None:
        """Write that room at a service became short or sufficient.

        Args:
            service: Name of the service.
            is_short: Whether requests find no room.
        """
        self.log_change(
            events.Event.ROOM_CHANGED, service=service, short=is_short
        )

    def _write(
        self,
        budget: LineBudget,
        event: events.Event,
        fields: dict[str, typing.Any],
    ) -> None:
        if not budget.try_acquire(self.clock.monotonic()):
            self.suppressed += 1
            return
        if self.suppressed:
            fields['left_out'], self.suppressed = self.suppressed, 0
        events.write_fields(event, fields)
