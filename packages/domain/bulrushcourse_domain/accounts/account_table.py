"""The accounts of the active configuration, by key and name."""

import enum
import typing

import attrs

from bulrushcourse_domain import findings as finding_lists
from bulrushcourse_domain.accounts import account as accounts
from bulrushcourse_domain.accounts import keys


class KeyVerdict(enum.Enum):
    """Result of the check of a request's key."""

    # The configuration has no accounts, or the route needs no key.
    NOT_NEEDED = 'not-needed'
    KNOWN = 'known'
    UNKNOWN = 'unknown-key'


@attrs.frozen
class Identity:
    """On whose behalf a request is sent.

    Attributes:
        verdict: Result of the check of its key.
        account: The account, ``None`` without a known key.
    """

    verdict: KeyVerdict
    account: accounts.ClientAccount | None = None


ANONYMOUS = Identity(KeyVerdict.NOT_NEEDED)
UNKNOWN = Identity(KeyVerdict.UNKNOWN)


@attrs.frozen
class AccountTable:
    """Accounts of one configuration version.

    Attributes:
        by_name: Accounts by name.
        by_digest: Accounts by the digests of their keys.
        requires_keys: Whether requests on routes that are not public need a
            key.
        findings: Defects of the configuration's accounts.
        has_quotas: Whether an account has a quota.
    """

    by_name: typing.Mapping[str, accounts.ClientAccount] = attrs.field(
        factory=dict
    )
    by_digest: typing.Mapping[bytes, accounts.ClientAccount] = attrs.field(
        factory=dict
    )
    requires_keys: bool = False
    findings: tuple[finding_lists.Finding, ...] = ()
    has_quotas: bool = False

    def identify(self, key: str, is_public: bool) -> Identity:
        """Return on whose behalf a request with a key is sent.

        Args:
            key: The API key in the request, empty if it has none.
            is_public: Whether its route needs no key.

        Examples:
            >>> account = accounts.ClientAccount(
            ...     'a', frozenset({keys.digest_key('k')})
            ... )
            >>> table = build_table([account])
            >>> table.identify('k', False).account.name
            'a'
            >>> table.identify('other', False).verdict
            <KeyVerdict.UNKNOWN: 'unknown-key'>
        """
        if is_public or not self.requires_keys:
            return ANONYMOUS
        account = self.by_digest.get(keys.digest_key(key)) if key else None
        if account is None:
            return UNKNOWN
        return Identity(KeyVerdict.KNOWN, account)


def build_table(
    listed: typing.Iterable[accounts.ClientAccount],
    requires_keys: bool = True,
    findings: typing.Iterable[finding_lists.Finding] = (),
) -> AccountTable:
    """Return the table of accounts, with the defects that concern several.

    A key that two accounts hold identifies neither of them, and of two
    accounts with the same name the first one counts.

    Args:
        listed: The accounts of a configuration.
        requires_keys: Whether requests need a key, also if no account is
            left.
        findings: Defects of single accounts.
    """
    found = list(findings)
    by_name: dict[str, accounts.ClientAccount] = {}
    for account in listed:
        if by_name.setdefault(account.name, account) is not account:
            found.append(
                finding_lists.Finding(
                    f'accounts[{account.name}].name',
                    'duplicate',
                    'is that of an earlier account; this one is left out',
                )
            )
    holders: dict[bytes, list[accounts.ClientAccount]] = {}
    for account in by_name.values():
        for digest in account.key_digests:
            holders.setdefault(digest, []).append(account)
    found.extend(
        finding_lists.Finding(
            f'accounts[{account.name}].keys',
            'duplicate',
            f'have a key of account {held[0].name!r}, which is not accepted',
        )
        for held in holders.values()
        for account in held[1:]
    )
    return AccountTable(
        by_name,
        {
            digest: held[0]
            for digest, held in holders.items()
            if len(held) == 1
        },
        requires_keys,
        finding_lists.sort_findings(found),
        any(account.quota is not None for account in by_name.values()),
    )


def check_regions(
    table: AccountTable, regions: typing.Collection[str]
) -> tuple[finding_lists.Finding, ...]:
    """Return findings on home regions that do not exist.

    Args:
        table: The accounts.
        regions: All regions, empty if they are not known.
    """
    if not regions:
        return ()
    return tuple(
        finding_lists.Finding(
            f'accounts[{account.name}].home_regions',
            'unknown',
            f'have the region {region!r}, which does not exist',
        )
        for account in table.by_name.values()
        for region in sorted(account.home_regions.difference(regions))
    )
