"""The share of an upstream's connections that one VM may use."""

# The remaining connections are reserved for health checks and for VMs that
# replace others.
USABLE_SHARE = 0.9
# Bounds the file descriptors and memory of a VM. A fleet of one VM needs as
# many connections as an upstream has slots.
MAX_CONNECTIONS = 64


def allowed_connections(limit: int, vm_count: int) -> int:
    """Return how many connections a VM may have open to one upstream.

    Args:
        limit: Connections that the upstream accepts from all VMs together.
        vm_count: Number of VMs that may be using it.

    Examples:
        >>> allowed_connections(1500, 11), allowed_connections(1500, 640)
        (64, 2)
    """
    share = int(limit * USABLE_SHARE / vm_count)
    return min(MAX_CONNECTIONS, max(1, share))
