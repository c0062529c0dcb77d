"""Owners, undecided requests and grants of an entry's slot client."""

import asyncio

import attrs

from bulrushcourse_domain.slots import requests


@attrs.frozen(eq=False)
class OwnerSession:
    """Ownership of a pool, as its owner announced it on a stream.

    Attributes:
        peer: Name of the owner.
        incarnation: Incarnation of the owner.
    """

    peer: str
    incarnation: str


@attrs.define(eq=False)
class PendingRequest:
    """A request that the pool's owner has not decided.

    Attributes:
        pool: Name of the pool.
        session: Owner that the request was sent to.
        request: The request.
        decision: Result is the decision, or ``None`` if the ownership ended.
    """

    pool: str
    session: OwnerSession
    request: requests.SlotRequest
    decision: asyncio.Future


@attrs.frozen
class HeldGrant:
    """A grant in use.

    Attributes:
        pool: Name of the pool.
        grant: The grant.
        fingerprint: Hash of the request's content.
    """

    pool: str
    grant: requests.Grant
    fingerprint: str
