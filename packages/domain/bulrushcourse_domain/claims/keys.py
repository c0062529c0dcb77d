"""Idempotency keys that entries issue and sign."""

import hashlib
import hmac
import typing

import attrs

PREFIX = 'ik1'
SEPARATOR = '~'
SIGNATURE_HEX_DIGITS = 32


@attrs.frozen
class IssuedKey:
    """Content of an issued key.

    Attributes:
        entry: Name of the issuing entry.
        incarnation: Identifier of the issuing process.
        service: Service that the key is for.
        issued_ms: Time of issue in milliseconds of the issuer's monotonic
            clock.
        number: Sequence number within the incarnation.
    """

    entry: str
    incarnation: str
    service: str
    issued_ms: int
    number: int


def has_issued_format(text: str) -> bool:
    """Return whether a key has the format of an issued key.

    Such a key is never treated as a free-form key, even if its signature is
    invalid.

    Args:
        text: Key as sent by a caller.

    Examples:
        >>> has_issued_format('order-17')
        False
    """
    return text.startswith(PREFIX + SEPARATOR)


def sign_key(secret: bytes, key: IssuedKey) -> str:
    """Return the text of a key, including its signature.

    Args:
        secret: Secret shared by all entries.
        key: The key.

    Raises:
        ValueError: If a field contains the separator.

    Examples:
        >>> key = IssuedKey('e1', '7f', 'orders', 1000, 1)
        >>> text = sign_key(b's', key)
        >>> verify_key(b's', text) == key, verify_key(b'other', text)
        (True, None)
    """
    fields = (PREFIX, *(str(value) for value in attrs.astuple(key)))
    if any(SEPARATOR in field for field in fields):
        raise ValueError(f'{SEPARATOR!r} is not allowed in a field of {key}')
    content = SEPARATOR.join(fields)
    return f'{content}{SEPARATOR}{_signature(secret, content)}'


def verify_key(secret: bytes, text: str) -> IssuedKey | None:
    """Verify the signature and return the key, ``None`` if it is invalid.

    Args:
        secret: Secret shared by all entries.
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
    return digest.hex()[:SIGNATURE_HEX_DIGITS]
