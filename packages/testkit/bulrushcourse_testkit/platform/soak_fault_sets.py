"""Sets of faults that the seeds of the soak choose from."""

import typing

import attrs

from bulrushcourse_testkit.platform import upstream as upstream_standin

Fault = upstream_standin.Fault

INJECTION_S = 8.0


@attrs.frozen
class FaultSet:
    """Faults that a seed chooses from; a change of it changes every run.

    Attributes:
        upstream_faults: Faults of upstreams.
        actions: Names of the injector's methods. Faults of upstreams are
            listed twice, to inject them more often, since most guarantees
            about responses concern failing upstreams.
        calm_actions: Actions without faults of VMs. If there are any, half
            of the seeds choose from them: rules with a time bound hold only
            for VMs that were in touch for the contact time.
        has_fleet: Whether upstreams, homes and routes come and go.
        has_stops: Whether VMs stop as planned while callers keep using their
            connections.
        has_drills: Whether the store comes back from copies.
        injection_s: Time during which faults begin, in seconds.
        max_interval_s: Maximum time between two of them in seconds.
    """

    upstream_faults: tuple[Fault, ...]
    actions: tuple[str, ...]
    calm_actions: tuple[str, ...] = ()
    has_fleet: bool = False
    has_stops: bool = False
    has_drills: bool = False
    injection_s: float = INJECTION_S
    max_interval_s: float = 0.8


_NEW_IN_SECOND = (
    Fault.REFUSAL_COPY,
    Fault.NAMELESS_REFUSAL_COPY,
    Fault.HEAD_CUT,
)
_FIRST_ACTIONS = (
    '_kill',
    '_pause',
    '_terminate',
    '_store_fault',
    '_link_fault',
    '_upstream_fault',
    '_upstream_fault',
    '_restart_upstream',
    '_publish',
    '_send_sighup',
)
_FLEET_ACTIONS = (
    '_upstream_fault',
    '_drain_upstream',
    '_reuse_address',
    '_reuse_address',
    '_reuse_addresses_of_region',
    '_restart_under_same_name',
    '_change_configuration',
    '_change_configuration',
    '_change_configuration',
    '_evacuate',
    '_send_sighup',
)
_VM_ACTIONS = (
    '_kill',
    '_long_pause',
    '_long_pause',
    '_terminate',
    '_store_fault',
    '_long_store_fault',
    '_restart_in_outage',
    '_link_fault',
    '_long_link_fault',
    '_silence',
    '_restart_in_turn',
    '_move_homes_during_pause',
    '_move_homes_during_pause',
    '_move_homes_during_cut',
)
_STOP_ACTIONS = (
    '_stop_one',
    '_stop_two',
    '_stop_in_series',
    '_change_configuration',
    '_send_sighup',
)
_DRILL_ACTIONS = (
    '_drill',
    '_drill',
    '_drill',
    '_release',
    '_release',
    '_drain_upstream',
    '_reuse_address',
    '_restart_under_same_name',
    '_change_configuration',
    '_change_configuration',
    '_change_configuration',
    '_evacuate',
    '_send_sighup',
)
_DRILL_VM_ACTIONS = (
    '_kill',
    '_pause',
    '_long_pause',
    '_terminate',
    '_link_fault',
    '_long_link_fault',
    '_stop_one',
    '_stop_two',
    '_stop_in_series',
)
STOPS = 4
DRILLS = 5
# By number. Seeds that ever failed are played with the set that they failed
# with.
FAULT_SETS: typing.Mapping[int, FaultSet] = {
    1: FaultSet(
        tuple(fault for fault in Fault if fault not in _NEW_IN_SECOND),
        _FIRST_ACTIONS,
    ),
    2: FaultSet(tuple(Fault), (*_FIRST_ACTIONS, '_silence')),
    3: FaultSet(
        tuple(Fault),
        (*_FLEET_ACTIONS, *_VM_ACTIONS),
        _FLEET_ACTIONS,
        has_fleet=True,
        injection_s=16.0,
        max_interval_s=1.6,
    ),
    STOPS: FaultSet(
        (),
        _STOP_ACTIONS,
        has_fleet=True,
        has_stops=True,
        injection_s=16.0,
        max_interval_s=4.0,
    ),
    DRILLS: FaultSet(
        (),
        (*_DRILL_ACTIONS, *_DRILL_VM_ACTIONS),
        _DRILL_ACTIONS,
        has_fleet=True,
        has_stops=True,
        has_drills=True,
        injection_s=28.0,
        max_interval_s=1.6,
    ),
}
LATEST = 3
