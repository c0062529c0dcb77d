"""Publishing a configuration through this entry."""

import enum
import typing

import attrs
from returns import result

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain import findings as found_defects
from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_domain.configuration import publication
from bulrushcourse_entry import events
from bulrushcourse_entry.configuration import exchange
from bulrushcourse_entry.configuration import store as configuration_store
from bulrushcourse_entry.membership import members as entry_members
from bulrushcourse_entry.platform import table as platform_table

ATTEMPTS = 3


class Reason(enum.Enum):
    """Why a publish did not succeed."""

    FINDINGS = 'findings'
    CONFLICT = 'conflict'
    ISOLATED = 'isolated'
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'
    NO_VERSION = 'no-version'


@attrs.frozen
class Refusal:
    """A publish that is not known to have succeeded.

    Attributes:
        reason: Why.
        detail: The same in words.
        findings: Findings against the objects.
        conflict: What the stored publication is and what changed.
    """

    reason: Reason
    detail: str
    findings: tuple[found_defects.Finding, ...] = ()
    conflict: publication.Conflict | None = None


Outcome = result.Result[publication.Proposal, Refusal]

_UNAVAILABLE = Refusal(
    Reason.UNAVAILABLE, 'the table service does not answer; nothing is written'
)
_UNKNOWN = Refusal(
    Reason.UNKNOWN,
    'the table service did not answer the write; send the publish again with '
    'the same publish_id to learn whether it took effect',
)


@attrs.define(eq=False)
class Publisher:
    """Publishes checked sets by compare-and-set.

    Attributes:
        clock: Source of time.
        store: Configurations in the table.
        members: Tells whether this entry is isolated.
        exchange: Puts in force and passes on.
    """

    clock: clocks.Clock
    store: configuration_store.ConfigurationStore
    members: entry_members.Members
    exchange: exchange.ConfigurationExchange

    async def publish(self, request: publication.PublishRequest) -> Outcome:
        """Publish and return the publication, or why it is refused.

        Args:
            request: What the operator wants.
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
            self.exchange.accept(stored.version, stored.objects)
            self.exchange.pass_on()
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
            base_version: Version that is to be replaced.
            version: The earlier version.
            publish_id: Identifier of the publish.
            operator: Who rolls back.
        """
        try:
            old = await self.store.read_history(version)
        except platform_table.TableUnavailable:
            return result.Failure(_UNAVAILABLE)
        if old is None:
            detail = f'version {version} is not in history'
            return result.Failure(Refusal(Reason.NO_VERSION, detail))
        return await self.publish(
            publication.roll_back(base_version, old, publish_id, operator)
        )

    async def _publish(self, request: publication.PublishRequest) -> Outcome:
        if self.members.isolated:
            return result.Failure(
                Refusal(
                    Reason.ISOLATED,
                    'this entry is cut off from the store and its peers',
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
        for _ in range(ATTEMPTS):
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
        """Return the outcome of one attempt, ``None`` if it is not known."""
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
                    f'the set was made from version {conflict.base_version}, '
                    f'version {current.version} is stored',
                    conflict=conflict,
                )
            )
        proposal = proposed.unwrap()
        if proposal.stored:
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
        """Return the publications that decide on a stale base."""
        if base >= current.version:
            return {}
        found: dict[int, typing.Any] = {
            version: await self.store.read_history(version)
            for version in (base, base + 1)
        }
        return {number: kept for number, kept in found.items() if kept}
