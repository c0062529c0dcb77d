"""Routes for operators: publish, rollback, history and active versions."""

import json
import typing

import attrs
from aiohttp import web
from returns import result

from bulrushcourse_domain import findings
from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.configuration import publication
from bulrushcourse_entry.configuration import publisher
from bulrushcourse_entry.membership import members as entry_members
from bulrushcourse_entry.platform import table as platform_table
from bulrushcourse_wire import documents
from bulrushcourse_wire import publications

HISTORY_LIMIT = 20
_STATUS = {
    publisher.Reason.FINDINGS: 422,
    publisher.Reason.CONFLICT: 409,
    publisher.Reason.NO_VERSION: 404,
    publisher.Reason.ISOLATED: 503,
    publisher.Reason.UNAVAILABLE: 503,
    publisher.Reason.UNKNOWN: 504,
}


@attrs.frozen
class PublishBody:
    """Body of a publish request.

    Attributes:
        base_version: Version that the objects are based on.
        publish_id: Identifier of the publish; a retry sends the same one.
        operator: Name of the operator.
        objects: The objects.
        note: Reason for the change.
    """

    base_version: int
    publish_id: str
    operator: str
    objects: objects.Objects
    note: str = ''


@attrs.frozen
class RollbackBody:
    """Body of a rollback request.

    Attributes:
        base_version: Version to replace.
        version: Earlier version whose content is published again.
        publish_id: Identifier of the publish; a retry sends the same one.
        operator: Name of the operator.
    """

    base_version: int
    version: int
    publish_id: str
    operator: str


@attrs.define(eq=False)
class ConfigurationRoutes:
    """Serves and publishes configurations for operators.

    Attributes:
        publisher: Publishes configurations.
        members: Reports the active version of each entry.
    """

    publisher: publisher.Publisher
    members: entry_members.Members

    def routes(self) -> typing.Sequence[web.RouteDef]:
        """Return the routes to serve."""
        return (
            web.get('/v1/configuration', self.show_current),
            web.post('/v1/configuration', self.publish),
            web.post('/v1/rollback', self.roll_back),
            web.get('/v1/history', self.show_history),
            web.get('/v1/history/{version}', self.show_version),
            web.get('/v1/versions', self.show_versions),
        )

    async def show_current(self, request: web.Request) -> web.Response:
        """Return the active configuration of this entry.

        Args:
            request: The operator's request.
        """
        current = self.members.configuration.current
        content = documents.render_document(
            current.objects if current else objects.Objects()
        )
        return web.json_response(
            {
                'version': self.members.configuration.version,
                'objects': json.loads(content),
            }
        )

    async def publish(self, request: web.Request) -> web.Response:
        """Publish a configuration.

        Args:
            request: Its body has the fields of ``PublishBody``.
        """
        parsed = documents.parse_document(await request.text(), PublishBody)
        if isinstance(parsed, result.Failure):
            return _show_findings(400, parsed.failure())
        body = parsed.unwrap()
        publish_request = publication.PublishRequest(
            body.base_version,
            body.publish_id,
            body.operator,
            body.objects,
            body.note,
        )
        return _show_outcome(await self.publisher.publish(publish_request))

    async def roll_back(self, request: web.Request) -> web.Response:
        """Publish the content of an earlier version as a new version.

        Args:
            request: Its body has the fields of ``RollbackBody``.
        """
        parsed = documents.parse_document(await request.text(), RollbackBody)
        if isinstance(parsed, result.Failure):
            return _show_findings(400, parsed.failure())
        body = parsed.unwrap()
        return _show_outcome(
            await self.publisher.roll_back(
                body.base_version,
                body.version,
                body.publish_id,
                body.operator,
            )
        )

    async def show_history(self, request: web.Request) -> web.Response:
        """Return the newest publications, newest first.

        Args:
            request: The operator's request.
        """
        store = self.publisher.store
        try:
            newest = await store.read_current()
            history = [newest.publication] + [
                await store.read_history(version)
                for version in range(newest.version - 1, 0, -1)[
                    : HISTORY_LIMIT - 1
                ]
            ]
        except platform_table.TableUnavailable as error:
            return _show_unavailable(error)
        return web.json_response(
            {
                'publications': [
                    publications.describe_publication(published)
                    for published in history
                    if published
                ]
            }
        )

    async def show_version(self, request: web.Request) -> web.Response:
        """Return one publication with its objects.

        Args:
            request: The operator's request.
        """
        version = request.match_info['version']
        try:
            published = await self.publisher.store.read_history(
                int(version) if version.isdecimal() else 0
            )
        except platform_table.TableUnavailable as error:
            return _show_unavailable(error)
        if published is None:
            return web.json_response(
                {'title': 'no-version', 'detail': f'{version} is not stored'},
                status=404,
            )
        content = documents.render_document(published.objects)
        return web.json_response(
            publications.describe_publication(published)
            | {'objects': json.loads(content)}
        )

    async def show_versions(self, request: web.Request) -> web.Response:
        """Return the active version of each entry.

        Args:
            request: The operator's request.
        """
        entries = self.members.describe()
        known_entries = {member['entry'] for member in entries}
        current = self.members.configuration.current
        configured = current.objects.entries if current else ()
        return web.json_response(
            {
                'entries': entries,
                'unheard': sorted(
                    entry.name
                    for entry in configured
                    if entry.name not in known_entries
                ),
                'listed': sorted({vm.entry for vm in self.members.listed}),
                'isolated': self.members.isolated,
            }
        )


def _show_outcome(outcome: publisher.Outcome) -> web.Response:
    if isinstance(outcome, result.Failure):
        return _show_refusal(outcome.failure())
    proposal = outcome.unwrap()
    return web.json_response(
        publications.describe_publication(proposal.publication)
        | {'repeated': proposal.already_stored}
    )


def _show_refusal(refusal: publisher.Refusal) -> web.Response:
    body: dict[str, typing.Any] = {
        'title': refusal.reason.value,
        'detail': refusal.detail,
    }
    if refusal.findings:
        body['findings'] = [attrs.asdict(found) for found in refusal.findings]
    if refusal.conflict:
        stored = refusal.conflict.stored
        body['stored'] = stored and publications.describe_publication(stored)
        body['changes'] = [str(change) for change in refusal.conflict.changes]
    return web.json_response(body, status=_STATUS[refusal.reason])


def _show_findings(
    status: int, found: tuple[findings.Finding, ...]
) -> web.Response:
    return web.json_response(
        {
            'title': 'findings',
            'detail': f'{len(found)} findings',
            'findings': [attrs.asdict(one) for one in found],
        },
        status=status,
    )


def _show_unavailable(error: Exception) -> web.Response:
    return web.json_response(
        {'title': 'unavailable', 'detail': str(error)}, status=503
    )
