"""Members: one process of an entry, as its peers know it."""

import enum

import attrs


class MemberState(enum.Enum):
    """State of a member as this entry sees it."""

    STARTING = 'starting'
    LIVE = 'live'
    LEAVING = 'leaving'
    SUSPECTED = 'suspected'
    GONE = 'gone'


DECLARED_STATES = {
    'starting': MemberState.STARTING,
    'serving': MemberState.LIVE,
    'leaving': MemberState.LEAVING,
}


@attrs.frozen
class MemberInfo:
    """What an entry reports about itself in a heartbeat.

    Attributes:
        entry: Name of its configured entry.
        incarnation: Identifier of its process.
        vm_id: The platform's identifier of its VM.
        region: Its region.
        failure_domain: Its failure domain.
        address: ``ip:port`` of its listener for callers.
        state: ``starting``, ``serving`` or ``leaving``.
        version: Active configuration version, 0 for none.
        held_version: Newest configuration version, active or staged.
        store_reachable: Whether the store answered its last call.
    """

    entry: str
    incarnation: str
    vm_id: str
    region: str = ''
    failure_domain: str = ''
    address: str = ''
    state: str = 'serving'
    version: int = 0
    held_version: int = 0
    store_reachable: bool = True


@attrs.frozen
class ListedVm:
    """A VM in the platform's list of VMs.

    Attributes:
        vm_id: The platform's identifier of the VM.
        entry: Name of the configured entry that the VM was created for.
        leaving: Whether the platform is about to remove it.
    """

    vm_id: str
    entry: str
    leaving: bool = False


@attrs.frozen
class Member:
    """One incarnation of an entry, as this entry sees it.

    Attributes:
        info: Content of its newest heartbeat.
        first_heard_at: Clock seconds of its first heartbeat.
        heard_at: Clock seconds of its newest heartbeat.
        state: Its state at the last heartbeat or sweep.
    """

    info: MemberInfo
    first_heard_at: float
    heard_at: float
    state: MemberState
