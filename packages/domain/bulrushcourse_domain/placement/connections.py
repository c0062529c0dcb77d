"""How many of an upstream's connections one VM may use."""

# The rest is left for health checks and for VMs that take over from others.
SHARE_IN_USE = 0.9
# Descriptors and memory of a VM are bounded; a fleet of one VM needs as many
# as an upstream has slots.
MOST_CONNECTIONS = 64


def allowed_connections(limit: int, vms: int) -> int:
    """Return the connections to one upstream that a VM may have open.

    Args:
        limit: Connections that the upstream accepts from all VMs.
        vms: VMs that may be using it.

    Examples:
        >>> allowed_connections(1500, 11), allowed_connections(1500, 640)
        (64, 2)
    """
    share = int(limit * SHARE_IN_USE / vms)
    return min(MOST_CONNECTIONS, max(1, share))
