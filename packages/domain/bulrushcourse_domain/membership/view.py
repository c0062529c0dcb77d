"""Aggregate that decides which entries are live, leaving or gone."""

import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.membership import member

# Six heartbeat intervals of 250 ms. With a sweep every 250 ms a dead entry is
# dropped from look-up answers at most 1.75 s after its last heartbeat; the
# target is 2 s.
SUSPECT_AFTER_S = 1.5
# A silent member is removed after this time even if the list of VMs, which
# lags, still includes its VM.
REMOVE_AFTER_S = 30.0
ISOLATED_AFTER_S = 5.0
# The list of VMs is polled every second; it is not used for decisions after
# three missed polls.
MAX_LIST_AGE_S = 4.0
# Ended incarnations are remembered, so that a delayed heartbeat does not add
# them again.
MAX_ENDED_INCARNATIONS = 4096
RESPONSIVE_STATES = frozenset(
    (
        member.MemberState.STARTING,
        member.MemberState.LIVE,
        member.MemberState.LEAVING,
    )
)


@attrs.define
class MemberView:
    """Members by incarnation, from heartbeats and the platform's VM list.

    Two incarnations of one entry can be members at the same time: a leaving VM
    and its replacement. Of the incarnations on one VM, only the most
    recent one is a member.

    Attributes:
        clock: Source of time.
        own: What this entry reports about itself.
        members: Other incarnations of entries, by identifier.
        listed: The newest list of VMs, by VM identifier.
        listed_at: Clock seconds of that list, ``None`` before the first.
        contact_at: Clock seconds of the last heartbeat of a peer or reply of
            the store.
        ended: Incarnations that were replaced or ended, oldest first.
    """

    clock: clocks.Clock
    own: member.MemberInfo
    members: dict[str, member.Member] = attrs.field(factory=dict)
    listed: dict[str, member.ListedVm] = attrs.field(factory=dict)
    listed_at: float | None = None
    contact_at: float = attrs.field(init=False)
    ended: dict[str, None] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.contact_at = self.clock.monotonic()

    def record_heartbeat(self, info: member.MemberInfo) -> None:
        """Record a heartbeat of another entry.

        Args:
            info: Content of the heartbeat.

        Examples:
            >>> own = member.MemberInfo('a', 'a1', 'vm-a', 'north')
            >>> clock = clocks.ManualClock()
            >>> view = MemberView(clock, own)
            >>> view.record_heartbeat(
            ...     member.MemberInfo('b', 'b1', 'vm-b', 'north')
            ... )
            >>> [m.entry for m in view.lookup_candidates()]
            ['a', 'b']
            >>> clock.advance(SUSPECT_AFTER_S)
            >>> [m.entry for m in view.lookup_candidates()]
            ['a']
        """
        if (
            info.incarnation in self.ended
            or info.incarnation == self.own.incarnation
        ):
            return
        now = self.clock.monotonic()
        self.contact_at = now
        previous = self.members.get(info.incarnation)
        if previous is None:
            self._end_incarnations_on(info.vm_id)
        self.members[info.incarnation] = member.Member(
            info,
            previous.first_heard_at if previous else now,
            now,
            self._state(info, now, now),
        )

    def record_store_contact(self) -> None:
        """Record that the store answered this entry."""
        self.contact_at = self.clock.monotonic()

    def update_vm_list(self, vms: typing.Iterable[member.ListedVm]) -> None:
        """Replace the platform's list of VMs.

        Args:
            vms: All VMs of the new list.
        """
        self.listed = {vm.vm_id: vm for vm in vms}
        self.listed_at = self.clock.monotonic()

    def record_end(self, incarnation: str) -> None:
        """Remove an incarnation that ended and ignore its later heartbeats.

        Args:
            incarnation: The incarnation that ended.
        """
        self.members.pop(incarnation, None)
        self.ended[incarnation] = None
        while len(self.ended) > MAX_ENDED_INCARNATIONS:
            del self.ended[next(iter(self.ended))]

    def sweep(self) -> tuple[member.Member, ...]:
        """Update the states of members and remove those that are gone.

        Returns:
            Members whose state changed; removed ones are ``GONE``.
        """
        now = self.clock.monotonic()
        changed = []
        for incarnation, peer in list(self.members.items()):
            state = self._state(peer.info, peer.heard_at, now)
            if state is peer.state:
                continue
            peer = attrs.evolve(peer, state=state)
            changed.append(peer)
            if state is member.MemberState.GONE:
                del self.members[incarnation]
            else:
                self.members[incarnation] = peer
        return tuple(changed)

    def states(self) -> dict[str, member.MemberState]:
        """Return the present state of each member, by incarnation."""
        now = self.clock.monotonic()
        return {
            incarnation: self._state(peer.info, peer.heard_at, now)
            for incarnation, peer in self.members.items()
        }

    @property
    def list_is_fresh(self) -> bool:
        """Whether the list of VMs is recent enough to base decisions on."""
        if self.listed_at is None:
            return False
        return self.clock.monotonic() - self.listed_at < MAX_LIST_AGE_S

    @property
    def is_isolated(self) -> bool:
        """Whether this entry has lost contact with the store and all peers.

        Always false if no other entry is known.
        """
        others = self.members or self.listed.keys() - {self.own.vm_id}
        silence = self.clock.monotonic() - self.contact_at
        return bool(others) and silence >= ISOLATED_AFTER_S

    def lookup_candidates(self) -> tuple[member.MemberInfo, ...]:
        """Return the members that look-up answers may name, one per entry.

        An isolated entry names suspected members too, but not itself: its
        callers may still reach them. Of two incarnations of an entry, the
        newer is named, since the older is about to be replaced.
        """
        eligible = {member.MemberState.LIVE}
        if self.is_isolated:
            eligible.add(member.MemberState.SUSPECTED)
        states = self.states()
        candidates = [
            (peer.first_heard_at, incarnation, peer.info)
            for incarnation, peer in self.members.items()
            if states[incarnation] in eligible
        ]
        by_entry = {
            info.entry: info for _, _, info in sorted(candidates, key=_age_key)
        }
        if (
            not self.is_isolated
            and self._own_state() is member.MemberState.LIVE
        ):
            by_entry[self.own.entry] = self.own
        return tuple(by_entry[entry] for entry in sorted(by_entry))

    def silent_vms(self) -> frozenset[str]:
        """Return the other live VMs of the list without a recent heartbeat."""
        states = self.states()
        responsive = {
            peer.info.vm_id
            for incarnation, peer in self.members.items()
            if states[incarnation] in RESPONSIVE_STATES
        }
        return frozenset(
            vm.vm_id
            for vm in self.listed.values()
            if not vm.leaving
            and vm.vm_id != self.own.vm_id
            and vm.vm_id not in responsive
        )

    def _end_incarnations_on(self, vm_id: str) -> None:
        for incarnation, peer in list(self.members.items()):
            if peer.info.vm_id == vm_id:
                self.record_end(incarnation)

    def _own_state(self) -> member.MemberState:
        now = self.clock.monotonic()
        return self._state(self.own, now, now)

    def _state(
        self, info: member.MemberInfo, heard_at: float, now: float
    ) -> member.MemberState:
        silence = now - heard_at
        listed = self.listed.get(info.vm_id)
        if silence >= REMOVE_AFTER_S:
            return member.MemberState.GONE
        if silence >= SUSPECT_AFTER_S:
            if listed is None and self._has_list_after(heard_at):
                return member.MemberState.GONE
            return member.MemberState.SUSPECTED
        if listed is not None and listed.leaving:
            return member.MemberState.LEAVING
        return member.DECLARED_STATES.get(
            info.state, member.MemberState.STARTING
        )

    def _has_list_after(self, heard_at: float) -> bool:
        """Return whether a fresh list was read after a heartbeat.

        A list that was read earlier may lack a VM that was just created.
        """
        return (
            self.listed_at is not None
            and self.list_is_fresh
            and self.listed_at > heard_at
        )


def _age_key(
    candidate: tuple[float, str, member.MemberInfo],
) -> tuple[float, str]:
    return candidate[:2]
