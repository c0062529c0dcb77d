"""To which VMs this VM sends reports, and in which relation to each."""

import enum

import attrs

from bulrushcourse_domain.fleet import fleet
from bulrushcourse_domain.fleet import topology as topologies

# A VM that sent to this one as a member, relay or gateway this recently gets
# reports back, also if this VM computes another topology.
RECIPROCITY_S = 3.0
# A relay that sends nothing back for this long is replaced. It is several
# times the interval of reports.
RELAY_SILENCE_S = 1.5
# Time for which a silent relay is not used again.
AVOIDANCE_S = 5.0


class Relation(enum.Enum):
    """What the receiver of a report is to its sender.

    Attributes:
        PRIMARY: The relay that gets the reports of this VM.
        SECONDARY: Another relay, which gets heartbeats only.
        MEMBER: A VM whose primary relay this VM is.
        STANDBY: A VM whose secondary relay this VM is; it gets heartbeats and
            changes, but no work.
        RELAY: Another relay of the region.
        GATEWAY: The gateway of another region.
        CONTACT: A VM that may not know this one, such as a seed.
        INTRODUCED: A VM that contacted this one; it is sent the list of VMs
            if it knows fewer.
    """

    PRIMARY = 'primary'
    SECONDARY = 'secondary'
    MEMBER = 'member'
    STANDBY = 'standby'
    RELAY = 'relay'
    GATEWAY = 'gateway'
    CONTACT = 'contact'
    INTRODUCED = 'introduced'


# Relation in which a VM gets reports back for those that it sends.
_RECIPROCAL = {
    Relation.GATEWAY: Relation.GATEWAY,
    Relation.RELAY: Relation.RELAY,
    Relation.SECONDARY: Relation.STANDBY,
    Relation.PRIMARY: Relation.MEMBER,
}


@attrs.define
class Contact:
    """The last report of a VM that sends to this one directly.

    Attributes:
        relation: Relation that its sender stated.
        at: Time of its receipt.
    """

    relation: Relation
    at: float


@attrs.define
class Links:
    """The receivers of this VM's reports.

    Attributes:
        vms: The fleet.
        contacts: Last report of each VM that sends to this one.
        avoided_until: Silent relays and the time until which each is not
            used.
        primary: Name of the primary relay, empty for none.
        primary_since: Time when it became the primary relay.
        topology: Topology of ``candidates``.
        candidates: Names of the VMs that it was computed from.
        roster_version: Version of the fleet's roster at that time.
    """

    vms: fleet.Fleet
    contacts: dict[str, Contact] = attrs.field(factory=dict)
    avoided_until: dict[str, float] = attrs.field(factory=dict)
    primary: str = ''
    primary_since: float = 0.0
    topology: topologies.Topology = topologies.Topology()
    candidates: frozenset[str] = frozenset()
    roster_version: int = -1

    def record_report(self, name: str, relation: Relation) -> None:
        """Record a report that came directly from a VM.

        Args:
            name: Name of the VM.
            relation: Relation that it stated.
        """
        self.contacts[name] = Contact(relation, self.vms.clock.monotonic())

    def discard(self, name: str) -> None:
        """Discard what is known of a VM that was removed.

        Args:
            name: Name of the VM.
        """
        self.contacts.pop(name, None)
        self.avoided_until.pop(name, None)

    def members(self) -> tuple[str, ...]:
        """Return the VMs whose primary relay this VM is."""
        return self.senders(Relation.PRIMARY)

    def is_relay(self) -> bool:
        """Return whether this VM relays reports of others."""
        local = self.vms.local_vm
        relays = self.topology.relays.get(local.region, ())
        return local.name in relays or bool(self.members())

    def receivers(self) -> dict[str, Relation]:
        """Return the VMs that get reports now; updates the topology."""
        self._update_topology()
        introduced = dict.fromkeys(
            self.senders(Relation.CONTACT), Relation.INTRODUCED
        )
        if not self.is_relay():
            return introduced | self._attachments()
        self.primary = ''
        local = self.vms.local_vm
        receivers = introduced
        for name in self.topology.remote_gateways(local.name, local.region):
            receivers[name] = Relation.GATEWAY
        for name in self.topology.relays.get(local.region, ()):
            receivers[name] = Relation.RELAY
        for stated, own in _RECIPROCAL.items():
            receivers |= dict.fromkeys(self.senders(stated), own)
        receivers.pop(local.name, None)
        return receivers

    def senders(self, relation: Relation) -> tuple[str, ...]:
        """Return the VMs that sent reports in a relation recently.

        Args:
            relation: Relation that the senders stated.
        """
        oldest = self.vms.clock.monotonic() - RECIPROCITY_S
        return tuple(
            name
            for name, contact in self.contacts.items()
            if contact.relation is relation
            and contact.at >= oldest
            and name in self.vms.peers
        )

    def _update_topology(self) -> None:
        vms = self.vms
        known = vms.presumed_alive()
        candidates = frozenset(known - self._busy(known))
        if (candidates, vms.roster_version) != (
            self.candidates,
            self.roster_version,
        ):
            self.candidates = candidates
            self.roster_version = vms.roster_version
            members = [
                vms.peers[name]
                for name in candidates
                if name in vms.peers and vms.peers[name].peer_address
            ]
            if vms.local_vm.name in candidates:
                members.append(vms.local_vm)
            self.topology = topologies.plan(vms.local_vm, members)

    def _busy(self, known: set[str]) -> set[str]:
        """Return the VMs that are too slow to relay, unless most are."""
        vms = self.vms
        busy = {
            name
            for name, heartbeat in vms.heartbeats.items()
            if heartbeat.phase is fleet.Phase.BUSY and name in known
        }
        if vms.phase is fleet.Phase.BUSY:
            busy.add(vms.local_vm.name)
        return busy if 2 * len(busy) < len(known) else set()

    def _attachments(self) -> dict[str, Relation]:
        now = self.vms.clock.monotonic()
        self._avoid_silent_primary(now)
        ranked = self.topology.attachments
        usable = [
            name for name in ranked if self.avoided_until.get(name, 0.0) <= now
        ] or list(ranked)
        chosen = usable[: topologies.ATTACHMENTS]
        primary = chosen[0] if chosen else ''
        if primary != self.primary:
            self.primary, self.primary_since = primary, now
        relations = (Relation.PRIMARY, Relation.SECONDARY)
        return dict(zip(chosen, relations, strict=False))

    def _avoid_silent_primary(self, now: float) -> None:
        if not self.primary:
            return
        contact = self.contacts.get(self.primary)
        heard_at = self.primary_since
        if contact is not None and contact.relation is Relation.MEMBER:
            heard_at = max(heard_at, contact.at)
        if now - heard_at > RELAY_SILENCE_S:
            self.avoided_until[self.primary] = now + AVOIDANCE_S
