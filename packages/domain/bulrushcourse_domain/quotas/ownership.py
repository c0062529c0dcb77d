"""Which VM of a place grants the tokens of an account, and since when.

Load: VMs that are killed, restarted, frozen or cut off while accounts use
their quotas. Each place, a region or a failure domain, has its own owner for
each account. All VMs compute the owners from the fleet; no messages are
needed for it. An owner grants only while it has a quorum of its place,
and only after a gap in which a former owner, which may not know yet that it
was replaced, has stopped.
"""

import math
import typing

import attrs

from bulrushcourse_domain import rendezvous
from bulrushcourse_domain.fleet import fleet

# A former owner that was cut off stops when it has had no quorum for
# ``fleet.HEARTBEAT_TIMEOUT_S``; until then its connections may deliver
# reports of others for 1.5 s although its own do not arrive.
TAKEOVER_GAP_S = 3.0
# A new process has new connections, which pass both ways: a successor stops
# when the first heartbeats have reached it through at most two relays.
RESTART_GAP_S = 1.5
# VMs that were silent for less may be cut off and still grant.
SHARING_S = fleet.SHARING_TIMEOUT_S
# A VM that did not observe the fleet for this long was frozen, and others may
# replace it: they see it silent after 2 s at the earliest, and wait for a gap.
MAX_OBSERVATION_GAP_S = 2.0
# Where all VMs of the quorum of this VM started within this time of
# each other, no former owner has a quorum.
STARTED_TOGETHER_MS = 5000
# That holds only if this VM has a quorum this soon after its start:
# others do not replace it earlier than ``TAKEOVER_GAP_S`` after they see it
# starting.
HEARD_WITHIN_S = 2.0
# The place of all VMs where no failure domains are configured.
EVERYWHERE = ''
# Bound on the remembered orders of preference.
MAX_ORDERS = 20_000
# A VM that is starting grants as soon as it has a configuration. Waiting until
# it is ready would add a second after a restart of all VMs.
_PHASES = frozenset(fleet.Phase) - {fleet.Phase.LEAVING}


def pool_size(vm_count: int) -> int:
    """Return how many VMs of a place are owners before others are.

    Few owners mean fewer streams from each VM and more tokens in a message.

    Args:
        vm_count: Number of VMs of the place.

    Examples:
        >>> pool_size(1), pool_size(22), pool_size(160)
        (1, 5, 13)
    """
    return math.ceil(math.sqrt(vm_count))


@attrs.define(eq=False)
class Ownership:
    """Owners of the accounts as this VM sees them.

    Attributes:
        vms: The fleet.
        regions: Region of each configured failure domain.
        observed_at: Time of the last observation, monotonic seconds.
        eligible_since: Time since which this VM has a quorum of its
            place without interruption, ``None`` if it does not.
        started_at: Time when the process started, monotonic seconds.
        first_gap_s: Time for which it grants nothing after that.
        stopped: Time since which each other VM of the place cannot be an
            owner, by name.
        places: All places: the regions, or the failure domains of a fleet
            with a single region.
        local_place: Place of this VM.
        pools: Most preferred owners of each place.
        pools_version: Roster version of ``pools``.
        orders: Pools in the order of preference, by place and account.
    """

    vms: fleet.Fleet
    regions: typing.Mapping[str, str]
    observed_at: float = float('-inf')
    eligible_since: float | None = None
    first_gap_s: float = TAKEOVER_GAP_S
    stopped: dict[str, float] = attrs.field(factory=dict)
    pools: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    pools_version: int = -1
    orders: dict[tuple[str, str], tuple[str, ...]] = attrs.field(factory=dict)
    places: tuple[str, ...] = attrs.field(init=False)
    local_place: str = attrs.field(init=False)
    started_at: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Determine the places and the time of the start."""
        self.started_at = self.vms.clock.monotonic()
        regions = set(self.regions.values())
        named = regions if len(regions) > 1 else self.regions
        self.places = tuple(sorted(named)) or (EVERYWHERE,)
        self.local_place = self.place_of(self.vms.local_vm)

    def place_of(self, vm: fleet.Vm) -> str:
        """Return the place of a VM.

        Args:
            vm: The VM.
        """
        if not self.regions:
            return EVERYWHERE
        if vm.region in self.places:
            return vm.region
        return vm.failure_domain

    def places_of(self, account: str, count: int) -> tuple[str, ...]:
        """Return the places that grant a share of an account's quota.

        Args:
            account: Name of the account.
            count: Number of its shares.
        """
        places = self.places
        if count >= len(places):
            return places
        return rendezvous.top(account, places, count)

    def owner(self, place: str, account: str) -> str:
        """Return the VM that grants an account's tokens in a place.

        Args:
            place: The place.
            account: Name of the account.

        Returns:
            Its name, empty if no VM of the place is alive.
        """
        order = self._order(place, account)
        for name in order:
            if self._may_own(name):
                return name
        others = [
            name
            for name in self._members(place)
            if name not in order and self._may_own(name)
        ]
        return next(iter(rendezvous.top(account, others, 1)), '')

    def observe(self) -> None:
        """Update what depends on the time; called several times a second."""
        now = self.vms.clock.monotonic()
        was_frozen = now - self.observed_at > MAX_OBSERVATION_GAP_S
        self.observed_at = now
        if not self._has_quorum(now):
            self.eligible_since = None
        elif was_frozen or self.eligible_since is None:
            self.eligible_since = now
        self.first_gap_s = self._first_gap_s(now)
        members = self._members(self.local_place)
        self.stopped = {
            name: self.stopped.get(name, now)
            for name in members
            if not self._may_own(name)
        }

    def granting_since(self, account: str) -> float | None:
        """Return since when this VM may grant an account's tokens.

        Args:
            account: Name of the account.

        Returns:
            The time, which may lie ahead, or ``None`` if another VM is the
            owner or this VM does not have a quorum.
        """
        now = self.vms.clock.monotonic()
        since = self.eligible_since
        if since is None or now - self.observed_at > MAX_OBSERVATION_GAP_S:
            return None
        local = self.vms.local_vm.name
        if self.owner(self.local_place, account) != local:
            return None
        since += self.first_gap_s
        for name in self._preceding(account, local):
            since = max(since, self.stopped.get(name, now) + TAKEOVER_GAP_S)
        return since

    def _preceding(self, account: str, local: str) -> list[str]:
        order = self._order(self.local_place, account)
        if local in order:
            return list(order[: order.index(local)])
        others = [n for n in self._members(self.local_place) if n not in order]
        ranked = rendezvous.rank(account, others)
        return [*order, *ranked[: ranked.index(local)]]

    def _may_own(self, name: str) -> bool:
        vms = self.vms
        if name == vms.local_vm.name:
            return vms.phase in _PHASES
        if not vms.is_alive(name):
            return False
        return vms.heartbeats[name].phase in _PHASES

    def _members(self, place: str) -> list[str]:
        local = self.vms.local_vm
        names = [
            name
            for name, vm in self.vms.peers.items()
            if self.place_of(vm) == place
        ]
        return [*names, local.name] if self.local_place == place else names

    def _has_quorum(self, now: float) -> bool:
        vms = self.vms
        if vms.phase not in _PHASES:
            return False
        local = vms.local_vm.name
        known = self._known(now)
        heard = [n for n in known if n == local or vms.is_alive(n)]
        if 2 * len(heard) == len(known):
            return min(known) in heard
        return 2 * len(heard) > len(known)

    def _last_sign(self, name: str) -> float:
        heartbeat = self.vms.heartbeats.get(name)
        return heartbeat.at if heartbeat else self.vms.added_at[name]

    def _first_gap_s(self, now: float) -> float:
        if (self.eligible_since or now) > self.started_at + HEARD_WITHIN_S:
            return TAKEOVER_GAP_S
        return 0.0 if self._started_together() else RESTART_GAP_S

    def _started_together(self) -> bool:
        local = self.vms.local_vm
        oldest = local.incarnation - STARTED_TOGETHER_MS
        return all(
            self.vms.peers[name].incarnation >= oldest
            for name in self._members(self.local_place)
            if name != local.name and self.vms.is_alive(name)
        )

    def _known(self, now: float) -> list[str]:
        """Return the VMs of this place that may run, this one included."""
        oldest = now - SHARING_S
        local = self.vms.local_vm.name
        return [
            name
            for name in self._members(self.local_place)
            if name == local or self._last_sign(name) >= oldest
        ]

    def _order(self, place: str, account: str) -> tuple[str, ...]:
        if self.pools_version != self.vms.roster_version:
            self.pools_version = self.vms.roster_version
            self.pools = {p: self._pool(p) for p in self.places}
            self.orders.clear()
        key = place, account
        if key not in self.orders:
            if len(self.orders) >= MAX_ORDERS:
                self.orders.clear()
            self.orders[key] = rendezvous.rank(
                account, self.pools.get(place, ())
            )
        return self.orders[key]

    def _pool(self, place: str) -> tuple[str, ...]:
        """Return the VMs with the most cores, which can answer all others."""
        names = self._members(place)
        local = self.vms.local_vm
        vms = {**self.vms.peers, local.name: local}
        ranked = rendezvous.rank(place, names)
        strongest = sorted(ranked, key=lambda name: -vms[name].cores)
        return tuple(strongest[: pool_size(len(names))])
