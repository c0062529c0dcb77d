"""Storage of claims in the table and of large responses as objects."""

import base64
import binascii
import typing

import attrs

from bulrushcourse_domain.claims import claim as claims
from bulrushcourse_domain.claims import outcomes
from bulrushcourse_entry.claims import writer as claim_writer
from bulrushcourse_entry.platform import objects as platform_objects
from bulrushcourse_entry.platform import table as platform_table

# Larger responses are stored in the object store.
MAX_ROW_ANSWER_BYTES = 64 << 10


class RowUnreadable(Exception):
    """The table is unavailable, or the row is malformed."""


@attrs.frozen
class StoredClaim:
    """A claim as read from the table.

    Attributes:
        version: Version of the row.
        claim: The claim.
    """

    version: int
    claim: claims.Claim


@attrs.define
class ClaimRows:
    """Reads and writes claims.

    Attributes:
        table: The platform's table service.
        objects: The platform's object store.
        writer: Writes rows in batches, within the write budget.
    """

    table: platform_table.Table
    objects: platform_objects.ObjectStore
    writer: claim_writer.BatchWriter

    @property
    def reachable(self) -> bool:
        """Whether the table answered the last call."""
        return self.table.reachable

    async def read(self, key: str) -> StoredClaim | None:
        """Return the claim in a row, ``None`` if absent.

        Args:
            key: Key of the row.

        Raises:
            RowUnreadable: If the table is unavailable or the row malformed.
        """
        try:
            row = await self.table.get(key)
        except platform_table.TableUnavailable as error:
            raise RowUnreadable(str(error)) from error
        if row is None or row.value is None:
            return None
        return StoredClaim(row.version, decode_claim(row.value))

    async def write(
        self, key: str, claim: claims.Claim, expected: int, urgent: bool
    ) -> outcomes.StoreWriteResult:
        """Write a claim, after storing its response if that is large.

        Args:
            key: Key of the row.
            claim: The claim.
            expected: Version that the row must have, 0 if it must be absent.
            urgent: Whether a caller is waiting for the write.
        """
        try:
            claim = await self._store_large_answer(key, claim)
        except platform_objects.ObjectStoreUnavailable:
            # The row itself was not written.
            return outcomes.StoreWriteResult.UNKNOWN
        write = platform_table.Write(key, encode_claim(claim), expected)
        return await self.writer.submit(write, urgent)

    async def delete(self, key: str, stored: StoredClaim) -> None:
        """Delete a row and its stored response.

        The response is deleted first. If either delete fails, the row is left
        as an orphan, which ``Sweep`` deletes.

        Args:
            key: Key of the row.
            stored: The claim as read.
        """
        answer = stored.claim.answer
        if answer is not None and answer.object_key:
            try:
                await self.objects.delete(answer.object_key)
            except platform_objects.ObjectStoreUnavailable:
                return
        write = platform_table.Write(key, None, stored.version)
        await self.writer.submit(write, urgent=False)

    async def load_answer(self, reply: outcomes.Reply) -> outcomes.Reply:
        """Return a reply with its response read from the object store.

        Args:
            reply: The reply that the row implies.
        """
        answer = reply.answer
        if answer is None or not answer.object_key:
            return reply
        try:
            body = await self.objects.get(answer.object_key)
        except platform_objects.ObjectStoreUnavailable:
            body = None
        if body is None:
            return outcomes.Reply(
                outcomes.Outcome.UNKNOWN, 'answer-unreadable'
            )
        complete = attrs.evolve(answer, body=body, object_key='')
        return attrs.evolve(reply, answer=complete)

    async def _store_large_answer(
        self, key: str, claim: claims.Claim
    ) -> claims.Claim:
        answer = claim.answer
        if answer is None or len(answer.body) <= MAX_ROW_ANSWER_BYTES:
            return claim
        object_key = f'{key}/{claim.attempt}'
        await self.objects.put(object_key, answer.body)
        stored_answer = attrs.evolve(answer, body=b'', object_key=object_key)
        return attrs.evolve(claim, answer=stored_answer)


def row_key(service: str, key: str) -> str:
    """Return the key of a claim's row.

    The caller's key is encoded, since it may contain any character.

    Args:
        service: Name of the service.
        key: Idempotency key.

    Examples:
        >>> row_key('orders', 'a/b')
        'claims/orders/YS9i'
    """
    # aiohttp decodes header bytes that are not UTF-8 to surrogates.
    octets = key.encode(errors='surrogateescape')
    encoded = base64.urlsafe_b64encode(octets).decode().rstrip('=')
    return f'claims/{service}/{encoded}'


def encode_claim(claim: claims.Claim) -> dict[str, typing.Any]:
    """Return the JSON value of a claim.

    Args:
        claim: The claim.

    Examples:
        >>> claim = claims.open_claim('a', 'd', 1.0)
        >>> decode_claim(encode_claim(claim)) == claim
        True
    """
    value: dict[str, typing.Any] = {
        'state': claim.state.value,
        'attempt': claim.attempt,
        'digest': claim.digest,
        'written_at': claim.written_at,
    }
    if claim.answer is not None:
        value['answer'] = {
            'status': claim.answer.status,
            'headers': [list(pair) for pair in claim.answer.headers],
            'body': base64.b64encode(claim.answer.body).decode(),
            'object_key': claim.answer.object_key,
        }
    return value


def decode_claim(value: typing.Any) -> claims.Claim:
    """Return the claim in a JSON value.

    Args:
        value: Value of a row.

    Raises:
        RowUnreadable: If the value is malformed.
    """
    try:
        return claims.Claim(
            claims.ClaimState(value['state']),
            value['attempt'],
            value['digest'],
            float(value['written_at']),
            _decode_answer(value.get('answer')),
        )
    except (KeyError, TypeError, ValueError, binascii.Error) as error:
        raise RowUnreadable(f'malformed claim: {error!r}') from error


def _decode_answer(value: typing.Any) -> outcomes.Answer | None:
    if value is None:
        return None
    return outcomes.Answer(
        value['status'],
        tuple((name, text) for name, text in value['headers']),
        base64.b64decode(value['body']),
        value['object_key'],
    )
