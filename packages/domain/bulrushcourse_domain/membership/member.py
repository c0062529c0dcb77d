"""Members: what is known of one run of an entry."""

import enum

import attrs


class MemberState(enum.Enum):
    """How a member looks from this entry."""

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
    """What an entry says of itself in a heartbeat.

    Attributes:
        entry: Name of its seat.
        incarnation: Identifier of its process.
        vm_id: The platform's identifier of its VM.
        region: Its region.
        failure_domain: Its failure domain.
        address: ``ip:port`` of its callers' listener.
        state: ``starting``, ``serving`` or ``leaving``.
        version: Configuration version in force, 0 for none.
        held_version: Newest configuration version that it holds.
        store_reachable: Whether its last store call was answered.
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
    """A VM in the platform's list.

    Attributes:
        vm_id: The platform's identifier of the VM.
        entry: Name of the seat that the VM was made for.
        leaving: Whether the platform is about to remove it.
    """

    vm_id: str
    entry: str
    leaving: bool = False


@attrs.frozen
class Member:
    """One run of an entry, as this entry sees it.

    Attributes:
        info: Its newest heartbeat.
        since: Clock seconds of its first heartbeat.
        heard_at: Clock seconds of its newest heartbeat.
        state: Its state at the last heartbeat or sweep.
    """

    info: MemberInfo
    since: float
    heard_at: float
    state: MemberState
