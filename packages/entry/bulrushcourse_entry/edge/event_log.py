"""Structured log lines on standard output, bounded and never blocking."""

import collections
import json
import sys
import threading
import time
import typing

import attrs
import logbook

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.upstreams import directory as directories
from bulrushcourse_entry import events

# Lines that wait to be written; more are dropped and counted.
MAX_WAITING = 2000
FLUSH_INTERVAL_S = 0.2


@attrs.define
class LineBudget:
    """Token bucket for lines of one importance.

    Attributes:
        per_s: Lines a second.
        burst: Lines that may come at once.
        left: Lines that may be written now.
        at: Time of the last refill.
    """

    per_s: float
    burst: float
    left: float = 1.0
    at: float = 0.0

    def take(self, now: float) -> bool:
        """Return whether a line may be written; if so, it is counted.

        Args:
            now: Time in seconds.
        """
        gained = max(0.0, now - self.at) * self.per_s
        self.left = min(self.burst, self.left + gained)
        self.at = now
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True


class LineWriter(logbook.Handler):
    """Log handler that writes from a thread of its own.

    A reader of standard output that stalls must not hold up requests, so
    lines wait in a bounded queue and are dropped when it is full.
    """

    def __init__(self, stream: typing.TextIO = sys.stdout) -> None:
        super().__init__(level=logbook.INFO, bubble=False)
        self.stream = stream
        self.waiting: collections.deque[str] = collections.deque()
        self.dropped = 0
        self.wake = threading.Condition()
        self.closing = False
        self.thread = threading.Thread(target=self._write, daemon=True)
        self.thread.start()

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue the line of a record.

        Args:
            record: The record.
        """
        fields = {
            't': round(time.time(), 3),
            'level': record.level_name.lower(),
            **record.kwargs,
        }
        with self.wake:
            if len(self.waiting) >= MAX_WAITING:
                self.dropped += 1
                return
            if self.dropped:
                fields['dropped'], self.dropped = self.dropped, 0
            self.waiting.append(json.dumps(fields, default=str))
            if len(self.waiting) == 1:
                self.wake.notify()

    def close(self) -> None:
        """Write what waits and end the thread."""
        with self.wake:
            self.closing = True
            self.wake.notify()
        self.thread.join(timeout=1.0)

    def _write(self) -> None:
        while True:
            with self.wake:
                while not self.waiting and not self.closing:
                    self.wake.wait()
                closing = self.closing
            if not closing:
                # Lines are gathered so that each write carries many.
                time.sleep(FLUSH_INTERVAL_S)
            with self.wake:
                lines = list(self.waiting)
                self.waiting.clear()
            if lines:
                self.stream.write('\n'.join(lines) + '\n')
                self.stream.flush()
            if closing:
                return


# Lines a second of one process by importance. Failures and refusals explain
# complaints and come first; successes are a sample.
FAILURE_LINES_PER_S = 20.0
SUCCESS_LINES_PER_S = 1.0
BELIEF_LINES_PER_S = 20.0


@attrs.define
class EventLog:
    """Writes decisions and changes of belief within a budget.

    Attributes:
        clock: Source of time.
        failures: Budget of requests that were not served.
        successes: Budget of requests that were.
        beliefs: Budget of everything else.
        left_out: Lines that were not written since the last one.
    """

    clock: clocks.Clock
    failures: LineBudget = attrs.field(
        factory=lambda: LineBudget(FAILURE_LINES_PER_S, 60.0)
    )
    successes: LineBudget = attrs.field(
        factory=lambda: LineBudget(SUCCESS_LINES_PER_S, 5.0)
    )
    beliefs: LineBudget = attrs.field(
        factory=lambda: LineBudget(BELIEF_LINES_PER_S, 100.0)
    )
    left_out: int = 0

    def log_decision(self, served: bool, **fields: typing.Any) -> None:
        """Write how a request ended and what decided it.

        Args:
            served: Whether an upstream's answer was delivered.
            **fields: Details.
        """
        if served:
            self._write(self.successes, events.Event.REQUEST_SERVED, fields)
        else:
            self._write(self.failures, events.Event.REQUEST_FAILED, fields)

    def log_change(self, event: events.Event, **fields: typing.Any) -> None:
        """Write a change of what the process believes.

        Args:
            event: What happened.
            **fields: Details.
        """
        self._write(self.beliefs, event, fields)

    def log_upstream_change(
        self, change: directories.Change, version: int
    ) -> None:
        """Write a change of an upstream's entry.

        Args:
            change: The change.
            version: Version of the store that showed it.
        """
        self.log_change(
            events.Event.UPSTREAM_CHANGED,
            upstream=change.upstream.name,
            what=change.kind,
            version=version,
        )

    def _write(
        self,
        budget: LineBudget,
        event: events.Event,
        fields: dict[str, typing.Any],
    ) -> None:
        if not budget.take(self.clock.monotonic()):
            self.left_out += 1
            return
        if self.left_out:
            fields['left_out'], self.left_out = self.left_out, 0
        events.write_fields(event, fields)
