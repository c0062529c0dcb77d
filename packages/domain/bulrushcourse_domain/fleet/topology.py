"""Which VMs relay reports: the relays of each region and its gateways.

If every VM sent its reports to every other one, the cost for each VM would
grow with the size of the fleet. Instead, each VM sends them to a relay in its
failure domain. The relays of a region send each other the sums of their
groups, and two of them, the gateways, send the sums of the region to the
gateways of the other regions. With ``n`` VMs in a region there are about
``sqrt(n)`` relays, each with about ``sqrt(n)`` VMs, so that the messages of a
relay grow with the square root of the fleet and those of the other VMs do not
grow.
"""

import collections
import math
import typing

import attrs

from bulrushcourse_domain import rendezvous
from bulrushcourse_domain.fleet import fleet

# In a region of at most this many VMs all are relays: they report to each
# other directly, which costs little and takes the least time.
MAX_MESH_VMS = 8
# Relays that a VM sends to: one for reports, one that gets heartbeats only, so
# that the loss of a relay does not make the VMs behind it look lost.
ATTACHMENTS = 2
# Gateways of a region, so that the loss of one makes no region look lost. Each
# sends to one gateway of each other region.
GATEWAYS = 2


@attrs.frozen
class Topology:
    """The relays of a fleet, as one VM computes them.

    VMs that know different VMs compute different ones. It does not matter for
    long, since relays serve every VM that sends to them.

    Attributes:
        relays: Names of the relays by region, the gateways first.
        attachments: Relays that this VM would send its reports to, best
            first.
    """

    relays: typing.Mapping[str, tuple[str, ...]] = attrs.field(factory=dict)
    attachments: tuple[str, ...] = ()

    def gateways(self, region: str) -> tuple[str, ...]:
        """Return the gateways of a region.

        Args:
            region: Name of the region.
        """
        return self.relays.get(region, ())[:GATEWAYS]

    def remote_gateways(self, name: str, region: str) -> tuple[str, ...]:
        """Return the gateways of other regions that a VM sends to.

        Args:
            name: Name of the VM.
            region: Its region.
        """
        own = self.gateways(region)
        if name not in own:
            return ()
        position = own.index(name)
        remote = (self.gateways(r) for r in self.relays if r != region)
        return tuple(
            gateways[min(position, len(gateways) - 1)]
            for gateways in remote
            if gateways
        )


def relay_count(domain_vms: int, region_vms: int) -> int:
    """Return the number of relays of a failure domain.

    Args:
        domain_vms: Number of its VMs.
        region_vms: Number of VMs in its region.

    Examples:
        >>> relay_count(4, 8), relay_count(22, 66), relay_count(72, 215)
        (4, 3, 5)
    """
    if region_vms <= MAX_MESH_VMS:
        return domain_vms
    return math.ceil(domain_vms / math.ceil(math.sqrt(region_vms)))


def plan(local: fleet.Vm, vms: typing.Iterable[fleet.Vm]) -> Topology:
    """Return the topology of a fleet.

    Args:
        local: This VM.
        vms: The VMs to choose from, this one included.
    """
    by_domain = collections.defaultdict(list)
    region_sizes: collections.Counter[str] = collections.Counter()
    for vm in vms:
        by_domain[vm.region, vm.failure_domain].append(vm)
        region_sizes[vm.region] += 1
    relays = collections.defaultdict(list)
    attachments: tuple[str, ...] = ()
    for (region, domain), members in sorted(by_domain.items()):
        count = relay_count(len(members), region_sizes[region])
        chosen = _strongest(domain, members, count)
        relays[region].extend(chosen)
        if (region, domain) == (local.region, local.failure_domain):
            attachments = rendezvous.top(local.name, chosen, len(chosen))
    return Topology(
        {
            region: rendezvous.rank('gateway', names)
            for region, names in relays.items()
        },
        attachments,
    )


def _strongest(
    domain: str, members: list[fleet.Vm], count: int
) -> tuple[str, ...]:
    """Return the VMs with the most cores, by rendezvous among equal ones."""
    by_cores = collections.defaultdict(list)
    for vm in members:
        by_cores[vm.cores].append(vm.name)
    chosen: list[str] = []
    for cores in sorted(by_cores, reverse=True):
        names = by_cores[cores]
        chosen.extend(rendezvous.top(domain, names, count - len(chosen)))
        if len(chosen) >= count:
            break
    return tuple(chosen)
