"""URLs of requests to upstreams."""

import yarl


def upstream_url(address: str, target: str) -> yarl.URL:
    """Return a URL that is requested with exactly the given target.

    The whole target is taken as the path, since a URL that is parsed loses an
    empty query.

    Args:
        address: ``ip:port`` of the upstream.
        target: Path and query.
    """
    host, _, port = address.rpartition(':')
    return yarl.URL.build(
        scheme='http', host=host, port=int(port), path=target, encoded=True
    )
