"""What has been sent on a stream of reports to another VM."""

import attrs

from bulrushcourse_domain.accounts import key_permission
from bulrushcourse_domain.fleet import links as fleet_links
from bulrushcourse_domain.store import position as positions

Relation = fleet_links.Relation
# Name and incarnation of the VMs whose heartbeats are in a report.
Roster = tuple[tuple[str, int], ...]


@attrs.define
class StreamCursor:
    """What has been sent on one stream.

    Attributes:
        receiver: Name of the receiving VM, empty if it is not known.
        region: Region of the receiving VM, empty if it is not known.
        relation: What the receiver is to this VM.
        is_first: Whether nothing has been sent.
        roster: The last roster sent.
        evidence: Number of the last evidence about requests that was sent.
        leaving: Number of the last leaving upstream that was sent.
        vms: Number of the last new VM that was sent.
        vms_sent_at: When all VMs were sent.
        directory_position: Position of the directory that was sent.
        directory_read_at: When that position was read.
        directory_sent_at: When it was sent.
        heartbeats_sent_at: When heartbeats were sent.
        key_proof: Last proof of the keys that was sent, ``None`` for none.
    """

    receiver: str = ''
    region: str = ''
    relation: Relation = Relation.PRIMARY
    is_first: bool = True
    roster: Roster | None = None
    evidence: int = 0
    leaving: int = 0
    vms: int = 0
    vms_sent_at: float = float('-inf')
    directory_position: positions.Position = positions.START
    directory_read_at: float = float('-inf')
    directory_sent_at: float = float('-inf')
    heartbeats_sent_at: float = float('-inf')
    key_proof: key_permission.Proof | None = None
