"""Digests of API keys.

Keys are kept only as digests, so that no log, dump or report can contain one.
"""

import hashlib

# Keys are random, so that a fast hash is sufficient; it is computed for every
# request.
DIGEST_BYTES = 16


def digest_key(key: str) -> bytes:
    """Return the digest under which a key is looked up.

    Two keys with the same digest cannot be found in practice, so that a
    look-up by digest compares whole keys in constant time.

    Args:
        key: The API key.

    Examples:
        >>> len(digest_key('k1')), digest_key('k1') == digest_key('k2')
        (16, False)
    """
    return hashlib.blake2b(
        key.encode('utf-8', 'surrogateescape'), digest_size=DIGEST_BYTES
    ).digest()
