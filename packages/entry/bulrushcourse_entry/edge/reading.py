"""Tasks that keep up with the platform's store."""

import asyncio

import attrs

from bulrushcourse_domain.membership import readers
from bulrushcourse_entry import events
from bulrushcourse_entry.edge import event_log as event_logs
from bulrushcourse_entry.edge import knowledge as knowledges
from bulrushcourse_entry.platform import operator_rows
from bulrushcourse_entry.platform import rows
from bulrushcourse_entry.platform import units
from bulrushcourse_entry.platform import upstream_rows
from bulrushcourse_wire import fleet_messages

# Parts of the time in which a leaving upstream must get nothing new: a
# reader reads this often, the others read when they heard nothing for long.
READ_SHARE = 0.35
STALE_SHARE = 0.6
# A change ends a wait at once; the wait is short since a connection may
# fall silent without notice.
WAIT_FOR_CHANGE_S = 6.0
# The others hear of changes in the readers' reports, several times a second.
RELYING_WAIT_S = 20.0
PAUSE_AFTER_FAILURE_S = 0.5
FIRST_PAUSE_S = 0.1
TICK_S = 0.1


@attrs.define
class Reachability:
    """Reports the loss and return of the store once each.

    Attributes:
        event_log: Where to report.
        reachable: Whether the last call was answered, ``None`` before one.
    """

    event_log: event_logs.EventLog
    reachable: bool | None = None

    def note(self, answered: bool, reason: str = '') -> None:
        """Take over the outcome of a call.

        Args:
            answered: Whether it was answered.
            reason: Why not.
        """
        if answered and self.reachable is False:
            self.event_log.log_change(events.Event.STORE_REACHABLE)
        if not answered and self.reachable is not False:
            self.event_log.log_change(
                events.Event.STORE_UNREACHABLE, reason=reason
            )
        self.reachable = answered


@attrs.define(eq=False)
class OperatorReader:
    """Follows what operators write.

    Attributes:
        store: The platform's store.
        known: What this process believes.
        event_log: Log.
        reachability: Whether the store answers.
        evacuations: Version of the row of each failure domain.
    """

    store: rows.RowStore
    known: knowledges.Knowledge
    event_log: event_logs.EventLog
    reachability: Reachability
    evacuations: dict[str, int] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Follow changes until cancelled."""
        pause = FIRST_PAUSE_S
        while True:
            try:
                await self._follow()
                pause = FIRST_PAUSE_S
            except rows.StoreUnavailable as error:
                self.reachability.note(False, str(error))
                await asyncio.sleep(pause)
                pause = PAUSE_AFTER_FAILURE_S

    async def _follow(self) -> None:
        batch = await self.store.read(operator_rows.TABLE)
        if batch.version < self.known.operators_version:
            raise rows.StoreUnavailable('the store answers with old rows')
        self.reachability.note(True)
        self.evacuations = {}
        self._take(batch)
        after = batch.version
        while True:
            try:
                batch = await self.store.changes(
                    operator_rows.TABLE, after, self._wait_s()
                )
            except rows.HistoryLost:
                return
            self.reachability.note(True)
            after = max(after, batch.version)
            self._take(batch)

    def _wait_s(self) -> float:
        return (
            WAIT_FOR_CHANGE_S if self.known.reads_for_all else RELYING_WAIT_S
        )

    def _take(self, batch: rows.RowBatch) -> None:
        for row in batch.rows:
            domain = operator_rows.evacuated_domain(row.key)
            if row.key == operator_rows.CONFIGURATION_KEY and row.value:
                offer_configuration(self.known, self.event_log, row.value)
            elif domain and row.value is None:
                self.evacuations.pop(domain, None)
            elif domain:
                self.evacuations[domain] = row.version
        offer_evacuations(
            self.known,
            self.event_log,
            batch.version,
            frozenset(self.evacuations),
        )


def offer_configuration(
    known: knowledges.Knowledge, event_log: event_logs.EventLog, value: bytes
) -> None:
    """Put a configuration in force if it is newer and can be read.

    Args:
        known: What this process believes.
        event_log: Log.
        value: Content, from the store or another VM.
    """
    try:
        route_set = operator_rows.decode_configuration(value)
    except units.MalformedValue as error:
        event_log.log_change(
            events.Event.CONFIGURATION_REFUSED, reason=str(error)
        )
        return
    if known.routes.install(route_set):
        known.forget_routes()
        known.configuration = fleet_messages.pack_content(value)
        event_log.log_change(
            events.Event.CONFIGURATION_IN_FORCE,
            version=route_set.version,
            routes=len(route_set.routes),
        )


def offer_evacuations(
    known: knowledges.Knowledge,
    event_log: event_logs.EventLog,
    version: int,
    domains: frozenset[str],
) -> None:
    """Take over the failure domains under evacuation unless it is old news.

    Args:
        known: What this process believes.
        event_log: Log.
        version: Version of the store behind them.
        domains: The failure domains.
    """
    if version < known.operators_version:
        return
    known.operators_version = version
    before = known.upstreams.evacuated
    if domains == before:
        return
    services = known.routes.active.services if known.routes.active else {}
    warmup = max((s.warmup_s for s in services.values()), default=0.0)
    known.upstreams.evacuate(domains, warmup)
    event_log.log_change(
        events.Event.EVACUATION_CHANGED,
        domains=sorted(domains),
        before=sorted(before),
        version=version,
    )


@attrs.define(eq=False)
class UpstreamReader:
    """Reads the upstreams' entries, or relies on a VM that does.

    Attributes:
        store: The platform's store.
        known: What this process believes.
        event_log: Log.
        reachability: Whether the store answers.
        reported: Versions of malformed rows that were logged, by key.
    """

    store: rows.RowStore
    known: knowledges.Knowledge
    event_log: event_logs.EventLog
    reachability: Reachability
    reported: dict[str, bytes | None] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Keep the entries fresh until cancelled."""
        clock = self.known.clock
        drain_s = self.known.settings.bounds.drain_s
        read_at = float('-inf')
        while True:
            self.known.reads_for_all = is_reader(self.known)
            if self.known.reads_for_all:
                due = read_at + drain_s * READ_SHARE
            else:
                heard_at = max(read_at, self.known.upstreams.read_at)
                due = heard_at + drain_s * STALE_SHARE
            pause = due - clock.monotonic()
            if pause > 0:
                await asyncio.sleep(max(pause, TICK_S))
                continue
            read_at = clock.monotonic()
            await self._read()

    async def _read(self) -> None:
        try:
            batch = await self.store.read(upstream_rows.TABLE)
        except rows.StoreUnavailable as error:
            self.known.upstreams.mark_store_unavailable()
            self.reachability.note(False, str(error))
            return
        self.reachability.note(True)
        snapshot = upstream_rows.decode_all(
            batch, self.known.settings.regions, self._report
        )
        for change in self.known.upstreams.apply_snapshot(snapshot):
            self.known.changes.on_next(change)
        if self.known.reads_for_all:
            self.known.readings.on_next(snapshot.version)

    def _report(
        self, row: rows.StoredRow, error: units.MalformedValue
    ) -> None:
        if self.reported.get(row.key, b'') != row.value:
            self.reported[row.key] = row.value
            self.event_log.log_change(
                events.Event.ROW_MALFORMED, row=row.key, reason=str(error)
            )


def is_reader(known: knowledges.Knowledge) -> bool:
    """Return whether this VM reads the upstreams' entries for all.

    Args:
        known: What this process believes.
    """
    found = readers.designate_readers('upstreams', known.fleet.alive())
    return known.settings.vm in found
