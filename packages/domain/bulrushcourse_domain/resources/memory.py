"""One sum of the memory that the traffic of a VM may take.

Answers large uploads, responses and heads on many connections at once, on VMs
whose process is ended when it exceeds its memory.
"""

import enum

import attrs

# Memory of the process without traffic: 42 MB after its start, and more with
# the number of upstreams and VMs that it knows.
PROCESS_BYTES = 48 << 20
# Share of the memory that is left to the allocator and to short-lived copies.
SPARE_SHARE = 0.12
# Smallest sum, for VMs that are smaller than the process needs.
MIN_TRAFFIC_BYTES = 8 << 20
# Taken as the memory of a VM whose settings do not state it.
DEFAULT_VM_BYTES = 200 << 20


class Use(enum.Enum):
    """What memory is taken for."""

    CONNECTIONS = 'connections'
    REQUESTS = 'requests'
    RESPONSES = 'responses'
    PEERS = 'peers'


# Connections with their heads, and reports of other VMs, keep a share of
# their own, so that bodies never take the memory that refusing them needs.
OWN_SHARES = {Use.CONNECTIONS: 0.3, Use.PEERS: 0.08}
BODIES_SHARE = 1.0 - sum(OWN_SHARES.values())
# Large bodies leave the rest of the bodies' share to small ones. The shares
# allow one request body of 64 MiB on a VM with 200 MB.
LARGE_SHARES = {Use.REQUESTS: 0.85, Use.RESPONSES: 0.3}
# Requests and responses each leave the rest of the bodies' share to the other.
BODY_SHARES = {Use.REQUESTS: 0.92, Use.RESPONSES: 0.6}
# A body that is larger than this share of the bodies' memory is large.
LARGE_BODY_SHARE = 1 / 24


@attrs.define(eq=False)
class MemoryBudget:
    """Memory that is taken and may be taken, by use.

    Attributes:
        total_bytes: Memory for all uses.
        used_bytes: Bytes taken, by use.
    """

    total_bytes: int
    used_bytes: dict[Use, int] = attrs.field(
        factory=lambda: dict.fromkeys(Use, 0)
    )

    @property
    def bodies_bytes(self) -> float:
        """Memory for bodies of requests and responses together."""
        return self.total_bytes * BODIES_SHARE

    def share_bytes(self, use: Use) -> float:
        """Return the most that a use may take.

        Args:
            use: The use.
        """
        if use in OWN_SHARES:
            return self.total_bytes * OWN_SHARES[use]
        return self.bodies_bytes * BODY_SHARES[use]

    def try_take(self, use: Use, added: int, held: int = 0) -> bool:
        """Take memory and return whether the budget allowed it.

        Args:
            use: What it is taken for.
            added: Bytes to take.
            held: Bytes that the same body has taken before.

        Examples:
            >>> budget = MemoryBudget(1000)
            >>> budget.try_take(Use.PEERS, 60), budget.try_take(Use.PEERS, 60)
            (True, False)
        """
        if added > self.available_bytes(use, held + added):
            return False
        self.used_bytes[use] += added
        return True

    def available_bytes(self, use: Use, size: int) -> float:
        """Return how much may still be taken for a use.

        Args:
            use: The use.
            size: Size of the whole body or report in bytes.
        """
        used = self.used_bytes[use]
        if use in OWN_SHARES:
            return self.share_bytes(use) - used
        bodies = self.bodies_bytes
        taken = sum(
            self.used_bytes[body] for body in (Use.REQUESTS, Use.RESPONSES)
        )
        available = min(bodies - taken, self.share_bytes(use) - used)
        if size <= bodies * LARGE_BODY_SHARE:
            return available
        return min(available, bodies * LARGE_SHARES[use] - used)

    def uncounted_bytes(self, resident: int) -> int:
        """Return what a process occupies beyond itself and the budget.

        Args:
            resident: Memory that the process occupies in bytes.

        Examples:
            >>> MemoryBudget(1000).uncounted_bytes(PROCESS_BYTES + 7)
            7
        """
        counted = PROCESS_BYTES + sum(self.used_bytes.values())
        return max(0, resident - counted)

    def release(self, use: Use, size: int) -> None:
        """Return memory to the budget.

        Args:
            use: What it was taken for.
            size: Bytes to return.
        """
        self.used_bytes[use] -= size


@attrs.define(eq=False)
class BodyMemory:
    """The memory of one body, taken until nothing refers to the body.

    The body refers to this object. Its bytes return to the budget when the
    last user of the body has gone, whoever that is: the handler, an attempt
    that goes on after its client has left, or a response that is being
    written.

    Attributes:
        budget: Memory of the VM's traffic.
        use: What the memory is taken for.
        size: Bytes taken.

    Examples:
        >>> budget = MemoryBudget(1000)
        >>> memory = BodyMemory(budget, Use.REQUESTS)
        >>> memory.try_grow(20), budget.used_bytes[Use.REQUESTS]
        (True, 20)
        >>> del memory
        >>> budget.used_bytes[Use.REQUESTS]
        0
    """

    budget: MemoryBudget
    use: Use
    size: int = 0

    def try_grow(self, added: int) -> bool:
        """Take more memory and return whether the budget allowed it.

        Args:
            added: Bytes to add.
        """
        if not self.budget.try_take(self.use, added, self.size):
            return False
        self.size += added
        return True

    def __del__(self) -> None:
        self.budget.release(self.use, self.size)


def traffic_bytes(vm_bytes: int) -> int:
    """Return the memory that traffic may take on a VM.

    Args:
        vm_bytes: Memory of the VM in bytes, 0 if it is unknown.

    Examples:
        >>> traffic_bytes(200 << 20) >> 20
        128
    """
    memory = vm_bytes or DEFAULT_VM_BYTES
    return max(
        MIN_TRAFFIC_BYTES, int(memory * (1 - SPARE_SHARE)) - PROCESS_BYTES
    )
