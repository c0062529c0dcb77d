"""Names of requests, made of their content and their caller.

Upstreams learn both and may crash by either, so that requests of different
callers are different ones although their content is the same.
"""

# Fingerprints of earlier versions, which leave the caller out, lack it.
_SEPARATOR = '.'


def of_request(content: str, caller: str) -> str:
    """Return the fingerprint of a caller's request.

    Args:
        content: Hash of the request's content.
        caller: Hash of its caller.

    Examples:
        >>> of_request('c0ffee', '7a')
        'c0ffee.7a'
    """
    return f'{content}{_SEPARATOR}{caller}'


def content_of(fingerprint: str) -> str:
    """Return the content of a fingerprint, empty if it names no caller.

    Args:
        fingerprint: A fingerprint, possibly of an earlier version.

    Examples:
        >>> content_of('c0ffee.7a'), content_of('c0ffee')
        ('c0ffee', '')
    """
    content, separator, _ = fingerprint.partition(_SEPARATOR)
    return content if separator else ''


def names(fingerprint: str) -> tuple[str, ...]:
    """Return all names under which a request may be quarantined.

    Args:
        fingerprint: A fingerprint, possibly of an earlier version.

    Examples:
        >>> names('c0ffee.7a')
        ('c0ffee.7a', 'c0ffee')
    """
    content = content_of(fingerprint)
    return (fingerprint, content) if content else (fingerprint,)
