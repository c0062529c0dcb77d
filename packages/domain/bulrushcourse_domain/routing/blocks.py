"""Places of callers by longest prefix match on their addresses.

The prefixes are flattened into ranges that do not overlap and stored in
arrays: 6 bytes for an IPv4 range, 10 bytes for an IPv6 range.
"""

import array
import bisect
import ipaddress
import itertools
import typing

import attrs

from bulrushcourse_domain import findings

# The lower 64 bits are the interface identifier, which does not depend on the
# place.
IPV6_PREFIX_LIMIT = 64
# Index of ranges that no prefix covers.
NO_PLACE = 0
_PLACE_BITS = 16
_LENGTH_BITS = 7
# IPv4 prefixes are grouped by their first octet and sorted group by group.
_GROUP_BITS = 8
_MAX_PLACES = (1 << _PLACE_BITS) - 1


@attrs.define
class RangeTable:
    """Contiguous ranges of addresses, each with a place.

    Attributes:
        bits: Width of an address.
        starts: First address of each range, ascending.
        places: Index of the place of each range; ``NO_PLACE`` for none.
    """

    bits: int
    starts: array.array
    places: array.array

    def find(self, number: int) -> int:
        """Return the index of the place of an address.

        Args:
            number: The address as a number of ``bits`` bits.
        """
        index = bisect.bisect_right(self.starts, number) - 1
        return NO_PLACE if index < 0 else self.places[index]


@attrs.define
class ClientBlocks:
    """Places of callers, by the longest prefix that contains their address.

    Attributes:
        names: Names of places by index; index 0 stands for no place.
        ipv4: Ranges of IPv4 addresses.
        ipv6: Ranges of the upper halves of IPv6 addresses.
    """

    names: tuple[str, ...]
    ipv4: RangeTable
    ipv6: RangeTable

    def place(self, address: str) -> str:
        """Return the place of a caller, empty if no prefix contains it.

        Args:
            address: IPv4 or IPv6 address; an IPv4-mapped IPv6 address is
                treated as IPv4.

        Raises:
            ValueError: If it is not a valid address.

        Examples:
            >>> blocks = build_blocks(
            ...     [('10.0.0.0/8', 'cluj-a'), ('10.9.0.0/16', 'buc-a')]
            ... )
            >>> blocks.place('10.9.1.1'), blocks.place('10.8.1.1')
            ('buc-a', 'cluj-a')
            >>> blocks.place('192.0.2.1')
            ''
        """
        if ':' not in address:
            number = int(ipaddress.IPv4Address(address))
            return self.names[self.ipv4.find(number)]
        parsed = ipaddress.IPv6Address(address)
        if parsed.ipv4_mapped is not None:
            number = int(parsed.ipv4_mapped)
            return self.names[self.ipv4.find(number)]
        number = int(parsed) >> (128 - IPV6_PREFIX_LIMIT)
        return self.names[self.ipv6.find(number)]

    @property
    def size_bytes(self) -> int:
        """Memory used by the arrays."""
        return sum(
            column.itemsize * len(column)
            for table in (self.ipv4, self.ipv6)
            for column in (table.starts, table.places)
        )


def build_blocks(blocks: typing.Iterable[tuple[str, str]]) -> ClientBlocks:
    """Build the compact form of checked prefixes.

    Args:
        blocks: Pairs of prefix and name of a place, in any order. If a prefix
            occurs more than once, the place with the highest index wins.

    Raises:
        ValueError: If a prefix is malformed or there are too many places.
    """
    indexes = {'': NO_PLACE}
    ipv4 = [array.array('Q') for _ in range(1 << _GROUP_BITS)]
    ipv6: list[int] = []
    for prefix, place in blocks:
        index = indexes.setdefault(place, len(indexes))
        if index > _MAX_PLACES:
            raise ValueError(f'more than {_MAX_PLACES} places')
        start, length, bits = _parse_prefix(prefix)
        packed = (start << _LENGTH_BITS | length) << _PLACE_BITS | index
        if bits == IPV6_PREFIX_LIMIT:
            ipv6.append(packed)
        else:
            ipv4[start >> (bits - _GROUP_BITS)].append(packed)
    return ClientBlocks(
        tuple(indexes),
        _flatten(ipv4, 32, 'I'),
        _flatten([ipv6], IPV6_PREFIX_LIMIT, 'Q'),
    )


def check_block(prefix: str, place: str) -> tuple[findings.Finding, ...]:
    """Return the findings on an address prefix.

    Args:
        prefix: Address prefix such as ``10.0.0.0/8``.
        place: Field that contains the prefix, for the finding.

    Examples:
        >>> check_block('10.0.0.1/8', 'places[a].clients')[0].code
        'prefix'
    """
    try:
        _parse_prefix(prefix)
    except ValueError as error:
        remedy = (
            f'a prefix such as 10.0.0.0/8; IPv6 at most /{IPV6_PREFIX_LIMIT}'
        )
        return (findings.Finding(place, 'prefix', str(error), remedy),)
    return ()


def _parse_prefix(prefix: str) -> tuple[int, int, int]:
    """Return first address, prefix length and address width.

    Parsing with ``ipaddress.ip_network`` takes about three times as long.
    """
    address, _, length_text = prefix.partition('/')
    if ':' in address:
        start, bits = int(ipaddress.IPv6Address(address)), IPV6_PREFIX_LIMIT
        dropped = 128 - bits
    else:
        start, bits, dropped = int(ipaddress.IPv4Address(address)), 32, 0
    length = int(length_text)
    if not 0 <= length <= bits:
        raise ValueError(
            f'{prefix}: prefix length is not between 0 and {bits}'
        )
    if start & ((1 << (bits + dropped - length)) - 1):
        raise ValueError(f'{prefix}: has host bits set')
    return start >> dropped, length, bits


def _flatten(
    groups: typing.Iterable[typing.Iterable[int]], bits: int, typecode: str
) -> RangeTable:
    """Return ranges that do not overlap; longer prefixes override shorter.

    Args:
        groups: Packed prefixes in groups; all of a group are below those of
            the next. Each group is sorted on its own, because a sorted list
            takes six times the memory of an array.
        bits: Width of an address.
        typecode: Array type code of the range starts.
    """
    table = RangeTable(bits, array.array(typecode), array.array('H'))
    # Prefixes that contain the current one, shortest first: end and place.
    enclosing: list[tuple[int, int]] = []
    for packed in itertools.chain.from_iterable(map(sorted, groups)):
        index = packed & _MAX_PLACES
        packed >>= _PLACE_BITS
        length = packed & ((1 << _LENGTH_BITS) - 1)
        start = packed >> _LENGTH_BITS
        _end_prefixes(table, enclosing, start)
        _append_range(table, start, index)
        enclosing.append((start + (1 << (bits - length)), index))
    _end_prefixes(table, enclosing, 1 << bits)
    return table


def _end_prefixes(
    table: RangeTable, enclosing: list[tuple[int, int]], start: int
) -> None:
    """Append the remainder of prefixes that end by the next start."""
    while enclosing and enclosing[-1][0] <= start:
        end, _ = enclosing.pop()
        if end < 1 << table.bits:
            _append_range(
                table, end, enclosing[-1][1] if enclosing else NO_PLACE
            )


def _append_range(table: RangeTable, start: int, index: int) -> None:
    if table.starts and table.starts[-1] == start:
        table.places[-1] = index
        if len(table.places) > 1 and table.places[-2] == index:
            table.starts.pop()
            table.places.pop()
    elif not table.places or table.places[-1] != index:
        table.starts.append(start)
        table.places.append(index)
