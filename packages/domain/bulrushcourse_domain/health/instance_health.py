"""The aggregate that knows how far each instance of a pool may be used."""

import statistics

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.health import instance_record
from bulrushcourse_domain.health import service_times
from bulrushcourse_domain.slots import requests

LARGEST_PART_ASIDE = 0.5
"""Part of a pool that may be set aside or restricted.

When more than half of a pool looks bad, the sign is more likely wrong, and
the rest could not carry the load anyway.
"""

BLAME_WINDOW_S = 2.0
"""Time within which an entry's failures at different instances are compared.

An entry that fails at more than half of the pool has trouble of its own.
"""

SHED_UNITS = 4.0
"""Time that a shed request adds to the index, in typical times.

A quick rejection must not look like a quick answer.
"""


@attrs.define
class InstanceHealth:
    """Restricts instances that leave, fail or are cold, never most of a pool.

    Only the entries' own results and signs of leaving count. Load reports
    lag and may be false, so no decision uses them.

    Attributes:
        clock: Source of time.
        records: What is known, by name of instance.
        references: Typical service times, by class.
        median: Median of the instances' indices.
        restricted: Standings that are in force, by name of instance.
        blame: Time of the last failure, by entry and instance.

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
    references: dict[str, service_times.ClassReference] = attrs.field(
        factory=dict
    )
    median: float = 1.0
    restricted: dict[str, instance_record.Standing] = attrs.field(factory=dict)
    blame: dict[str, dict[str, float]] = attrs.field(factory=dict)

    def set_instances(self, slots: dict[str, int]) -> None:
        """Replace the pool's instances; those that join later start cold.

        Args:
            slots: Number of slots by name of instance.
        """
        first = not self.records
        for name in self.records.keys() - slots.keys():
            del self.records[name]
            for seen in self.blame.values():
                seen.pop(name, None)
        for name, number in slots.items():
            record = self.records.get(name)
            if record is None:
                record = instance_record.InstanceRecord(
                    number, since=self.clock.monotonic()
                )
                record.proven = number if first else 1
                self.records[name] = record
            elif record.proven >= record.slots:
                record.proven = number
            record.slots = number
        self.refresh()

    def set_leaving(self, name: str, leaving: bool = True) -> None:
        """Note that an instance is leaving, or that it is no longer.

        Args:
            name: The instance.
            leaving: Whether it is leaving; one that returns starts cold.
        """
        record = self.records.get(name)
        if record is None or record.leaving == leaving:
            return
        record.leaving = leaving
        record.since = self.clock.monotonic()
        record.proven, record.steps = 1, 0
        self.refresh()

    def typical_s(self, request_class: str) -> float:
        """Return the typical service time of a class, 0 if not known.

        Args:
            request_class: Name of the class.
        """
        reference = self.references.get(request_class)
        return reference.seconds if reference else 0.0

    def start(self, name: str, typical_s: float) -> None:
        """Note that a request starts at an instance.

        Args:
            name: The instance.
            typical_s: Typical time of the request's class.
        """
        record = self.records.get(name)
        if record is not None:
            record.index.start(self.clock.monotonic(), typical_s)

    def end(
        self, run: requests.ActiveGrant, result: requests.ReleaseResult
    ) -> None:
        """Note how a request ended.

        Args:
            run: The request's run.
            result: How it ended.
        """
        record = self.records.get(run.grant.instance)
        if record is None:
            return
        ENDINGS.get(result.outcome, InstanceHealth._stop)(
            self, record, run, result
        )

    def slowness(self, name: str) -> float:
        """Return the index against the pool's median, at least 1.

        A value under 1 is not rewarded: an instance that fails at once with
        an answer would attract all work.

        Args:
            name: The instance.
        """
        record = self.records.get(name)
        if record is None:
            return 1.0
        value = record.index.value(self.clock.monotonic())
        return max(1.0, value / self.median)

    def open_slots(self, name: str) -> int:
        """Return how many slots of an instance may be used.

        Args:
            name: The instance.
        """
        standing = self.restricted.get(name, instance_record.Standing.SERVING)
        return self._slots_at(name, standing)

    def healthy_slots(self, name: str) -> int:
        """Return the slots that an instance's own standing leaves open.

        In contrast to ``open_slots``, more than half of a pool may be closed.

        Args:
            name: The instance.
        """
        record = self.records.get(name)
        if record is None:
            return 0
        standing = self._standing(record, self.clock.monotonic())
        return self._slots_at(name, standing)

    def _slots_at(self, name: str, standing: instance_record.Standing) -> int:
        record = self.records.get(name)
        if record is None:
            return 0
        if standing <= instance_record.Standing.LOST:
            return 0
        if standing < instance_record.Standing.SERVING:
            return min(record.proven, record.slots)
        return record.slots

    def refresh(self) -> None:
        """Work out the median and which restrictions are in force."""
        now = self.clock.monotonic()
        if self.records:
            self.median = statistics.median(
                record.index.value(now) for record in self.records.values()
            )
        bad = sorted(
            (standing, record.since, name)
            for name, record in self.records.items()
            if (standing := self._standing(record, now))
            < instance_record.Standing.SERVING
        )
        most = int(len(self.records) * LARGEST_PART_ASIDE)
        # Leaving instances are obeyed however many there are: work sent to
        # one would be cut off when it stops.
        leaving = instance_record.Standing.LEAVING
        self.restricted = {
            name: standing
            for number, (standing, _, name) in enumerate(bad)
            if standing is leaving or number < most
        }

    def _standing(
        self, record: instance_record.InstanceRecord, now: float
    ) -> instance_record.Standing:
        if record.leaving:
            return instance_record.Standing.LEAVING
        failures = sum(
            number
            for holder, number in record.failures.items()
            if not self._troubled(holder, now)
        )
        if (
            failures >= instance_record.FAILURES_TO_LOST
            and now < record.retry_at
        ):
            return instance_record.Standing.LOST
        if failures:
            return instance_record.Standing.SUSPECT
        if record.proven < record.slots and not record.failures:
            return instance_record.Standing.COLD
        return instance_record.Standing.SERVING

    def _troubled(self, holder: str, now: float) -> bool:
        recent = sum(
            now - at < BLAME_WINDOW_S
            for at in self.blame.get(holder, {}).values()
        )
        return recent > max(1, len(self.records) * LARGEST_PART_ASIDE)

    def _complete(
        self,
        record: instance_record.InstanceRecord,
        run: requests.ActiveGrant,
        result: requests.ReleaseResult,
    ) -> None:
        now = self.clock.monotonic()
        seconds = result.seconds
        if seconds is None:
            seconds = now - run.granted_at
        record.index.end(now, run.granted_at, run.typical_s, seconds)
        self.references.setdefault(
            run.grant.request_class, service_times.ClassReference()
        ).observe(seconds)
        record.succeed(record.index.value(now) / self.median)

    def _shed(
        self,
        record: instance_record.InstanceRecord,
        run: requests.ActiveGrant,
        result: requests.ReleaseResult,
    ) -> None:
        record.index.forget(run.granted_at, run.typical_s)
        record.index.add(self.clock.monotonic(), SHED_UNITS, 0.0)

    def _fail(
        self,
        record: instance_record.InstanceRecord,
        run: requests.ActiveGrant,
        result: requests.ReleaseResult,
    ) -> None:
        now = self.clock.monotonic()
        record.index.forget(run.granted_at, run.typical_s)
        holder = run.grant.holder
        self.blame.setdefault(holder, {})[run.grant.instance] = now
        record.fail(now, holder)
        self.refresh()

    def _stop(
        self,
        record: instance_record.InstanceRecord,
        run: requests.ActiveGrant,
        result: requests.ReleaseResult,
    ) -> None:
        now = self.clock.monotonic()
        record.index.stop(now, run.granted_at, run.typical_s)


ENDINGS = {
    requests.ReleaseOutcome.DONE: InstanceHealth._complete,
    requests.ReleaseOutcome.SHED: InstanceHealth._shed,
    requests.ReleaseOutcome.UNREACHABLE: InstanceHealth._fail,
    requests.ReleaseOutcome.LOST: InstanceHealth._fail,
}
"""What each outcome changes; other outcomes only end the run."""
