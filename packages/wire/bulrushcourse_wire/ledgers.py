"""JSON encoding of the ledger rows with the shares of limits."""

import typing

import cattrs
from returns import result

from bulrushcourse_domain.limits import ledger as ledgers

_CONVERTER = cattrs.Converter()


def render_ledger(ledger: ledgers.Ledger) -> dict[str, typing.Any]:
    """Return a ledger as a JSON value.

    Args:
        ledger: The ledger to store.
    """
    return _CONVERTER.unstructure(ledger)


def parse_ledger(value: typing.Any) -> result.Result[ledgers.Ledger, str]:
    """Return the ledger in a JSON value, or why it cannot be parsed.

    Unknown fields are ignored.

    Args:
        value: JSON value of a row.

    Examples:
        >>> terms = ledgers.Terms(1, 100, ('a', 'b'), 5.0)
        >>> ledger = ledgers.Ledger(terms, {'a': 25})
        >>> parse_ledger(render_ledger(ledger)).unwrap() == ledger
        True
        >>> parse_ledger({'terms': 3}).failure()
        'the row holds no ledger'
    """
    try:
        return result.Success(_CONVERTER.structure(value, ledgers.Ledger))
    except Exception:
        # cattrs raises errors of many types for a malformed value.
        return result.Failure('the row holds no ledger')
