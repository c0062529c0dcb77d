"""What an entry has asked of owners of pools, and what it holds."""

import asyncio

import attrs

from bulrushcourse_domain.slots import requests


@attrs.frozen(eq=False)
class Session:
    """The ownership of a pool that its owner announced on a stream.

    Attributes:
        peer: Name of the owner.
        incarnation: Incarnation of the owner.
    """

    peer: str
    incarnation: str


@attrs.define(eq=False)
class Ask:
    """A request that the owner has not decided.

    Attributes:
        pool: Name of the pool.
        session: Ownership that was asked.
        wish: The request.
        decided: Set to the decision, or to ``None`` if the ownership ended.
    """

    pool: str
    session: Session
    wish: requests.SlotRequest
    decided: asyncio.Future


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
