"""Reading of the upstreams' rows."""

import asyncio
import random

from bulrushcourse_domain import clock as clocks
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge import settings as edge_settings
from bulrushcourse_entry.edge.store import store_readers
from bulrushcourse_entry.platform import rows

ROWS = 3


class ChangingStore:
    """A store with other malformed rows at each read."""

    def __init__(self):
        self.version = 0

    async def read(self, _table):
        self.version += 1
        return rows.RowBatch(
            self.version,
            tuple(
                rows.StoredRow(f'{self.version}.{n}', b'odd', self.version)
                for n in range(ROWS)
            ),
        )


class EventLog:
    def __init__(self):
        self.events = []

    def log_change(self, event, **fields):
        self.events.append((event, fields))


def make_reader():
    settings = edge_settings.EdgeSettings(
        'vm-1', 'r', 'd', '127.0.0.1:1', '127.0.0.1:2', peers='127.0.0.1:3'
    )
    state = process_state.build_state(
        settings, clocks.ManualClock(100.0), random.Random(1)
    )
    log = EventLog()
    return store_readers.UpstreamReader(
        ChangingStore(), state, log, store_readers.StoreReachability(log)
    )


def test_malformed_rows_that_are_gone_are_forgotten():
    # Guards against memory that grows with each malformed row of another
    # writer that has ever been read.
    reader = make_reader()
    for _ in range(100):
        asyncio.run(reader._read())
    assert len(reader.event_log.events) == 100 * ROWS
    assert len(reader.logged_rows) == ROWS
