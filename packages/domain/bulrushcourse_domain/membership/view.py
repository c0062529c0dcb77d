"""The aggregate that tells which entries are live, leaving or gone."""

import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.membership import member

# Six heartbeats of 250 ms. With a sweep every 250 ms a dead entry leaves the
# look-up answers at most 1.75 s after its last heartbeat; the target is 2 s.
SUSPECT_AFTER_S = 1.5
# An unheard member is forgotten after this time even if the list of VMs,
# which lags, still names its VM.
FORGET_AFTER_S = 30.0
ISOLATED_AFTER_S = 5.0
# The list of VMs is polled every second; after three missed polls it decides
# nothing any more.
LIST_FRESH_S = 4.0
# Ended incarnations that are remembered, so that their late heartbeats do not
# revive them.
ENDED_KEPT = 4096
HEARD = frozenset(
    (
        member.MemberState.STARTING,
        member.MemberState.LIVE,
        member.MemberState.LEAVING,
    )
)


@attrs.define
class MemberView:
    """Members by incarnation, from heartbeats and the platform's VM list.

    Two runs of one seat can be members at once: a leaving VM and its
    replacement. Of two runs on one VM, only the one heard of last is kept.

    Attributes:
        clock: Source of time.
        own: What this entry says of itself.
        members: Other runs of entries, by incarnation.
        listed: The newest list of VMs, by VM identifier.
        listed_at: Clock seconds of that list, ``None`` before the first.
        contact_at: Clock seconds of the last sign of a peer or the store.
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
        """Take in a heartbeat of another entry.

        Args:
            info: Its content.

        Examples:
            >>> own = member.MemberInfo('a', 'a1', 'vm-a', 'north')
            >>> clock = clocks.ManualClock()
            >>> view = MemberView(clock, own)
            >>> view.record_heartbeat(
            ...     member.MemberInfo('b', 'b1', 'vm-b', 'north')
            ... )
            >>> [found.entry for found in view.lookup_candidates()]
            ['a', 'b']
            >>> clock.advance(SUSPECT_AFTER_S)
            >>> [found.entry for found in view.lookup_candidates()]
            ['a']
        """
        if (
            info.incarnation in self.ended
            or info.incarnation == self.own.incarnation
        ):
            return
        now = self.clock.monotonic()
        self.contact_at = now
        known = self.members.get(info.incarnation)
        if known is None:
            self._end_runs_on(info.vm_id)
        self.members[info.incarnation] = member.Member(
            info,
            known.since if known else now,
            now,
            self._state(info, now, now),
        )

    def record_store_contact(self) -> None:
        """Take note that the store answered this entry."""
        self.contact_at = self.clock.monotonic()

    def update_vm_list(self, vms: typing.Iterable[member.ListedVm]) -> None:
        """Take in the platform's list of VMs.

        Args:
            vms: All VMs of the list.
        """
        self.listed = {vm.vm_id: vm for vm in vms}
        self.listed_at = self.clock.monotonic()

    def record_end(self, incarnation: str) -> None:
        """Take note that a run ended, such as after its last message.

        Args:
            incarnation: The run that ended.
        """
        self.members.pop(incarnation, None)
        self.ended[incarnation] = None
        while len(self.ended) > ENDED_KEPT:
            del self.ended[next(iter(self.ended))]

    def sweep(self) -> tuple[member.Member, ...]:
        """Bring states up to date and drop members that are gone.

        Returns:
            Members whose state changed; dropped ones are ``GONE``.
        """
        now = self.clock.monotonic()
        changed = []
        for incarnation, known in list(self.members.items()):
            state = self._state(known.info, known.heard_at, now)
            if state is known.state:
                continue
            known = attrs.evolve(known, state=state)
            changed.append(known)
            if state is member.MemberState.GONE:
                del self.members[incarnation]
            else:
                self.members[incarnation] = known
        return tuple(changed)

    def states(self) -> dict[str, member.MemberState]:
        """Return the state of each other run now, by incarnation."""
        now = self.clock.monotonic()
        return {
            incarnation: self._state(known.info, known.heard_at, now)
            for incarnation, known in self.members.items()
        }

    @property
    def list_is_fresh(self) -> bool:
        """Whether the list of VMs is new enough to decide by."""
        if self.listed_at is None:
            return False
        return self.clock.monotonic() - self.listed_at < LIST_FRESH_S

    @property
    def is_isolated(self) -> bool:
        """Whether this entry is cut off from both the store and its peers.

        An entry that knows of no other entry cannot be cut off from them.
        """
        known = self.members or self.listed.keys() - {self.own.vm_id}
        silence = self.clock.monotonic() - self.contact_at
        return bool(known) and silence >= ISOLATED_AFTER_S

    def lookup_candidates(self) -> tuple[member.MemberInfo, ...]:
        """Return the runs that look-up answers may name, one for each seat.

        An isolated entry names those it heard last instead of itself: its
        callers may still reach them. Of two runs of a seat the newer is
        named: the older is about to be replaced.
        """
        wanted = {member.MemberState.LIVE}
        if self.is_isolated:
            wanted.add(member.MemberState.SUSPECTED)
        states = self.states()
        found = [
            (known.since, incarnation, known.info)
            for incarnation, known in self.members.items()
            if states[incarnation] in wanted
        ]
        seats = {run.entry: run for _, _, run in sorted(found, key=_since)}
        if (
            not self.is_isolated
            and self._own_state() is member.MemberState.LIVE
        ):
            seats[self.own.entry] = self.own
        return tuple(seats[entry] for entry in sorted(seats))

    def silent_vms(self) -> frozenset[str]:
        """Return the live VMs of the list, less this one, not heard lately."""
        states = self.states()
        heard = {
            known.info.vm_id
            for incarnation, known in self.members.items()
            if states[incarnation] in HEARD
        }
        return frozenset(
            vm.vm_id
            for vm in self.listed.values()
            if not vm.leaving
            and vm.vm_id != self.own.vm_id
            and vm.vm_id not in heard
        )

    def _end_runs_on(self, vm_id: str) -> None:
        for incarnation, known in list(self.members.items()):
            if known.info.vm_id == vm_id:
                self.record_end(incarnation)

    def _own_state(self) -> member.MemberState:
        now = self.clock.monotonic()
        return self._state(self.own, now, now)

    def _state(
        self, info: member.MemberInfo, heard_at: float, now: float
    ) -> member.MemberState:
        silence = now - heard_at
        listed = self.listed.get(info.vm_id)
        if silence >= FORGET_AFTER_S:
            return member.MemberState.GONE
        if silence >= SUSPECT_AFTER_S:
            if listed is None and self._is_listed_after(heard_at):
                return member.MemberState.GONE
            return member.MemberState.SUSPECTED
        if listed is not None and listed.leaving:
            return member.MemberState.LEAVING
        return member.DECLARED_STATES.get(
            info.state, member.MemberState.STARTING
        )

    def _is_listed_after(self, heard_at: float) -> bool:
        """Return whether a fresh list was read after a time.

        A list read earlier may lack a VM that was only just created.
        """
        return (
            self.listed_at is not None
            and self.list_is_fresh
            and self.listed_at > heard_at
        )


def _since(run: tuple[float, str, member.MemberInfo]) -> tuple[float, str]:
    return run[:2]
