"""Long-lived tasks go on after a fault of this program."""

import asyncio

import pytest

from bulrushcourse_domain import clock as clocks
from bulrushcourse_entry import events
from bulrushcourse_entry.edge import event_log as event_logs
from bulrushcourse_entry.edge import supervision


class Recorder(event_logs.EventLog):
    """Event log that keeps what it is told."""

    def log_change(self, event, **fields):
        self.told = [*getattr(self, 'told', ()), (event, fields)]


def test_failed_task_is_reported_and_started_again():
    # Guards against a reader that ends unseen, so that the process serves
    # on with the configuration of that moment.
    outcomes = [KeyError('ver'), TypeError('x'), None]
    event_log = Recorder(clocks.ManualClock())

    async def work():
        outcome = outcomes.pop(0)
        if outcome is not None:
            raise outcome

    asyncio.run(supervision.keep_running('reader', work, event_log, 0.0))
    assert not outcomes
    assert [event for event, _ in event_log.told] == [
        events.Event.TASK_FAILED
    ] * 2
    assert [fields['kind'] for _, fields in event_log.told] == [
        'KeyError',
        'TypeError',
    ]


def test_cancelled_task_ends():
    # Guards against a shutdown that starts its tasks again.
    async def scenario():
        task = asyncio.create_task(
            supervision.keep_running(
                'reader',
                lambda: asyncio.sleep(60),
                Recorder(clocks.ManualClock()),
            )
        )
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(scenario())
