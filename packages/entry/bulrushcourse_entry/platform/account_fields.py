"""Decoding of the client accounts of a configuration."""

import typing

from bulrushcourse_domain import findings
from bulrushcourse_domain import ranges
from bulrushcourse_domain.accounts import account as accounts
from bulrushcourse_domain.accounts import account_table
from bulrushcourse_domain.accounts import keys
from bulrushcourse_entry.platform import units

MAX_RATE_PER_S = 1e9


def decode_accounts(listed: typing.Any) -> account_table.AccountTable:
    """Return the accounts of a configuration.

    An account with a malformed field is left out, so that its keys are
    unknown; the others hold. The defects are findings of the table.

    Args:
        listed: Value of the ``tenants`` field, ``None`` if it is missing.

    Raises:
        MalformedValue: If it is not a list, so that it is not known which
            keys hold.
    """
    if listed is None or listed == []:
        return account_table.AccountTable()
    if not isinstance(listed, list):
        raise units.MalformedValue(f'tenants is {listed!r:.50}, not a list')
    decoded = []
    found = []
    for position, fields in enumerate(listed):
        place = f'tenants[{position}]'
        try:
            decoded.append(_account(fields))
        except units.DECODING_ERRORS as error:
            found.append(findings.Finding(place, 'malformed', _text(error)))
    return account_table.build_table(decoded, True, found)


def _text(error: Exception) -> str:
    """Return a description of an error that names no key."""
    if isinstance(error, units.MalformedValue):
        return str(error)
    return f'has a field of another type ({type(error).__name__})'


def _key(value: typing.Any) -> str:
    try:
        return units.non_empty_string(value, 'api_keys')
    except units.MalformedValue:
        # The message of the error contains the key.
        raise units.MalformedValue('a key is malformed') from None


def _account(fields: dict[str, typing.Any]) -> accounts.ClientAccount:
    priority = fields.get('priority')
    return accounts.ClientAccount(
        name=units.non_empty_string(fields['name'], 'name'),
        key_digests=frozenset(
            keys.digest_key(_key(key)) for key in fields.get('api_keys') or ()
        ),
        priority=(
            None
            if priority is None
            else units.capped_integer(
                priority, 'priority', ranges.MAX_PRIORITY
            )
        ),
        home_regions=frozenset(
            units.non_empty_string(region, 'home_regions')
            for region in fields.get('home_regions') or ()
        ),
        quota=_quota(fields),
    )


def _quota(fields: dict[str, typing.Any]) -> accounts.Quota | None:
    """Return the quota; a rate of 0 or none means no limit."""
    rate, burst = (
        units.capped_number(fields.get(name) or 0, name, MAX_RATE_PER_S)
        for name in ('rate_per_s', 'burst')
    )
    return accounts.Quota(rate, burst) if rate else None
