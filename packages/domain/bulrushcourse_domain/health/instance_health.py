"""The aggregate that decides how many slots of each instance may be used."""

import statistics

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.health import instance_record
from bulrushcourse_domain.health import service_times
from bulrushcourse_domain.slots import requests

MAX_RESTRICTED_SHARE = 0.5
"""Maximum share of a pool's instances that may be restricted.

If more than half of a pool seems to fail, the observation is more likely
wrong, and the other instances could not carry the load anyway.
"""

ENTRY_FAILURE_WINDOW_S = 2.0
"""Window in which an entry's failures at different instances are counted.

An entry that fails at more than half of the pool is itself faulty, and its
failures are ignored.
"""

SHED_COST_RATIO = 4.0
"""Time that a shed request adds to the slowness index, in typical times.

A fast rejection must not count as a fast response.
"""


@attrs.define
class InstanceHealth:
    """Restricts instances that leave, fail or are cold, up to half of a pool.

    Uses only the outcomes that entries observed and the instances' notices
    of leaving. Load reports lag and may be wrong, so no decision uses them.

    Attributes:
        clock: Source of time.
        records: Outcomes and service times, by name of instance.
        typical_times: Typical service times, by class.
        median_index: Median of the instances' slowness indices.
        restricted: States of the restricted instances, by name of instance.
        last_failures: Clock seconds of the last failure, by entry and
            instance.

    Examples:
        >>> health = InstanceHealth(clocks.ManualClock())
        >>> health.set_instances({'a': 5, 'b': 5})
        >>> health.set_leaving('a')
        >>> health.open_slots('a'), health.open_slots('b')
        (0, 5)
    """

    clock: clocks.Clock
    records: dict[str, instance_record.InstanceRecord] = attrs.field(
        factory=dict
    )
    typical_times: dict[str, service_times.TypicalTime] = attrs.field(
        factory=dict
    )
    median_index: float = 1.0
    restricted: dict[str, instance_record.HealthState] = attrs.field(
        factory=dict
    )
    last_failures: dict[str, dict[str, float]] = attrs.field(factory=dict)

    def set_instances(self, slots: dict[str, int]) -> None:
        """Replace the pool's instances; those added to a used pool start cold.

        Args:
            slots: Number of slots by name of instance.
        """
        is_first = not self.records
        for name in self.records.keys() - slots.keys():
            del self.records[name]
            for failed_at in self.last_failures.values():
                failed_at.pop(name, None)
        for name, number in slots.items():
            record = self.records.get(name)
            if record is None:
                record = instance_record.InstanceRecord(
                    number, degraded_since=self.clock.monotonic()
                )
                record.opened_slots = number if is_first else 1
                self.records[name] = record
            elif record.opened_slots >= record.slots:
                record.opened_slots = number
            record.slots = number
        self.refresh()

    def set_leaving(self, name: str, leaving: bool = True) -> None:
        """Record that an instance is leaving, or no longer is.

        Args:
            name: The instance.
            leaving: Whether it is leaving; one that returns starts cold.
        """
        record = self.records.get(name)
        if record is None or record.leaving == leaving:
            return
        record.leaving = leaving
        record.degraded_since = self.clock.monotonic()
        record.opened_slots, record.slot_completions = 1, 0
        self.refresh()

    def typical_s(self, request_class: str) -> float:
        """Return the typical service time of a class, 0 if unknown.

        Args:
            request_class: Name of the class.
        """
        typical = self.typical_times.get(request_class)
        return typical.seconds if typical else 0.0

    def record_start(self, name: str, typical_s: float) -> None:
        """Record that a request starts at an instance.

        Args:
            name: The instance.
            typical_s: Typical service time of the request's class.
        """
        record = self.records.get(name)
        if record is not None:
            record.slowness_index.start(self.clock.monotonic(), typical_s)

    def record_end(
        self, active: requests.ActiveGrant, result: requests.ReleaseResult
    ) -> None:
        """Record the outcome of a request.

        Args:
            active: The request's grant.
            result: Its outcome and service time.
        """
        record = self.records.get(active.grant.instance)
        if record is None:
            return
        OUTCOME_HANDLERS.get(result.outcome, InstanceHealth._record_stop)(
            self, record, active, result
        )

    def slowness(self, name: str) -> float:
        """Return the slowness index relative to the pool's median, at least 1.

        Values below 1 are not used, as an instance that fails immediately
        with a response would attract all requests.

        Args:
            name: The instance.
        """
        record = self.records.get(name)
        if record is None:
            return 1.0
        value = record.slowness_index.value(self.clock.monotonic())
        return max(1.0, value / self.median_index)

    def open_slots(self, name: str) -> int:
        """Return how many slots of an instance may be used.

        Args:
            name: The instance.
        """
        state = self.restricted.get(name, instance_record.HealthState.SERVING)
        return self._slots_in_state(name, state)

    def healthy_slots(self, name: str) -> int:
        """Return how many slots an instance's own state allows to use.

        Unlike ``open_slots``, this may restrict more than half of a pool.

        Args:
            name: The instance.
        """
        record = self.records.get(name)
        if record is None:
            return 0
        state = self._current_state(record, self.clock.monotonic())
        return self._slots_in_state(name, state)

    def _slots_in_state(
        self, name: str, state: instance_record.HealthState
    ) -> int:
        record = self.records.get(name)
        if record is None:
            return 0
        if state <= instance_record.HealthState.EJECTED:
            return 0
        if state < instance_record.HealthState.SERVING:
            return min(record.opened_slots, record.slots)
        return record.slots

    def refresh(self) -> None:
        """Update the median index and the restricted instances."""
        now = self.clock.monotonic()
        if self.records:
            self.median_index = statistics.median(
                record.slowness_index.value(now)
                for record in self.records.values()
            )
        degraded = sorted(
            (state, record.degraded_since, name)
            for name, record in self.records.items()
            if (state := self._current_state(record, now))
            < instance_record.HealthState.SERVING
        )
        max_restricted = int(len(self.records) * MAX_RESTRICTED_SHARE)
        # Leaving instances are always restricted: requests sent to one would
        # be aborted when it stops.
        leaving = instance_record.HealthState.LEAVING
        self.restricted = {
            name: state
            for number, (state, _, name) in enumerate(degraded)
            if state is leaving or number < max_restricted
        }

    def _current_state(
        self, record: instance_record.InstanceRecord, now: float
    ) -> instance_record.HealthState:
        if record.leaving:
            return instance_record.HealthState.LEAVING
        failures = sum(
            number
            for holder, number in record.failures.items()
            if not self._is_entry_failing(holder, now)
        )
        if (
            failures >= instance_record.FAILURES_TO_EJECT
            and now < record.ejected_until
        ):
            return instance_record.HealthState.EJECTED
        if failures:
            return instance_record.HealthState.SUSPECT
        if record.opened_slots < record.slots and not record.failures:
            return instance_record.HealthState.COLD
        return instance_record.HealthState.SERVING

    def _is_entry_failing(self, holder: str, now: float) -> bool:
        recent = sum(
            now - at < ENTRY_FAILURE_WINDOW_S
            for at in self.last_failures.get(holder, {}).values()
        )
        return recent > max(1, len(self.records) * MAX_RESTRICTED_SHARE)

    def _record_completion(
        self,
        record: instance_record.InstanceRecord,
        active: requests.ActiveGrant,
        result: requests.ReleaseResult,
    ) -> None:
        now = self.clock.monotonic()
        seconds = result.service_time_s
        if seconds is None:
            seconds = now - active.granted_at
        record.slowness_index.complete(
            now, active.granted_at, active.typical_s, seconds
        )
        self.typical_times.setdefault(
            active.grant.request_class, service_times.TypicalTime()
        ).add(seconds)
        record.record_completion(
            record.slowness_index.value(now) / self.median_index
        )

    def _record_shed(
        self,
        record: instance_record.InstanceRecord,
        active: requests.ActiveGrant,
        result: requests.ReleaseResult,
    ) -> None:
        record.slowness_index.discard(active.granted_at, active.typical_s)
        record.slowness_index.add(self.clock.monotonic(), SHED_COST_RATIO, 0.0)

    def _record_failure(
        self,
        record: instance_record.InstanceRecord,
        active: requests.ActiveGrant,
        result: requests.ReleaseResult,
    ) -> None:
        now = self.clock.monotonic()
        record.slowness_index.discard(active.granted_at, active.typical_s)
        holder = active.grant.holder
        self.last_failures.setdefault(holder, {})[active.grant.instance] = now
        record.record_failure(now, holder)
        self.refresh()

    def _record_stop(
        self,
        record: instance_record.InstanceRecord,
        active: requests.ActiveGrant,
        result: requests.ReleaseResult,
    ) -> None:
        now = self.clock.monotonic()
        record.slowness_index.stop(now, active.granted_at, active.typical_s)


OUTCOME_HANDLERS = {
    requests.ReleaseOutcome.DONE: InstanceHealth._record_completion,
    requests.ReleaseOutcome.SHED: InstanceHealth._record_shed,
    requests.ReleaseOutcome.UNREACHABLE: InstanceHealth._record_failure,
    requests.ReleaseOutcome.LOST: InstanceHealth._record_failure,
}
"""Handlers by outcome; other outcomes only end the running request."""
