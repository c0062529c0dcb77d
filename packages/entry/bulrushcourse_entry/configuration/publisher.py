"""Publication of configurations through this entry."""

import enum
import typing

import attrs
from returns import result

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain import findings as domain_findings
from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_domain.configuration import publication
from bulrushcourse_entry import events
from bulrushcourse_entry.configuration import exchange
from bulrushcourse_entry.configuration import store as configuration_store
from bulrushcourse_entry.membership import members as entry_members
from bulrushcourse_entry.platform import table as platform_table

MAX_ATTEMPTS = 3


class Reason(enum.Enum):
    """Why a publish failed or its outcome is unknown."""

    FINDINGS = 'findings'
    CONFLICT = 'conflict'
    ISOLATED = 'isolated'
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'
    NO_VERSION = 'no-version'


@attrs.frozen
class Refusal:
    """A publish that failed or whose outcome is unknown.

    Attributes:
        reason: Why.
        detail: Description for people.
        findings: Findings against the objects.
        conflict: The stored publication and what changed in it.
    """

    reason: Reason
    detail: str
    findings: tuple[domain_findings.Finding, ...] = ()
    conflict: publication.Conflict | None = None


Outcome = result.Result[publication.Proposal, Refusal]

_UNAVAILABLE = Refusal(
    Reason.UNAVAILABLE,
    'the table service does not answer; nothing was written',
)
_UNKNOWN = Refusal(
    Reason.UNKNOWN,
    'the table service did not answer the write; repeat the publish with the '
    'same publish_id to find out whether it took effect',
)


@attrs.define(eq=False)
class Publisher:
    """Checks configurations and publishes them by compare-and-set.

    Attributes:
        clock: Source of time.
        store: Configurations in the table.
        members: Reports whether this entry is isolated.
        exchange: Stages published configurations and sends them to peers.
    """

    clock: clocks.Clock
    store: configuration_store.ConfigurationStore
    members: entry_members.Members
    exchange: exchange.ConfigurationExchange

    async def publish(self, request: publication.PublishRequest) -> Outcome:
        """Publish a configuration.

        Args:
            request: The operator's request.

        Returns:
            The publication, or why it is refused.
        """
        outcome = await self._publish(request)
        if isinstance(outcome, result.Success):
            stored = outcome.unwrap().publication
            events.emit(
                events.Event.PUBLISHED,
                version=stored.version,
                operator=stored.operator,
                publish_id=stored.publish_id,
            )
            self.exchange.stage(stored.version, stored.objects)
            self.exchange.send_to_peers()
        else:
            events.emit(
                events.Event.PUBLISH_REFUSED,
                reason=outcome.failure().reason.value,
                operator=request.operator,
                publish_id=request.publish_id,
            )
        return outcome

    async def roll_back(
        self, base_version: int, version: int, publish_id: str, operator: str
    ) -> Outcome:
        """Publish the content of an earlier version as a new version.

        Args:
            base_version: Version to replace.
            version: The earlier version.
            publish_id: Identifier of the publish.
            operator: Name of the operator.
        """
        try:
            old = await self.store.read_history(version)
        except platform_table.TableUnavailable:
            return result.Failure(_UNAVAILABLE)
        if old is None:
            detail = f'version {version} is not in the history'
            return result.Failure(Refusal(Reason.NO_VERSION, detail))
        return await self.publish(
            publication.rollback_request(
                base_version, old, publish_id, operator
            )
        )

    async def _publish(self, request: publication.PublishRequest) -> Outcome:
        if self.members.isolated:
            return result.Failure(
                Refusal(
                    Reason.ISOLATED,
                    'this entry is isolated from the store and its peers',
                )
            )
        checked = configuration_set.check_configuration(
            request.base_version + 1, request.objects
        )
        if isinstance(checked, result.Failure):
            found = checked.failure()
            return result.Failure(
                Refusal(
                    Reason.FINDINGS, f'{len(found)} findings', findings=found
                )
            )
        unanswered = False
        for _ in range(MAX_ATTEMPTS):
            try:
                attempt = await self._attempt(request)
            except platform_table.TableUnavailable:
                break
            if attempt is not None:
                return attempt
            unanswered = True
        return result.Failure(_UNKNOWN if unanswered else _UNAVAILABLE)

    async def _attempt(
        self, request: publication.PublishRequest
    ) -> Outcome | None:
        """Return the outcome of one attempt, ``None`` if it is unknown."""
        current = await self.store.read_current()
        history = await self._read_history(request.base_version, current)
        proposed = publication.propose(
            current.publication, history, request, self.clock.wall()
        )
        if isinstance(proposed, result.Failure):
            conflict = proposed.failure()
            return result.Failure(
                Refusal(
                    Reason.CONFLICT,
                    f'the set is based on version {conflict.base_version}, '
                    f'but version {current.version} is stored',
                    conflict=conflict,
                )
            )
        proposal = proposed.unwrap()
        if proposal.already_stored:
            return result.Success(proposal)
        written = await self.store.write(
            proposal.publication, current.row_version
        )
        if written is platform_table.WriteResult.COMMITTED:
            return result.Success(proposal)
        return None

    async def _read_history(
        self, base: int, current: configuration_store.StoredCurrent
    ) -> dict[int, publication.Publication]:
        """Return the publications needed to check an outdated base version.

        They are those of the base version and of the one after it.
        """
        if base >= current.version:
            return {}
        publications: dict[int, typing.Any] = {
            version: await self.store.read_history(version)
            for version in (base, base + 1)
        }
        return {
            version: published
            for version, published in publications.items()
            if published
        }
