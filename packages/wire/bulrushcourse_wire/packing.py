"""Compression of configurations for reports between VMs."""

import zlib

# Maximum size of a configuration of another VM when decompressed. The store
# holds rows of up to 1 MB.
MAX_CONFIGURATION_BYTES = 4 << 20


class MalformedContent(ValueError):
    """A configuration cannot be decompressed."""


def pack_content(content: bytes) -> bytes:
    """Compress a configuration for a report.

    A configuration of 1,400 routes is sent to each VM that is behind, and
    its text is repetitive.

    Args:
        content: The configuration.

    Examples:
        >>> len(pack_content(b'route' * 1000)) < 50
        True
    """
    return zlib.compress(content)


def unpack_content(packed: bytes) -> bytes:
    """Return the decompressed configuration of a report.

    Args:
        packed: The compressed configuration.

    Raises:
        MalformedContent: If it is damaged or too long.

    Examples:
        >>> unpack_content(pack_content(b'routes'))
        b'routes'
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(packed, MAX_CONFIGURATION_BYTES)
    except zlib.error as error:
        raise MalformedContent(repr(error)) from error
    if not decompressor.eof:
        raise MalformedContent('the configuration is truncated or too long')
    return content
