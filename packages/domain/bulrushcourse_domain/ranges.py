"""Ranges of the values that the store, the VMs and the settings exchange.

What is accepted from one source must be encodable for the others: a value that
a VM reads from the store and another VM refuses in a report would void the
whole report.
"""

import re
import typing

# Integers must fit a signed 64-bit field of a message.
MAX_INTEGER = (1 << 63) - 1
# A call to the platform's store holds at most 1 MB, so that no row has a
# longer text.
MAX_TEXT_CHARACTERS = 1 << 20
MAX_DURATION_S = 7 * 86_400.0
MAX_SLOTS = 100_000
MAX_CORES = 10_000.0
MAX_PRIORITY = 1_000_000

_CONTROL_CHARACTER = re.compile('[\x00-\x1f\x7f-\x9f]')


def is_text(value: typing.Any) -> bool:
    r"""Return whether a value is a string that any message can carry.

    Control characters could end a header, and lone surrogates cannot be
    encoded.

    Args:
        value: The value.

    Examples:
        >>> is_text('liste de Thi\u00e8s'), is_text('a\r\nb'), is_text(7)
        (True, False, False)
    """
    if not isinstance(value, str) or len(value) > MAX_TEXT_CHARACTERS:
        return False
    # Printable strings have neither.
    return value.isprintable() or (
        _CONTROL_CHARACTER.search(value) is None and _is_encodable(value)
    )


def _is_encodable(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
