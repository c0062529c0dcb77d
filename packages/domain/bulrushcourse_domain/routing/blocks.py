"""Places of callers by their address prefixes.

The prefixes are flattened into ranges that do not overlap and kept in arrays:
6 bytes for an IPv4 range, 10 bytes for an IPv6 range.
"""

import array
import bisect
import ipaddress
import itertools
import typing

import attrs

from bulrushcourse_domain import findings

# Interface identifiers say nothing of a caller's place.
IPV6_PREFIX_LIMIT = 64
# Range that lies in no block.
NO_PLACE = 0
_PLACE_BITS = 16
_LENGTH_BITS = 7
# IPv4 blocks are sorted in parts by the first octet.
_PART_BITS = 8
_PLACE_LIMIT = (1 << _PLACE_BITS) - 1


@attrs.define
class RangeTable:
    """Ranges of numbers that follow one another, each with a place.

    Attributes:
        bits: Width of the numbers.
        starts: First number of each range, ascending.
        places: Index of each range's place; ``NO_PLACE`` for none.
    """

    bits: int
    starts: array.array
    places: array.array

    def find(self, number: int) -> int:
        """Return the index of a number's place.

        Args:
            number: A number of the table's width.
        """
        index = bisect.bisect_right(self.starts, number) - 1
        return NO_PLACE if index < 0 else self.places[index]


@attrs.define
class ClientBlocks:
    """Places of callers, by the longest prefix that holds their address.

    Attributes:
        names: Names of places; index 0 stands for none.
        ipv4: Ranges of IPv4 addresses.
        ipv6: Ranges of the upper halves of IPv6 addresses.
    """

    names: tuple[str, ...]
    ipv4: RangeTable
    ipv6: RangeTable

    def place(self, address: str) -> str:
        """Return the place of a caller, empty if no block holds it.

        Args:
            address: IPv4 or IPv6 address; an IPv4 address that is mapped into
                IPv6 counts as IPv4.

        Raises:
            ValueError: If it is no address.

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
        """Memory of the arrays."""
        return sum(
            column.itemsize * len(column)
            for table in (self.ipv4, self.ipv6)
            for column in (table.starts, table.places)
        )


def build_blocks(blocks: typing.Iterable[tuple[str, str]]) -> ClientBlocks:
    """Return the compact form of checked blocks.

    Args:
        blocks: Prefixes and names of places, in any order; of equal prefixes
            the one with the last place counts.

    Raises:
        ValueError: If a prefix is malformed or there are too many places.
    """
    indexes = {'': NO_PLACE}
    ipv4 = [array.array('Q') for _ in range(1 << _PART_BITS)]
    ipv6: list[int] = []
    for prefix, place in blocks:
        index = indexes.setdefault(place, len(indexes))
        if index > _PLACE_LIMIT:
            raise ValueError(f'more than {_PLACE_LIMIT} places')
        start, length, bits = _parse_prefix(prefix)
        packed = (start << _LENGTH_BITS | length) << _PLACE_BITS | index
        if bits == IPV6_PREFIX_LIMIT:
            ipv6.append(packed)
        else:
            ipv4[start >> (bits - _PART_BITS)].append(packed)
    return ClientBlocks(
        tuple(indexes),
        _flatten(ipv4, 32, 'I'),
        _flatten([ipv6], IPV6_PREFIX_LIMIT, 'Q'),
    )


def check_block(prefix: str, place: str) -> tuple[findings.Finding, ...]:
    """Return the findings against a prefix.

    Args:
        prefix: Address prefix such as ``10.0.0.0/8``.
        place: Where the prefix is written, for the finding.

    Examples:
        >>> check_block('10.0.0.1/8', 'places[a].clients')[0].code
        'prefix'
    """
    try:
        _parse_prefix(prefix)
    except ValueError as error:
        remedy = f'as 10.0.0.0/8; IPv6 at most /{IPV6_PREFIX_LIMIT}'
        return (findings.Finding(place, 'prefix', str(error), remedy),)
    return ()


def _parse_prefix(prefix: str) -> tuple[int, int, int]:
    """Return start, length and width of a prefix.

    ``ipaddress.ip_network`` takes about three times as long.
    """
    address, _, length_text = prefix.partition('/')
    if ':' in address:
        start, bits = int(ipaddress.IPv6Address(address)), IPV6_PREFIX_LIMIT
        dropped = 128 - bits
    else:
        start, bits, dropped = int(ipaddress.IPv4Address(address)), 32, 0
    length = int(length_text)
    if not 0 <= length <= bits:
        raise ValueError(f'{prefix}: length is not within 0 to {bits}')
    if start & ((1 << (bits + dropped - length)) - 1):
        raise ValueError(f'{prefix}: has host bits set')
    return start >> dropped, length, bits


def _flatten(
    parts: typing.Iterable[typing.Iterable[int]], bits: int, typecode: str
) -> RangeTable:
    """Return ranges that do not overlap, inner blocks over outer ones.

    Args:
        parts: Packed blocks, in parts that ascend; each part is sorted by
            itself, because a sorted list takes six times the memory of an
            array.
        bits: Width of the numbers.
        typecode: Type of the array of starts.
    """
    table = RangeTable(bits, array.array(typecode), array.array('H'))
    # Blocks around the current one, outermost first: end and place.
    around: list[tuple[int, int]] = []
    for block in itertools.chain.from_iterable(map(sorted, parts)):
        index = block & _PLACE_LIMIT
        block >>= _PLACE_BITS
        length = block & ((1 << _LENGTH_BITS) - 1)
        start = block >> _LENGTH_BITS
        _close(table, around, start)
        _append(table, start, index)
        around.append((start + (1 << (bits - length)), index))
    _close(table, around, 1 << bits)
    return table


def _close(
    table: RangeTable, around: list[tuple[int, int]], start: int
) -> None:
    """End the blocks that do not reach a start."""
    while around and around[-1][0] <= start:
        end, _ = around.pop()
        if end < 1 << table.bits:
            _append(table, end, around[-1][1] if around else NO_PLACE)


def _append(table: RangeTable, start: int, index: int) -> None:
    if table.starts and table.starts[-1] == start:
        table.places[-1] = index
        if len(table.places) > 1 and table.places[-2] == index:
            table.starts.pop()
            table.places.pop()
    elif not table.places or table.places[-1] != index:
        table.starts.append(start)
        table.places.append(index)
