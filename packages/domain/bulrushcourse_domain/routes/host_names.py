"""Host names as requests and look-ups spell them."""


def canonical(authority: str) -> str:
    """Return the name by which the routes of a host are found.

    Args:
        authority: Host name or address, with or without a port.

    Examples:
        >>> canonical('Shop.Example.:8080')
        'shop.example'
        >>> canonical('[::1]:80')
        '[::1]'
    """
    if authority.startswith('['):
        name = authority.partition(']')[0] + ']'
    else:
        name = authority.partition(':')[0]
    # The final dot is that of the root of the name system.
    return name.lower().removesuffix('.')
