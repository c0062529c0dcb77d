"""One request of a caller while it is served."""

import functools
import hashlib

import attrs
import multidict

from bulrushcourse_domain.routes import route as routes


@attrs.define(eq=False)
class Call:
    """A request of a caller.

    Attributes:
        request_id: Identifier of this attempt.
        method: HTTP method.
        target: Path and query as they were sent.
        headers: Headers as they were sent.
        body: The whole body.
        route: Its route.
        configuration_version: Version that the route is of.
        service: Service that shall run it.
        region: Region that shall run it.
        object_key: Object that it concerns, empty if it names none.
        arrived: When it arrived.
        deadline: When an answer is of no more use.
        tried: Upstreams that it was sent to.
        may_have_run: Whether one of them may have run it.
        steps: What was done, for the log.
    """

    request_id: str
    method: str
    target: str
    headers: multidict.CIMultiDictProxy[str]
    body: bytes
    route: routes.Route
    configuration_version: int
    service: str
    region: str
    object_key: str
    arrived: float
    deadline: float
    tried: set[str] = attrs.field(factory=set)
    may_have_run: bool = False
    steps: list[str] = attrs.field(factory=list)

    @functools.cached_property
    def fingerprint(self) -> str:
        """Hash of what the request asks for, without its identifier."""
        digest = hashlib.blake2b(self.body, digest_size=8)
        digest.update(f'\x00{self.method}\x00{self.target}'.encode())
        return digest.hexdigest()
