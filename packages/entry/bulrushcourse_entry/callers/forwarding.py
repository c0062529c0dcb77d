"""Forwarding of calls to upstream instances."""

import collections
import typing

import attrs
from returns import result

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.retries import budget as retry_budget
from bulrushcourse_domain.slots import requests
from bulrushcourse_entry import events
from bulrushcourse_entry.callers import attempts
from bulrushcourse_entry.callers import failures
from bulrushcourse_entry.callers import hedging
from bulrushcourse_entry.callers import problems
from bulrushcourse_entry.callers import request_parsing
from bulrushcourse_entry.slots import source
from bulrushcourse_entry.upstreams import client

MAX_ATTEMPTS = 3
MIN_REMAINING_S = 0.001


class RegionChooser(typing.Protocol):
    """Chooses a request's region and charges the limits on the way to it."""

    def choose(self, service: str, request_class: str) -> str | None:
        """Return the region to request a slot in, ``None`` to shed."""
        ...

    async def admit(
        self, target: str, priority: int, deadline: float
    ) -> tuple[bool, client.LinkThrottle | None]:
        """Charge a request that is about to be sent to a region."""
        ...


class OutcomeListener(typing.Protocol):
    """Receives the outcome of each request."""

    def record_outcome(
        self,
        service: str,
        region: str,
        outcome: requests.ReleaseOutcome,
        time_s: float,
    ) -> None:
        """Record the outcome of a request."""
        ...


@attrs.define
class Forwarder:
    """Runs calls on upstream instances.

    Attributes:
        entry: Name of this entry.
        clock: Source of time.
        slots: Source of slots.
        regions: Chooses the region of each attempt.
        upstreams: HTTP client of the instances.
        outcome_listener: Receives the outcome of each request.
        priorities: Priority of each request class.
        instances: Instances of the active configuration, by name.
        budgets: Retry budget by service; hedges use it too.
        hedger: Sends hedges for slow calls.
    """

    entry: str
    clock: clocks.Clock
    slots: source.SlotSource
    regions: RegionChooser
    upstreams: client.UpstreamClient
    outcome_listener: OutcomeListener
    priorities: dict[str, int] = attrs.field(factory=dict)
    instances: dict[str, objects.Instance] = attrs.field(factory=dict)
    budgets: dict[str, retry_budget.RetryBudget] = attrs.field(
        factory=lambda: collections.defaultdict(retry_budget.RetryBudget)
    )

    hedger: hedging.Hedger = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.hedger = hedging.Hedger(self)

    def configure(
        self, configuration: configuration_set.ConfigurationSet
    ) -> None:
        """Apply a configuration's instances and request classes.

        Args:
            configuration: The configuration that was just activated.
        """
        self.priorities = {
            name: request_class.priority
            for name, request_class in configuration.request_classes.items()
        }
        self.instances = {
            instance.name: instance
            for pool in configuration.objects.pools
            for instance in pool.instances
        }

    async def forward(
        self, call: request_parsing.Call
    ) -> result.Result[attempts.Exchange, problems.Problem]:
        """Run a call and return its response, or the problem to report.

        Args:
            call: The caller's request.
        """
        avoid: tuple[str, ...] = ()
        reported = attempts.Attempt()
        budget = self.budgets[call.service.name]
        budget.record_primary()
        for number in range(MAX_ATTEMPTS):
            attempt = await self.attempt(call, number, avoid)
            if attempt.exchange is not None:
                return result.Success(attempt.exchange)
            if reported.failure is None or failures.may_have_run(
                attempt.failure
            ):
                # If any attempt may have run, that one determines the
                # reported outcome, whatever the result of later attempts.
                reported = attempt
            if attempt.refusal or not failures.may_retry(
                call, attempt.failure
            ):
                break
            if (
                not failures.used_no_capacity(attempt.failure)
                and not budget.try_spend()
            ):
                break
            avoid += (attempt.instance,)
        return result.Failure(
            failures.describe_failure(call, reported.refusal, reported.failure)
        )

    async def attempt(
        self, call: request_parsing.Call, number: int, avoid: tuple[str, ...]
    ) -> attempts.Attempt:
        """Acquire a slot and send the call once.

        Args:
            call: The caller's request.
            number: Number of earlier attempts.
            avoid: Instances that failed this call.
        """
        acquired = await self.acquire(call, number, avoid)
        if isinstance(acquired, result.Failure):
            return attempts.Attempt(refusal=acquired.failure())
        budget = self.budgets[call.service.name]
        return await self.hedger.send(call, acquired.unwrap(), budget)

    async def acquire(
        self,
        call: request_parsing.Call,
        number: int,
        avoid: tuple[str, ...],
        hedged: str = '',
    ) -> result.Result[attempts.GrantedSlot, requests.Refusal]:
        """Acquire a slot for one attempt.

        Args:
            call: The caller's request.
            number: Attempt number, unique within the call.
            avoid: Instances that failed this call.
            hedged: For a hedge, the instance of the primary request.
        """
        region = self.regions.choose(call.service.name, call.request_class)
        slot_request = requests.SlotRequest(
            f'{call.request_id}.{number}',
            self.entry,
            call.request_class,
            call.deadline,
            call.fingerprint,
            avoid,
            hedged,
        )
        if region is None:
            reason = requests.RefusalReason.NO_INSTANCE
            return result.Failure(
                requests.Refusal(slot_request.request_id, self.entry, reason)
            )
        granted = await self.slots.acquire(
            call.service.name, region, slot_request
        )
        return granted.map(
            lambda grant: attempts.GrantedSlot(
                region,
                grant.instance,
                self._release_callback(call, region, grant),
            )
        )

    async def send(
        self, call: request_parsing.Call, slot: attempts.GrantedSlot
    ) -> attempts.Attempt:
        """Send the call to the instance of a slot.

        Args:
            call: The caller's request.
            slot: The slot; it is released if no response arrives.
        """
        instance, release = slot.instance, slot.release
        try:
            admitted, throttle = await self.regions.admit(
                slot.region, self.priorities[call.request_class], call.deadline
            )
        except BaseException:
            release(requests.ReleaseOutcome.CANCELLED)
            raise
        if not admitted:
            release(failures.RELEASE_OUTCOMES[client.Failure.NO_SHARE])
            return attempts.Attempt(
                failure=client.Failure.NO_SHARE, instance=instance
            )
        remaining = call.deadline - self.clock.monotonic()
        target = self.instances.get(instance)
        if remaining <= 0 or target is None:
            # The grant arrived too late, for instance because this process
            # was suspended, or the local configuration lacks the instance.
            release(requests.ReleaseOutcome.CANCELLED)
            return attempts.Attempt(
                failure=client.Failure.NOT_SENT, instance=instance
            )
        request = client.UpstreamRequest(
            call.method,
            call.path,
            call.headers,
            call.body,
            call.body_stream,
            max(remaining, MIN_REMAINING_S),
            call.service.idempotent,
            throttle,
        )
        try:
            sent = await self.upstreams.send(
                target, request, call.pool.not_run_header
            )
        except BaseException:
            release(requests.ReleaseOutcome.CANCELLED)
            raise
        if isinstance(sent, result.Failure):
            failure = sent.failure()
            release(failures.RELEASE_OUTCOMES[failure])
            events.emit(
                events.Event.UPSTREAM_FAILED,
                instance=instance,
                failure=failure.value,
            )
            return attempts.Attempt(failure=failure, instance=instance)
        exchange = attempts.Exchange(
            sent.unwrap(),
            release,
            lambda: call.deadline - self.clock.monotonic(),
        )
        return attempts.Attempt(exchange, instance=instance)

    def _release_callback(
        self, call: request_parsing.Call, region: str, grant: requests.Grant
    ) -> typing.Callable[[requests.ReleaseOutcome], None]:
        started = self.clock.monotonic()
        service = call.service.name

        def release(outcome: requests.ReleaseOutcome) -> None:
            time_s = self.clock.monotonic() - started
            if outcome is requests.ReleaseOutcome.DONE:
                self.hedger.observe(call, time_s)
            self.outcome_listener.record_outcome(
                service, region, outcome, time_s
            )
            self.slots.release(
                service, region, grant.request_id, outcome, time_s
            )

        return release
