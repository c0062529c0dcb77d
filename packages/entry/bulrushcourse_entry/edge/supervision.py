"""Keeps the long-lived tasks of a process at work."""

import asyncio
import traceback
import typing

from bulrushcourse_entry import events
from bulrushcourse_entry.edge import event_log as event_logs

PAUSE_S = 1.0


async def keep_running(
    name: str,
    work: typing.Callable[[], typing.Coroutine[typing.Any, typing.Any, None]],
    event_log: event_logs.EventLog,
    pause_s: float = PAUSE_S,
) -> None:
    """Run work until it ends by itself; start it again after a fault.

    A reader that ended unseen would leave the process with what it knew at
    that time.

    Args:
        name: Name of the work, for the log.
        work: The work.
        event_log: Log.
        pause_s: Time before it is started again, in seconds.
    """
    while True:
        try:
            await work()
            return
        except Exception as error:
            event_log.log_change(
                events.Event.TASK_FAILED,
                task=name,
                kind=type(error).__name__,
                error=traceback.format_exc(limit=-4),
            )
        await asyncio.sleep(pause_s)
