"""Signed idempotency keys that entries hand out."""

import hashlib
import hmac
import typing

import attrs

PREFIX = 'ik1'
SEPARATOR = '~'
SIGNATURE_CHARACTERS = 32


@attrs.frozen
class IssuedKey:
    """A key that an entry handed out.

    Attributes:
        entry: Name of the issuing entry.
        incarnation: Identifier of the issuing process.
        service: Service that the key is for.
        issued_ms: Milliseconds of the issuer's clock.
        number: Counts the keys of the incarnation.
    """

    entry: str
    incarnation: str
    service: str
    issued_ms: int
    number: int


def is_issued_form(text: str) -> bool:
    """Return whether a key claims to be an issued key.

    Such a key never takes the free-form path, whether or not it is authentic.

    Args:
        text: Key as sent by a caller.

    Examples:
        >>> is_issued_form('order-17')
        False
    """
    return text.startswith(PREFIX + SEPARATOR)


def sign_key(secret: bytes, key: IssuedKey) -> str:
    """Return the text of a key with its signature.

    Args:
        secret: The secret that entries share.
        key: The key.

    Raises:
        ValueError: If a name has the separator in it.

    Examples:
        >>> key = IssuedKey('e1', '7f', 'orders', 1000, 1)
        >>> text = sign_key(b's', key)
        >>> read_key(b's', text) == key, read_key(b'other', text)
        (True, None)
    """
    fields = (PREFIX, *(str(value) for value in attrs.astuple(key)))
    if any(SEPARATOR in field for field in fields):
        raise ValueError(f'{SEPARATOR!r} in a field of {key}')
    content = SEPARATOR.join(fields)
    return f'{content}{SEPARATOR}{_signature(secret, content)}'


def read_key(secret: bytes, text: str) -> IssuedKey | None:
    """Return an authentic key, ``None`` for any other text.

    Args:
        secret: The secret that entries share.
        text: Key as sent by a caller.
    """
    if not text.isascii():
        return None
    content, _, signature = text.rpartition(SEPARATOR)
    expected = _signature(secret, content)
    if not hmac.compare_digest(signature.encode(), expected.encode()):
        return None
    fields: typing.Sequence[str] = content.split(SEPARATOR)
    if len(fields) != 6 or fields[0] != PREFIX:
        return None
    entry, incarnation, service, issued_ms, number = fields[1:]
    if not (issued_ms.isdecimal() and number.isdecimal()):
        return None
    return IssuedKey(entry, incarnation, service, int(issued_ms), int(number))


def _signature(secret: bytes, content: str) -> str:
    message = b'issued-key\x00' + content.encode()
    digest = hmac.digest(secret, message, hashlib.sha256)
    return digest.hex()[:SIGNATURE_CHARACTERS]
