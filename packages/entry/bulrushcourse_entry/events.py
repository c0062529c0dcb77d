"""Numbered log events, which ``docs/EVENTS.md`` lists."""

import enum
import typing

import attrs
import logbook

from bulrushcourse_domain import clock as clocks


class Event(enum.Enum):
    """Events of an entry: number, level, message.

    Numbers are never reused. The first digit is the area: 1 process,
    2 callers, 3 peers, 4 platform, 5 configuration, 6 upstreams, 7 limits,
    8 claims, 9 operators.
    """

    STARTED = (1001, 'info', 'entry started')
    READY = (1002, 'info', 'entry is ready to serve callers')
    STOPPING = (1003, 'info', 'graceful shutdown started')
    STOPPED = (1004, 'info', 'entry stopped')
    RELOADED = (1006, 'info', 'settings reloaded')
    SETTINGS_REFUSED = (1007, 'error', 'settings are invalid')
    TASK_FAILED = (1008, 'error', 'task failed and is restarted')
    SLOW_CHANGED = (1009, 'warning', 'VM became slow or recovered')
    ACCEPT_ENDED = (1010, 'info', 'shutdown closed the listener of callers')
    REQUEST_SERVED = (2001, 'info', 'request served')
    REQUEST_FAILED = (2002, 'info', 'request not served')
    REQUEST_ERROR = (2003, 'error', 'request failed with an internal error')
    CLIENT_OUTSIDE_LIMITS = (
        2004,
        'warning',
        'connection of a client outside the limits closed',
    )
    ROOM_CHANGED = (
        2005,
        'warning',
        'room at a service became short or sufficient',
    )
    REQUEST_CUT = (
        2006,
        'warning',
        'request ended without an answer during a shutdown',
    )
    MEMORY_UNCOUNTED = (
        1011,
        'warning',
        'process takes more memory than its budget counts',
    )
    STOP_FORCED = (1005, 'warning', 'shutdown aborted requests in flight')
    PEER_CONNECTED = (3001, 'info', 'peer stream established')
    PEER_LOST = (3002, 'warning', 'peer stream lost')
    PEER_REFUSED = (3003, 'warning', 'peer stream refused')
    MEMBER_CHANGED = (3004, 'info', 'state of a member changed')
    DIRECTORY_DIVERGED = (
        3007,
        'warning',
        'changes of upstreams from another VM are incomplete',
    )
    ISOLATED = (3005, 'error', 'entry is isolated from the store and peers')
    NOT_ISOLATED = (3006, 'info', 'entry is no longer isolated')
    STORE_UNREACHABLE = (4001, 'warning', 'table service does not answer')
    STORE_REACHABLE = (4002, 'info', 'table service answers again')
    ROW_MALFORMED = (4004, 'warning', 'stored row is malformed')
    VM_ROW_NOT_WRITTEN = (4005, 'warning', 'row of this VM not written')
    STORE_POLL_SUSPECTED = (
        4006,
        'info',
        'call that waits for changes may have gone silent and is repeated',
    )
    STORE_CHANGES_LOST = (
        4007,
        'info',
        'changes of rows are not to be had; the table is read instead',
    )
    STORE_RETURNED = (
        4008,
        'warning',
        'store came back from an earlier copy',
    )
    STORE_SETTLED = (
        4009,
        'info',
        'rows that the store lost count as written again',
    )
    STORE_ANSWER_UNUSED = (
        4010,
        'warning',
        'answer of the store is not used',
    )
    VM_LIST_UNREACHABLE = (4003, 'warning', 'VM list does not answer')
    CONFIGURATION_IN_FORCE = (5001, 'info', 'configuration is active')
    CONFIGURATION_REFUSED = (5002, 'error', 'stored configuration is invalid')
    EVACUATION_CHANGED = (5005, 'info', 'evacuated failure domains changed')
    ACCOUNTS_DEFECTIVE = (
        5006,
        'warning',
        'accounts of the active configuration have defects',
    )
    KEYS_OUTDATED = (
        5007,
        'warning',
        'requests with keys are refused: no proof that the keys still hold',
    )
    KEYS_PROVEN = (5008, 'info', 'requests with keys are served again')
    CONFIGURATION_UNCONFIRMED = (
        5009,
        'warning',
        'VM did not run for a while; its configuration is to be confirmed',
    )
    CONFIGURATION_CONFIRMED = (
        5010,
        'info',
        'configuration is confirmed',
    )
    CONFIGURATION_ASSUMED = (
        5011,
        'warning',
        'configuration could not be confirmed in time and is used',
    )
    CONFIGURATION_DEFECTIVE = (
        5012,
        'error',
        'parts of the active configuration are malformed',
    )
    PUBLISHED = (5003, 'info', 'operator published a configuration')
    PUBLISH_REFUSED = (5004, 'info', 'publish was refused')
    UPSTREAM_FAILED = (6001, 'warning', 'upstream request failed')
    UPSTREAM_LEAVING = (6002, 'info', 'upstream instance is leaving')
    UPSTREAM_RETURNED = (6003, 'info', 'upstream instance serves again')
    UPSTREAM_CHANGED = (6004, 'info', 'upstream changed in the directory')
    UPSTREAM_SET_ASIDE = (6005, 'warning', 'upstream ejected')
    UPSTREAM_PAUSED = (6006, 'info', 'upstream asked for a pause')
    REQUEST_QUARANTINED = (
        6007,
        'warning',
        'request is refused because upstreams were lost while running it',
    )
    REQUEST_RELEASED = (6008, 'info', 'request is no longer refused')
    UPSTREAM_MISDIRECTED = (
        6009,
        'warning',
        'address of an upstream is used by another one',
    )
    UPSTREAM_UNPROVEN = (
        6010,
        'warning',
        'upstream did not prove that it still has its address',
    )
    UPSTREAM_ROW_HELD_BACK = (
        6011,
        'warning',
        'row is older than what is known of its upstream',
    )
    CRASH_CHECKED = (
        6012,
        'info',
        'upstream that ended responses early was checked for a crash',
    )
    POOL_TAKEN = (6101, 'info', 'entry owns a pool')
    POOL_LOST = (6102, 'warning', 'entry no longer owns a pool')
    LEDGER_REFUSED = (7001, 'error', 'stored shares of a limit are invalid')
    PLAN_CHANGED = (7002, 'info', 'state of a plan changed')
    QUOTA_EXCEEDED = (7003, 'info', 'client account is over its quota')
    QUOTA_OWNER_LOST = (
        7004,
        'warning',
        'VM that grants tokens of quotas does not answer',
    )
    OUTCOME_NOT_COPIED = (8001, 'warning', 'outcome not copied to the store')
    OPERATOR_REFUSED = (9001, 'warning', 'operator request not authorized')

    @property
    def number(self) -> int:
        """The event's number."""
        return self.value[0]

    @property
    def level(self) -> str:
        """The event's level."""
        return self.value[1]

    @property
    def message(self) -> str:
        """The event's message."""
        return self.value[2]


LIMITER_INTERVAL_S = 10.0
MAX_EVENTS_PER_INTERVAL = 20


@attrs.define
class EventLimiter:
    """Limits the rate of each event, so that a fault does not flood the log.

    Attributes:
        clock: Source of time.
        windows: Start of the current interval and count in it, by event.
    """

    clock: clocks.Clock
    windows: dict[Event, tuple[float, int]] = attrs.field(factory=dict)

    def admit(self, event: Event) -> tuple[bool, int]:
        """Return whether to log an event and how many were suppressed.

        The number covers the previous interval and is 0 except for the first
        event after it.

        Args:
            event: The event.

        Examples:
            >>> limiter = EventLimiter(clocks.ManualClock())
            >>> admitted = [limiter.admit(Event.PEER_LOST) for _ in range(30)]
            >>> sum(logged for logged, _ in admitted)
            20
        """
        now = self.clock.monotonic()
        start, count = self.windows.get(event, (now, 0))
        suppressed = 0
        if now - start >= LIMITER_INTERVAL_S:
            suppressed = max(0, count - MAX_EVENTS_PER_INTERVAL)
            start, count = now, 0
        self.windows[event] = start, count + 1
        return count < MAX_EVENTS_PER_INTERVAL, suppressed


_LOGGER = logbook.Logger('bulrushcourse')
_LIMITER = EventLimiter(clocks.SystemClock())


def emit(event: Event, **fields: typing.Any) -> None:
    """Write an event to the log unless its rate limit is exceeded.

    Args:
        event: The event.
        **fields: Details, written as ``name=value``.
    """
    admitted, suppressed = _LIMITER.admit(event)
    if not admitted:
        return
    if suppressed:
        fields['left_out'] = suppressed
    details = ' '.join(f'{name}={value!r}' for name, value in fields.items())
    level = logbook.lookup_level(event.level.upper())
    _LOGGER.log(level, f'E{event.number} {event.message} {details}'.rstrip())


def write_fields(event: Event, fields: dict[str, typing.Any]) -> None:
    """Write an event with its details as fields of the log record.

    Unlike ``emit``, it serves log handlers that write structured lines, and
    limits no rate.

    Args:
        event: The event.
        fields: Details.
    """
    level = logbook.lookup_level(event.level.upper())
    _LOGGER.log(
        level,
        event.message,
        event=event.number,
        message=event.message,
        **fields,
    )
