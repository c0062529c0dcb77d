"""Tests of the client prefixes."""

import ipaddress

import hypothesis
import pytest
from hypothesis import strategies

from bulrushcourse_domain.routing import blocks

PLACES = strategies.sampled_from(['a', 'b', 'c'])


@strategies.composite
def prefixes(draw):
    """Generate prefixes in a small space, so that they nest and adjoin."""
    if draw(strategies.booleans()):
        length = draw(strategies.integers(24, 32))
        number = draw(strategies.integers(0, 255)) >> (32 - length)
        return str(ipaddress.IPv4Network((number << (32 - length), length)))
    length = draw(strategies.integers(56, 64))
    number = draw(strategies.integers(0, 255)) >> (64 - length)
    return str(ipaddress.IPv6Network((number << (128 - length), length)))


def find_longest(places, address):
    """Return the place by a direct search for the longest prefix."""
    parsed = ipaddress.ip_address(address)
    matches = [
        (network.prefixlen, place)
        for network, place in places.items()
        if parsed.version == network.version and parsed in network
    ]
    return max(matches)[1] if matches else ''


@hypothesis.given(strategies.dictionaries(prefixes(), PLACES, max_size=20))
@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
def test_longest_prefix_decides(places):
    """Guards against ranges that differ from longest prefix match."""
    compact = blocks.build_blocks(places.items())
    networks = {ipaddress.ip_network(p): v for p, v in places.items()}
    for number in range(0, 256, 5):
        v4 = str(ipaddress.IPv4Address(number))
        v6 = str(ipaddress.IPv6Address(number << 64 | 7))
        assert compact.place(v4) == find_longest(networks, v4)
        assert compact.place(v6) == find_longest(networks, v6)


def test_default_and_last_prefix_end_at_the_last_address():
    """Guards against an overflow at the end of the address space."""
    compact = blocks.build_blocks(
        [('0.0.0.0/0', 'a'), ('255.255.255.255/32', 'b'), ('::/0', 'c')]
    )
    assert compact.place('255.255.255.255') == 'b'
    assert compact.place('255.255.255.254') == 'a'
    assert compact.place('ffff::1') == 'c'
    assert compact.place('::ffff:1.2.3.4') == 'a'


@pytest.mark.parametrize('prefix', ['10.0.0.1/8', 'x', '2001:db8::/65'])
def test_malformed_prefix_is_reported_and_rejected(prefix):
    """Guards against publishing a prefix that the arrays cannot store."""
    assert blocks.check_block(prefix, 'p')[0].code == 'prefix'
    with pytest.raises(ValueError):
        blocks.build_blocks([(prefix, 'a')])
