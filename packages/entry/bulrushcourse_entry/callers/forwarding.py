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
from bulrushcourse_entry.callers import problems
from bulrushcourse_entry.callers import reading
from bulrushcourse_entry.slots import source
from bulrushcourse_entry.upstreams import client

MAX_ATTEMPTS = 3
RETRY_AFTER_S = 1
MIN_REMAINING_S = 0.001

RELEASE_OUTCOMES = {
    client.Failure.NOT_SENT: requests.ReleaseOutcome.UNREACHABLE,
    client.Failure.SHED: requests.ReleaseOutcome.SHED,
    client.Failure.LOST: requests.ReleaseOutcome.LOST,
    client.Failure.TRUNCATED: requests.ReleaseOutcome.LOST,
    client.Failure.DEADLINE: requests.ReleaseOutcome.CANCELLED,
}
# Failures that prove that the instance did not run the request.
NOT_RUN_FAILURES = frozenset((client.Failure.NOT_SENT, client.Failure.SHED))
STATUSES = {
    client.Failure.NOT_SENT: 502,
    client.Failure.SHED: 503,
    client.Failure.LOST: 502,
    client.Failure.TRUNCATED: 502,
    client.Failure.DEADLINE: 504,
}


class RegionChooser(typing.Protocol):
    """Chooses the region whose pool is asked for a slot."""

    def choose(self, service: str) -> str | None:
        """Return a region that serves a service, ``None`` if none does."""
        ...


@attrs.define
class LocalRegionFirst:
    """Prefers this entry's region.

    Attributes:
        region: Region of this entry.
        configuration: Configuration in force.
    """

    region: str
    configuration: configuration_set.ConfigurationSet | None = None

    def choose(self, service: str) -> str | None:
        """Return a region that serves a service, ``None`` if none does.

        Args:
            service: Name of the service.
        """
        if self.configuration is None:
            return None
        others = sorted(set(self.configuration.regions.values()))
        for region in (self.region, *others):
            if self.configuration.instances(service, region):
                return region
        return None


@attrs.frozen
class HeldSlot:
    """A granted slot.

    Attributes:
        instance: Name of the instance.
        finish: Gives the slot back; called once with how the work ended.
    """

    instance: str
    finish: typing.Callable[[requests.ReleaseOutcome], None]


@attrs.define
class Exchange:
    """An answer under way, with the slot that it holds.

    Attributes:
        answer: Answer whose beginning has arrived.
        finish: Gives the slot back; called once with how the work ended.
        remaining_s: Returns the seconds until the deadline, after which the
            slot is granted to other work.
    """

    answer: client.UpstreamAnswer
    finish: typing.Callable[[requests.ReleaseOutcome], None]
    remaining_s: typing.Callable[[], float]


@attrs.define
class Attempt:
    """What one attempt led to.

    Attributes:
        exchange: Set if the instance answered.
        failure: Set if it did not.
        instance: Name of the instance, empty if no slot was granted.
        refusal: Set if no slot was granted.
    """

    exchange: Exchange | None = None
    failure: client.Failure | None = None
    instance: str = ''
    refusal: requests.Refusal | None = None


@attrs.define
class Forwarder:
    """Runs calls on upstream instances.

    Attributes:
        entry: Name of this entry.
        clock: Source of time.
        slots: Where slots come from.
        regions: Chooser of the region.
        upstreams: HTTP client of the instances.
        instances: Instances of the configuration in force, by name.
        budgets: Budget for repeated work by service.
    """

    entry: str
    clock: clocks.Clock
    slots: source.SlotSource
    regions: RegionChooser
    upstreams: client.UpstreamClient
    instances: dict[str, objects.Instance] = attrs.field(factory=dict)
    budgets: dict[str, retry_budget.RetryBudget] = attrs.field(
        factory=lambda: collections.defaultdict(retry_budget.RetryBudget)
    )

    def configure(
        self, configuration: configuration_set.ConfigurationSet
    ) -> None:
        """Take the instances from a configuration.

        Args:
            configuration: The configuration that is now in force.
        """
        self.instances = {
            instance.name: instance
            for pool in configuration.objects.pools
            for instance in pool.instances
        }

    async def forward(
        self, call: reading.Call
    ) -> result.Result[Exchange, problems.Problem]:
        """Run a call and return its answer, or why there is none.

        Args:
            call: The caller's request.
        """
        avoid: tuple[str, ...] = ()
        reported = Attempt()
        budget = self.budgets[call.service.name]
        budget.count_primary()
        for number in range(MAX_ATTEMPTS):
            attempt = await self.attempt(call, number, avoid)
            if attempt.exchange is not None:
                return result.Success(attempt.exchange)
            if reported.failure is None or _may_have_run(attempt):
                # An attempt that may have run decides what the caller is
                # told, whatever became of later ones.
                reported = attempt
            if attempt.refusal or not _may_retry(call, attempt.failure):
                break
            if not _is_free(attempt.failure) and not budget.spend():
                break
            avoid += (attempt.instance,)
        return result.Failure(describe(call, reported))

    async def attempt(
        self, call: reading.Call, number: int, avoid: tuple[str, ...]
    ) -> Attempt:
        """Get a slot and send the call once.

        Args:
            call: The caller's request.
            number: How many attempts there were before.
            avoid: Instances that failed this call.
        """
        held = await self.acquire(call, number, avoid)
        if isinstance(held, result.Failure):
            return Attempt(refusal=held.failure())
        return await self.send(call, held.unwrap())

    async def acquire(
        self, call: reading.Call, number: int, avoid: tuple[str, ...]
    ) -> result.Result[HeldSlot, requests.Refusal]:
        """Get a slot for one attempt.

        Args:
            call: The caller's request.
            number: How many attempts there were before.
            avoid: Instances that failed this call.
        """
        region = self.regions.choose(call.service.name)
        wish = requests.SlotRequest(
            f'{call.request_id}.{number}',
            self.entry,
            call.request_class,
            call.deadline,
            call.fingerprint,
            avoid,
        )
        if region is None:
            reason = requests.RefusalReason.NO_INSTANCE
            return result.Failure(
                requests.Refusal(wish.request_id, self.entry, reason)
            )
        granted = await self.slots.acquire(call.service.name, region, wish)
        return granted.map(
            lambda grant: HeldSlot(
                grant.instance,
                self._finisher(call.service.name, region, grant),
            )
        )

    async def send(self, call: reading.Call, held: HeldSlot) -> Attempt:
        """Send the call to the instance of a slot.

        Args:
            call: The caller's request.
            held: The slot; it is given back if there is no answer.
        """
        instance, finish = held.instance, held.finish
        remaining = call.deadline - self.clock.monotonic()
        known = self.instances.get(instance)
        if remaining <= 0 or known is None:
            # The grant came while this entry was paused, or it is for an
            # instance that this entry's configuration does not have.
            finish(requests.ReleaseOutcome.CANCELLED)
            return Attempt(failure=client.Failure.NOT_SENT, instance=instance)
        request = client.UpstreamRequest(
            call.method,
            call.path,
            call.headers,
            call.body,
            call.rest,
            max(remaining, MIN_REMAINING_S),
            call.service.idempotent,
        )
        try:
            sent = await self.upstreams.send(
                known, request, call.pool.not_run_header
            )
        except BaseException:
            finish(requests.ReleaseOutcome.CANCELLED)
            raise
        if isinstance(sent, result.Failure):
            failure = sent.failure()
            finish(RELEASE_OUTCOMES[failure])
            events.emit(
                events.Event.UPSTREAM_FAILED,
                instance=instance,
                failure=failure.value,
            )
            return Attempt(failure=failure, instance=instance)
        exchange = Exchange(
            sent.unwrap(),
            finish,
            lambda: call.deadline - self.clock.monotonic(),
        )
        return Attempt(exchange, instance=instance)

    def _finisher(
        self, service: str, region: str, grant: requests.Grant
    ) -> typing.Callable[[requests.ReleaseOutcome], None]:
        started = self.clock.monotonic()

        def finish(outcome: requests.ReleaseOutcome) -> None:
            self.slots.release(
                service,
                region,
                grant.request_id,
                outcome,
                self.clock.monotonic() - started,
            )

        return finish


def describe(call: reading.Call, attempt: Attempt) -> problems.Problem:
    """Return the problem that reports a failed attempt.

    Args:
        call: The caller's request.
        attempt: Its last attempt.
    """
    if attempt.refusal is not None:
        return problems.not_run(
            503,
            f'no-slot-{attempt.refusal.reason.value}',
            f'no slot of {call.service.name} in time',
            RETRY_AFTER_S,
        )
    failure = attempt.failure
    outcome = (
        problems.Outcome.NOT_RUN
        if failure in NOT_RUN_FAILURES
        else problems.Outcome.UNKNOWN
    )
    return problems.Problem(
        STATUSES[failure],
        f'upstream-{failure.value}',
        f'upstream of {call.service.name} failed: {failure.value}',
        outcome,
        RETRY_AFTER_S,
    )


def _may_have_run(attempt: Attempt) -> bool:
    failure = attempt.failure
    return failure is not None and failure not in NOT_RUN_FAILURES


def _is_free(failure: client.Failure) -> bool:
    # A request of which no byte was sent cost no work, so sending it to
    # another instance adds none.
    return failure is client.Failure.NOT_SENT


def _may_retry(call: reading.Call, failure: client.Failure) -> bool:
    if call.rest is not None:
        # The body was streamed and cannot be sent again.
        return False
    if failure is client.Failure.DEADLINE:
        return False
    return failure in NOT_RUN_FAILURES or call.service.idempotent
