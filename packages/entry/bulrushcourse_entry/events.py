"""Numbered log events; ``docs/EVENTS.md`` is their catalogue."""

import enum
import typing

import attrs
import logbook

from bulrushcourse_domain import clock as clocks


class Event(enum.Enum):
    """Events of an entry: number, level, message.

    Numbers are never reused. The first digit names the part: 1 process,
    2 callers, 3 peers, 4 platform, 5 configuration, 6 upstreams, 7 limits,
    8 claims, 9 operators.
    """

    STARTED = (1001, 'info', 'entry started')
    READY = (1002, 'info', 'entry is ready to serve callers')
    STOPPING = (1003, 'info', 'graceful shutdown started')
    STOPPED = (1004, 'info', 'entry stopped')
    RELOADED = (1006, 'info', 'settings were read again')
    SETTINGS_REFUSED = (1007, 'error', 'settings are not usable')
    TASK_FAILED = (1008, 'error', 'task failed and is started again')
    REQUEST_SERVED = (2001, 'info', 'request served')
    REQUEST_FAILED = (2002, 'info', 'request not served')
    REQUEST_ERROR = (2003, 'error', 'request ended by a fault of this program')
    STOP_FORCED = (1005, 'warning', 'shutdown cut off requests in flight')
    PEER_CONNECTED = (3001, 'info', 'peer stream established')
    PEER_LOST = (3002, 'warning', 'peer stream lost')
    PEER_REFUSED = (3003, 'warning', 'peer stream refused')
    MEMBER_CHANGED = (3004, 'info', 'state of a member changed')
    ISOLATED = (3005, 'error', 'entry is cut off from the store and its peers')
    NOT_ISOLATED = (3006, 'info', 'entry is no longer cut off')
    STORE_UNREACHABLE = (4001, 'warning', 'table service does not answer')
    STORE_REACHABLE = (4002, 'info', 'table service answers again')
    ROW_MALFORMED = (4004, 'warning', 'stored row cannot be read')
    VM_ROW_NOT_WRITTEN = (4005, 'warning', 'entry of this VM not written')
    VM_LIST_UNREACHABLE = (4003, 'warning', 'list of VMs does not answer')
    CONFIGURATION_IN_FORCE = (5001, 'info', 'configuration is in force')
    CONFIGURATION_REFUSED = (5002, 'error', 'stored configuration is invalid')
    EVACUATION_CHANGED = (5005, 'info', 'failure domains under evacuation')
    PUBLISHED = (5003, 'info', 'operator published a configuration')
    PUBLISH_REFUSED = (5004, 'info', 'publish was refused')
    UPSTREAM_FAILED = (6001, 'warning', 'upstream request failed')
    UPSTREAM_LEAVING = (6002, 'info', 'upstream instance is leaving')
    UPSTREAM_RETURNED = (6003, 'info', 'upstream instance serves again')
    UPSTREAM_CHANGED = (6004, 'info', 'entry of an upstream changed')
    UPSTREAM_SET_ASIDE = (6005, 'warning', 'upstream set aside')
    POOL_TAKEN = (6101, 'info', 'entry owns a pool')
    POOL_LOST = (6102, 'warning', 'entry no longer owns a pool')
    LEDGER_REFUSED = (7001, 'error', 'stored shares of a limit are invalid')
    PLAN_CHANGED = (7002, 'info', 'plan has changed its state')
    OUTCOME_NOT_COPIED = (8001, 'warning', 'outcome not copied to the store')
    OPERATOR_REFUSED = (9001, 'warning', 'operator request without token')

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


LIMIT_INTERVAL_S = 10.0
LIMIT_PER_INTERVAL = 20


@attrs.define
class EventLimiter:
    """Bounds how often one event is logged, so that faults cause no flood.

    Attributes:
        clock: Source of time.
        windows: Start of the interval and count, by event.
    """

    clock: clocks.Clock
    windows: dict[Event, tuple[float, int]] = attrs.field(factory=dict)

    def admit(self, event: Event) -> tuple[bool, int]:
        """Return whether to log an event and how many were left out.

        Args:
            event: What happened.

        Examples:
            >>> limiter = EventLimiter(clocks.ManualClock())
            >>> admitted = [limiter.admit(Event.PEER_LOST) for _ in range(30)]
            >>> sum(logged for logged, _ in admitted)
            20
        """
        now = self.clock.monotonic()
        start, count = self.windows.get(event, (now, 0))
        left_out = 0
        if now - start >= LIMIT_INTERVAL_S:
            left_out = max(0, count - LIMIT_PER_INTERVAL)
            start, count = now, 0
        self.windows[event] = start, count + 1
        return count < LIMIT_PER_INTERVAL, left_out


_LOGGER = logbook.Logger('bulrushcourse')
_LIMITER = EventLimiter(clocks.SystemClock())


def emit(event: Event, **fields: typing.Any) -> None:
    """Write an event to the log unless it came too often.

    Args:
        event: What happened.
        **fields: Details, written as ``name=value``.
    """
    logged, left_out = _LIMITER.admit(event)
    if not logged:
        return
    if left_out:
        fields['left_out'] = left_out
    details = ' '.join(f'{name}={value!r}' for name, value in fields.items())
    level = logbook.lookup_level(event.level.upper())
    _LOGGER.log(level, f'E{event.number} {event.message} {details}'.rstrip())


def write_fields(event: Event, fields: dict[str, typing.Any]) -> None:
    """Write an event as named fields, for handlers of structured lines.

    Args:
        event: What happened.
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
