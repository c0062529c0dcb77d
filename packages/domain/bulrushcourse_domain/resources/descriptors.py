"""Division of the descriptors of a VM.

Answers clients that open more connections than the VM has descriptors for:
the process must still reach its upstreams, the store and other VMs.
"""

import attrs

# Kept by the platform for files.
FILE_DESCRIPTORS = 200
# Taken as the limit of a VM whose settings do not state it.
DEFAULT_DESCRIPTORS = 4096
# Share of the sockets for upstreams, the store and other VMs.
RESERVED_SHARE = 0.25
# Share of the sockets that may be accepted at once, before the first of them
# can be closed.
BURST_SHARE = 0.25
MAX_BURST = 1024
# Share of the reserved sockets for streams that have sent no report yet.
UNKNOWN_STREAMS_SHARE = 0.25


@attrs.frozen
class DescriptorPlan:
    """How many sockets each purpose may have.

    Attributes:
        connections: Connections of clients, over all listeners.
        burst: Connections that a listener accepts at once.
        unknown_streams: Streams to the peer listener without a report.
    """

    connections: int
    burst: int
    unknown_streams: int


def plan(max_descriptors: int) -> DescriptorPlan:
    """Return how the descriptors of a VM are divided.

    Args:
        max_descriptors: Limit of the VM, 0 if it is unknown.

    Examples:
        >>> plan(4100)
        DescriptorPlan(connections=1950, burst=975, unknown_streams=243)
    """
    limit = max_descriptors or DEFAULT_DESCRIPTORS
    sockets = max(limit - FILE_DESCRIPTORS, limit // 4, 8)
    burst = min(MAX_BURST, int(sockets * BURST_SHARE))
    reserved = int(sockets * RESERVED_SHARE)
    return DescriptorPlan(
        connections=sockets - reserved - burst,
        burst=burst,
        unknown_streams=max(1, int(reserved * UNKNOWN_STREAMS_SHARE)),
    )
