"""Targets of requests, in the forms that HTTP allows."""

import re

import attrs
import multidict

from bulrushcourse_domain.routes import host_names

HOST = 'Host'
# Clients use the absolute form to proxies, and may use it to any server (RFC
# 9112, section 3.2.2).
_ABSOLUTE = re.compile(r'https?://([^/?]*)', re.IGNORECASE)


@attrs.frozen
class RequestTarget:
    """What a request is for.

    Attributes:
        authority: Host and port as the client spells them.
        path_and_query: Path and query, unchanged.
    """

    authority: str
    path_and_query: str

    @property
    def host(self) -> str:
        """Host name without port, as routes have it."""
        return host_names.canonical(self.authority)

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.path_and_query.partition('?')[0]

    def forwarded(
        self, headers: multidict.CIMultiDictProxy[str]
    ) -> multidict.CIMultiDictProxy[str]:
        """Return the headers of the request, with the host of its target.

        Args:
            headers: Headers of the request.
        """
        if headers.get(HOST, '') == self.authority:
            return headers
        replaced = multidict.CIMultiDict(headers)
        replaced[HOST] = self.authority
        return multidict.CIMultiDictProxy(replaced)


def parse(target: str, host: str) -> RequestTarget:
    """Return the target of a request.

    Args:
        target: Target in the request line.
        host: Value of the Host header, empty without one; the host of an
            absolute target goes before it.

    Examples:
        >>> parse('http://a.example?b', 'c').path_and_query
        '/?b'
    """
    absolute = _ABSOLUTE.match(target)
    if absolute is None:
        return RequestTarget(host, target)
    path_and_query = target[absolute.end() :]
    if not path_and_query.startswith('/'):
        path_and_query = '/' + path_and_query
    return RequestTarget(absolute.group(1).rpartition('@')[2], path_and_query)
