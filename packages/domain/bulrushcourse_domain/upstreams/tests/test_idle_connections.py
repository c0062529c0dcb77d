"""Connections that an upstream may have forgotten are not used."""

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.upstreams import idle_connections


def test_request_that_may_run_once_never_meets_a_used_connection():
    # Guards against an order whose fate is unknown after a reset.
    idle = idle_connections.IdleConnectionPolicy(clocks.ManualClock())
    assert not idle.may_reuse('u', repeatable=False)
    assert idle.may_reuse('u', repeatable=True)


def test_forgetful_upstream_gets_new_connections_for_a_while():
    # Guards against a second sending for each request while it forgets.
    idle = idle_connections.IdleConnectionPolicy(clocks.ManualClock())
    assert idle.record_reset('u', took_s=0.02, round_trip_s=0.024)
    assert not idle.may_reuse('u', repeatable=True)
    assert idle.may_reuse('v', repeatable=True)
    idle.clock.advance(idle_connections.FORGETFUL_S)
    assert idle.may_reuse('u', repeatable=True)


def test_reset_after_some_work_is_a_loss():
    # Guards against taking a crash of the upstream for an old connection.
    idle = idle_connections.IdleConnectionPolicy(clocks.ManualClock())
    assert not idle.record_reset('u', took_s=0.2, round_trip_s=0.024)
    assert idle.may_reuse('u', repeatable=True)
