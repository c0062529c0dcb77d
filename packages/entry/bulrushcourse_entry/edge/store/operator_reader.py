"""The task that follows the rows that operators write."""

import asyncio
import contextlib
import math
import typing

import attrs

from bulrushcourse_domain.accounts import proof_reads
from bulrushcourse_domain.membership import feed_poll
from bulrushcourse_domain.membership import readers
from bulrushcourse_domain.routes import freshness
from bulrushcourse_domain.store import position as positions
from bulrushcourse_entry import events
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.reporting import event_log as event_logs
from bulrushcourse_entry.edge.store import operator_changes
from bulrushcourse_entry.edge.store import store_readers
from bulrushcourse_entry.platform import operator_rows
from bulrushcourse_entry.platform import rows

# The first call of a VM that has just started is repeated sooner.
INITIAL_RETRY_PAUSE_S = 0.1
# Pause after failed calls while the configuration is to be confirmed. Requests
# wait for it, and other VMs are asked between the calls.
CONFIRMATION_PAUSE_S = 0.3


class OtherVms(typing.Protocol):
    """The other VMs as a source of the configuration."""

    async def ask(self) -> None:
        """Ask some of them for the newest one and apply it."""
        ...


@attrs.define(eq=False)
class OperatorReader:
    """Follows the rows that operators write.

    Attributes:
        store: The platform's store.
        state: The process state.
        event_log: Log.
        reachability: Whether the store answers.
        other_vms: Asked when the store does not answer and the configuration
            has to be confirmed or is known to be outdated.
        proving: Decides how long a call may wait while keys have to be
            proven.
        evacuated: Failure domains with a row, as they were read last.
        configuration_row: Position of the configuration's row, as it was read
            last.
        poll: The call in progress that waits for changes.
        poll_limit: Its time limit, ``None`` without such a call.
        resumed: Set when this process runs again after a pause.
    """

    store: rows.RowStore
    state: process_state.ProcessState
    event_log: event_logs.EventLog
    reachability: store_readers.StoreReachability
    other_vms: OtherVms
    proving: proof_reads.ProofReads = attrs.field(init=False)
    evacuated: set[str] = attrs.field(factory=set)
    configuration_row: positions.Position = positions.START
    poll: feed_poll.FeedPoll | None = None
    poll_limit: asyncio.Timeout | None = None
    resumed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        """Subscribe to what suggests that a call gets no answer."""
        self.proving = proof_reads.ProofReads(
            self.state.key_permission, self.state.rng
        )
        self.state.silent_connection_hints.subscribe(self._suspect)
        self.state.pauses.subscribe(self._resume)
        self.state.store_returns.subscribe(self._resume)
        self.state.store_settled.subscribe(self._settle)

    async def run(self) -> None:
        """Follow changes until cancelled."""
        failures = 0
        losses = 0
        after: positions.Position | None = None
        while True:
            try:
                if after is None:
                    after = await self._read()
                else:
                    after = await self._follow(after)
                    losses = 0
                failures = 0
                if self._is_doubted() and self._needs_other_vms():
                    await self.other_vms.ask()
            except rows.HistoryLost as error:
                after = None
                self.event_log.log_change(
                    events.Event.STORE_CHANGES_LOST, reason=str(error)
                )
                await asyncio.sleep(self._reread_pause_s(error, losses))
                losses += 1
            except rows.StoreUnavailable as error:
                self.reachability.record_error(error)
                if self._needs_other_vms():
                    await self.other_vms.ask()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(self._pause_s(failures)):
                        await self.resumed.wait()
                self.resumed.clear()
                failures += 1

    def _reread_pause_s(self, error: rows.HistoryLost, losses: int) -> float:
        if losses:
            # The table was read just before.
            return store_readers.RETRY_PAUSE_S
        if not isinstance(error, rows.StoreReturned):
            return 0.0
        return readers.reread_pause_s(
            len(self.state.fleet.peers) + 1,
            self.state.is_designated_reader,
            self.state.rng,
        )

    def _is_doubted(self) -> bool:
        """Return whether the stored configuration may be an earlier one.

        Until the operator has written it again, the copy of a store that
        returned does not tell which one is the newest.
        """
        row, store_era = self.configuration_row, self.state.store_era
        return store_era.is_settling() and (
            row.era != store_era.era
            or store_era.may_come_from_copy(row.version)
        )

    def _settle(self, _: None) -> None:
        """Drop evacuations that were not written again; read at once."""
        operator_changes.apply_evacuations(self.state, self.event_log)
        self._resume(None)

    def _needs_other_vms(self) -> bool:
        """Return whether the configuration has to come from other VMs now.

        Heartbeats tell of a newer version and do not contain it.
        """
        state = self.state
        return state.configuration_unconfirmed or state.configuration_behind

    def _resume(self, _: typing.Any) -> None:
        """Read the store at once, since this VM may have missed changes."""
        self.resumed.set()
        if self.poll_limit is not None and not self.poll_limit.expired():
            self.poll_limit.reschedule(asyncio.get_running_loop().time())

    def _pause_s(self, failures: int) -> float:
        state = self.state
        if not failures:
            return INITIAL_RETRY_PAUSE_S
        if state.configuration_unconfirmed:
            return CONFIRMATION_PAUSE_S
        # Only proofs make all VMs read, instead of waiting for changes.
        if not state.keys_must_be_current:
            return store_readers.RETRY_PAUSE_S
        return feed_poll.retry_pause_s(
            failures - 1,
            state.settings.bounds.reconnect_s,
            state.is_designated_reader,
            state.rng,
        )

    async def _read(self) -> positions.Position:
        """Read and apply all rows; return their position."""
        batch = await self.store.read(operator_rows.TABLE)
        if batch.position < self.state.operators_position:
            raise rows.OutdatedAnswer('store returned outdated rows')
        self.reachability.record_call(True)
        self.evacuated = set()
        self._apply(batch)
        self._record_proof(batch)
        return batch.position

    async def _follow(self, after: positions.Position) -> positions.Position:
        """Wait for changes and apply them; return the position after them."""
        self.poll = feed_poll.FeedPoll(
            self.state.clock.monotonic(),
            self.state.settings.bounds.reconnect_s,
            self.state.is_designated_reader,
            self._longest_wait_s(),
        )
        try:
            async with asyncio.timeout(None) as self.poll_limit:
                batch = await self.store.changes(
                    operator_rows.TABLE, after, self.poll.wait_s
                )
        except TimeoutError:
            # The next call uses a new connection.
            return after
        finally:
            self.poll_limit = None
        self.reachability.record_call(True)
        self._apply(batch)
        if batch.position >= after:
            self._record_proof(batch)
        return max(after, batch.position)

    def _longest_wait_s(self) -> float:
        state = self.state
        if self._is_doubted():
            # No read confirms anything before; other VMs may.
            return (
                CONFIRMATION_PAUSE_S
                if self._needs_other_vms()
                else state.store_era.settling_s()
            )
        if state.configuration_unconfirmed:
            return 0.0
        if not self._can_prove_keys():
            return math.inf
        return self.proving.longest_wait_s(
            state.routes.version,
            state.settings.bounds.revoke_s,
            state.is_designated_reader,
        )

    def _can_prove_keys(self) -> bool:
        """Return whether a read would prove that keys hold, where they must.

        No read does while the stored configuration cannot be read, or may be
        an earlier one.
        """
        return (
            self.state.keys_must_be_current
            and not self.state.freshness.unreadable
            and not self._is_doubted()
        )

    def prove_if_due(self) -> None:
        """End a long call if the proof that keys hold has become old."""
        state = self.state
        if self.poll_limit is None or not self._can_prove_keys():
            return
        bound_s = state.settings.bounds.revoke_s
        if self.poll.wait_s > bound_s * proof_reads.UNAIDED_WAIT_SHARE and (
            self.proving.is_due(state.routes.version, bound_s)
        ):
            self.poll_limit.reschedule(asyncio.get_running_loop().time())

    def _record_proof(self, batch: rows.RowBatch) -> None:
        if not batch.is_complete or self._is_doubted():
            return
        # A configuration that cannot be read leaves the last one in force, and
        # another call would not change that.
        self.state.confirm_configuration(batch.started, freshness.Source.STORE)
        if not self.state.freshness.unreadable:
            # The unreadable one may have withdrawn any key.
            self.state.key_permission.record_read(
                self.state.routes.version, batch.started, batch.store_s
            )

    def _suspect(self, hint: process_state.SilentConnectionHint) -> None:
        """Bring the end of the call in progress forward."""
        if self.poll_limit is None or self.poll_limit.when() is not None:
            return
        now = self.state.clock.monotonic()
        delay_s = self.poll.abandon_at(now) - now
        self.poll_limit.reschedule(asyncio.get_running_loop().time() + delay_s)
        self.event_log.log_change(
            events.Event.STORE_POLL_SUSPECTED,
            hint=hint.value,
            age_ms=round((now - self.poll.started) * 1000),
        )

    def _apply(self, batch: rows.RowBatch) -> None:
        for row in batch.rows:
            domain = operator_rows.evacuated_domain(row.key)
            if row.key == operator_rows.CONFIGURATION_KEY and row.value:
                self.configuration_row = positions.Position(
                    batch.era, row.version
                )
                self.state.freshness.record_stored(
                    operator_changes.apply_configuration(
                        self.state, self.event_log, row.value
                    )
                )
            elif domain and row.value is None:
                self.evacuated.discard(domain)
                self.state.evacuations.end(domain)
            elif domain:
                self.evacuated.add(domain)
        self.state.evacuations.adopt(batch.position, self.evacuated)
        operator_changes.apply_evacuations(self.state, self.event_log)
