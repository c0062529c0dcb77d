"""Encoding of requests for tokens of client accounts, as msgpack lists."""

import typing

import attrs
import msgpack

from bulrushcourse_wire import fields as checks

# First frame of a stream that carries requests for tokens. No report, which is
# a msgpack map, begins with these bytes.
STREAM_PREFACE = b'quota-tokens/1'
MAX_ACCOUNTS = 10_000
MAX_RETURNS = 50_000
MAX_TOKENS = 100_000
# Lists of a message: itself, two in it, and one for each account.
MAX_LISTS = 3 + MAX_ACCOUNTS + MAX_RETURNS
MAX_MESSAGE_BYTES = 4 << 20
_MAX_MS = 60_000


class MalformedMessage(ValueError):
    """A message cannot be decoded."""


@attrs.frozen
class Wanted:
    """Tokens that a VM wants.

    Attributes:
        account: Name of the account.
        needed: Tokens for requests that wait.
        extra: Tokens for requests that are expected.
    """

    account: str
    needed: int
    extra: int


@attrs.frozen
class Returned:
    """Tokens that a VM returns.

    Attributes:
        account: Name of the account.
        slot: Slot of their grant at the owner.
        count: Number of tokens.
    """

    account: str
    slot: int
    count: int


@attrs.frozen
class Ask:
    """Message of a VM to an owner.

    Attributes:
        wanted: Tokens that it wants.
        returned: Tokens that it returns.
    """

    wanted: tuple[Wanted, ...] = ()
    returned: tuple[Returned, ...] = ()


@attrs.frozen
class Granted:
    """Answer of an owner for one account.

    Attributes:
        account: Name of the account.
        count: Tokens granted, ``None`` if the VM cannot tell.
        slot: Slot of the grant.
        lifetime_ms: Time within which the tokens may be used, counted from
            when the request for them was sent.
        wait_ms: Time until there are tokens, if none were granted.
    """

    account: str
    count: int | None
    slot: int = 0
    lifetime_ms: int = 0
    wait_ms: int = 0


def encode_ask(ask: Ask) -> bytes:
    """Return an encoded message to an owner.

    Args:
        ask: The message.
    """
    return msgpack.packb(
        (
            [attrs.astuple(wanted) for wanted in ask.wanted],
            [attrs.astuple(returned) for returned in ask.returned],
        )
    )


def encode_answer(answer: typing.Iterable[Granted]) -> bytes:
    """Return an encoded answer of an owner.

    Args:
        answer: Its answers by account.
    """
    return msgpack.packb([attrs.astuple(granted) for granted in answer])


def decode_ask(content: bytes) -> Ask:
    """Return the message to an owner in a byte string.

    Args:
        content: The encoded message.

    Raises:
        MalformedMessage: If it cannot be decoded, or a field has another type
            or is out of range.
    """
    try:
        wanted, returned = checks.items(_unpack(content), 2)
        return Ask(
            tuple(
                Wanted(
                    checks.text(account),
                    checks.integer(needed, MAX_TOKENS),
                    checks.integer(extra, MAX_TOKENS),
                )
                for account, needed, extra in checks.items(
                    wanted, MAX_ACCOUNTS
                )
            ),
            tuple(
                Returned(
                    checks.text(account),
                    checks.integer(slot),
                    checks.integer(count, MAX_TOKENS),
                )
                for account, slot, count in checks.items(returned, MAX_RETURNS)
            ),
        )
    except Exception as error:
        # msgpack raises many unrelated types on bad input.
        raise MalformedMessage(f'{error!r:.200}') from error


def decode_answer(content: bytes) -> tuple[Granted, ...]:
    """Return the answer of an owner in a byte string.

    Args:
        content: The encoded answer.

    Raises:
        MalformedMessage: If it cannot be decoded, or a field has another type
            or is out of range.
    """
    try:
        return tuple(
            Granted(
                checks.text(account),
                None if count is None else checks.integer(count, MAX_TOKENS),
                checks.integer(slot),
                checks.integer(lifetime_ms, _MAX_MS),
                checks.integer(wait_ms, _MAX_MS),
            )
            for account, count, slot, lifetime_ms, wait_ms in checks.items(
                _unpack(content), MAX_ACCOUNTS
            )
        )
    except Exception as error:
        # msgpack raises many unrelated types on bad input.
        raise MalformedMessage(f'{error!r:.200}') from error


def _unpack(content: bytes) -> typing.Any:
    count = checks.ContainerCount(MAX_LISTS)
    return msgpack.unpackb(content, list_hook=count.add, object_hook=count.add)
