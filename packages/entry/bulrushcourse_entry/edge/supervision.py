"""Supervision of the long-lived tasks of a process."""

import asyncio
import traceback
import typing

from bulrushcourse_entry import events
from bulrushcourse_entry.edge.reporting import event_log as event_logs

RESTART_PAUSE_S = 1.0


async def keep_running(
    name: str,
    run: typing.Callable[[], typing.Coroutine[typing.Any, typing.Any, None]],
    event_log: event_logs.EventLog,
    pause_s: float = RESTART_PAUSE_S,
) -> None:
    """Run a task until it returns, and restart it after an exception.

    If a task that reads the store stopped unnoticed, the process would keep
    using outdated state.

    Args:
        name: Name of the task, for the log.
        run: The task.
        event_log: Log.
        pause_s: Delay before a restart in seconds.
    """
    while True:
        try:
            await run()
            return
        except Exception as error:
            event_log.log_change(
                events.Event.TASK_FAILED,
                task=name,
                kind=type(error).__name__,
                error=traceback.format_exc(limit=-4),
            )
        await asyncio.sleep(pause_s)
