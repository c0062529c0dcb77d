"""Guards against differences between the event catalogue and the code."""

import pathlib
import re

from bulrushcourse_entry import events

CATALOGUE = pathlib.Path(__file__).parents[4] / 'docs' / 'EVENTS.md'
ROW = re.compile(r'\| (\d+) \| (\w+) \| ([^|]+) \| ([^|]+) \|')


def test_catalogue_lists_exactly_the_events_of_the_code():
    rows = ROW.findall(CATALOGUE.read_text())
    listed = {(int(number), level, text) for number, level, text, _ in rows}
    assert listed == {event.value for event in events.Event}


def test_numbers_are_unique():
    numbers = [event.number for event in events.Event]
    assert len(numbers) == len(set(numbers))


def test_every_event_is_emitted_somewhere():
    """Guards against documented events that are never logged."""
    sources = pathlib.Path(events.__file__).parent.rglob('*.py')
    code = '\n'.join(
        path.read_text() for path in sources if 'tests' not in path.parts
    )
    missing = [e.name for e in events.Event if f'Event.{e.name}' not in code]
    assert missing == []
