"""A caller's request while it is being served."""

import functools
import hashlib

import attrs
import multidict

from bulrushcourse_domain.accounts import account_table
from bulrushcourse_domain.quarantine import fingerprints
from bulrushcourse_domain.quotas import token_stock
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_entry.edge.callers import attempt_records
from bulrushcourse_entry.edge.callers import body_content


@attrs.define(eq=False)
class CallerRequest:
    """A caller's request with its destination and the attempts so far.

    Attributes:
        request_id: Identifier of this attempt of the caller.
        method: HTTP method.
        target: Path and query as received.
        headers: Headers as received.
        body: The whole body.
        route: Route that matched.
        configuration_version: Version of the configuration with that route.
        service: Service that serves the request.
        region: Region that serves the request.
        object_key: Affinity object, empty if the request names none.
        arrived: Time of arrival, monotonic seconds.
        deadline: Time after which a response is useless, monotonic seconds.
        identity: On whose behalf the request is sent.
        token: Token of its account's quota, ``None`` if it needs none.
        tried: Upstreams that the request is not sent to again.
        attempts: Number of attempts at upstreams.
        is_counted: Whether it counts for the retry budget.
        is_probe: Whether it shows if a quarantined request still crashes
            upstreams.
        met_stale: Whether a reused connection was reset, which is not risked
            again.
        may_have_run: Whether one of them may have run it.
        steps: Descriptions of the attempts, for the log.
        records: Rows behind the attempts, for the log.
        configuration_age_s: For how long this VM had had its configuration
            when it decided, in seconds.
    """

    request_id: str
    method: str
    target: str
    headers: multidict.CIMultiDictProxy[str]
    body: body_content.Content
    route: routes.Route
    configuration_version: int
    service: str
    region: str
    object_key: str
    arrived: float
    deadline: float
    identity: account_table.Identity = account_table.ANONYMOUS
    token: token_stock.Token | None = None
    tried: set[str] = attrs.field(factory=set)
    attempts: int = 0
    is_counted: bool = False
    is_probe: bool = False
    met_stale: bool = False
    may_have_run: bool = False
    steps: list[str] = attrs.field(factory=list)
    records: list[attempt_records.AttemptRecord] = attrs.field(factory=list)
    configuration_age_s: float = 0.0

    @property
    def priority(self) -> int:
        """Priority of the request; 0 is served first."""
        account = self.identity.account
        if account is None or account.priority is None:
            return self.route.priority
        return account.priority

    @property
    def is_sent(self) -> bool:
        """Whether any byte of the latest attempt may have been sent."""
        return bool(self.records) and self.records[-1].trace.wrote

    @functools.cached_property
    def fingerprint(self) -> str:
        """What identifies the request, the same for every attempt at it.

        The caller is its client account, which is all that upstreams learn of
        the caller. Without accounts, all callers are one.
        """
        digest = hashlib.blake2b(digest_size=8)
        for part in self.body.parts:
            digest.update(part)
        fields = (self.method, self.route.host, self.target)
        digest.update(''.join(f'\x00{field}' for field in fields).encode())
        account = self.identity.account
        caller = hashlib.blake2b(
            (account.name if account else '').encode(), digest_size=4
        )
        return fingerprints.of_request(digest.hexdigest(), caller.hexdigest())
