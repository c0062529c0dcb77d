"""The least useful connections are closed first."""

import hypothesis
import pytest
from hypothesis import strategies

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.resources import connections
from bulrushcourse_domain.resources import descriptors
from bulrushcourse_domain.resources import memory as memories
from bulrushcourse_domain.routes import route as routes

Stage = connections.Stage
LIMITS = routes.RequestLimits(header_timeout_s=3.0, idle_timeout_s=15.0)


def build_table(limit=4):
    budget = memories.MemoryBudget(memories.traffic_bytes(200 << 20))
    return connections.ConnectionTable(clocks.ManualClock(), budget, limit)


def add(table, stage=Stage.NEW, name=''):
    connection = connections.Connection(name)
    table.add(connection)
    table.enter(connection, stage)
    return connection


def test_connections_that_were_served_outlive_those_that_were_not():
    # Guards against a crowd that sends nothing and drives out callers with
    # kept connections.
    table = build_table()
    kept = add(table, Stage.KEPT)
    head = add(table, Stage.FIRST_HEAD)
    new = add(table)
    assert table.least_useful() is new
    assert table.least_useful(excluded=new) is head
    table.remove(new)
    table.remove(head)
    assert table.least_useful() is kept


def test_connection_whose_request_is_served_is_never_closed():
    # Guards against a request that was passed on and whose answer is lost.
    table = build_table()
    add(table, Stage.SERVED)
    assert table.least_useful() is None


def test_oldest_of_a_stage_is_closed_first():
    table = build_table()
    first, second = add(table), add(table)
    table.begin_head(first)
    table.enter(first, Stage.SERVED)
    table.enter(first, Stage.KEPT)
    third = add(table, Stage.KEPT)
    table.remove(second)
    assert table.least_useful() is first
    table.enter(first, Stage.KEPT)
    assert table.least_useful() is third


@pytest.mark.parametrize(
    'stage, limit_s',
    [
        (Stage.NEW, 15.0),
        (Stage.KEPT, 15.0),
        (Stage.WRITING, 15.0),
        (Stage.FIRST_HEAD, 3.0),
        (Stage.NEXT_HEAD, 3.0),
    ],
)
def test_stage_ends_after_its_limit_and_not_before(stage, limit_s):
    # Guards against a client that reuses a connection after four fifths of
    # the idle time and finds it closed.
    table = build_table()
    connection = add(table, stage)
    table.clock.advance(0.8 * limit_s)
    assert table.expired(LIMITS) == []
    table.clock.advance(0.3 * limit_s)
    assert table.expired(LIMITS) == [connection]


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 5),
            strategies.sampled_from([*Stage, 'head', 'gone']),
        )
    )
)
def test_memory_of_connections_equals_those_that_are_open(steps):
    # Guards against memory that is never returned, so that the VM refuses
    # all callers in the end.
    table = build_table()
    opened = [add(table) for _ in range(6)]
    for number, step in steps:
        if step == 'head':
            table.try_take_head(opened[number], 5000)
        elif step == 'gone':
            table.remove(opened[number])
            opened[number] = add(table)
        else:
            table.enter(opened[number], step)
    for connection in opened:
        table.remove(connection)
        table.remove(connection)
    assert len(table) == 0
    assert table.memory.used_bytes[memories.Use.CONNECTIONS] == 0


@pytest.mark.parametrize('limit', [0, 300, 400, 1024, 4100, 8192])
def test_all_sockets_stay_within_the_descriptors(limit):
    # Guards against shares of descriptors that exceed the limit together.
    plan = descriptors.plan(limit)
    total = limit or descriptors.DEFAULT_DESCRIPTORS
    reserved = plan.unknown_streams / descriptors.UNKNOWN_STREAMS_SHARE
    taken = plan.connections + plan.burst + reserved
    assert taken <= max(total - 200, total // 4) + 4
    assert min(plan.connections, plan.burst, plan.unknown_streams) > 0


def test_stop_closes_no_connection_of_which_something_is_unanswered():
    # Guards against a planned stop that cuts off a request that was read.
    table = build_table(limit=10)
    every = {stage: add(table, stage) for stage in Stage}
    table.clock.advance(connections.FIRST_REQUEST_S)
    closable = [stage for stage in Stage if table.may_stop(every[stage])]
    assert closable == [Stage.KEPT]


def test_stop_leaves_a_new_connection_the_time_for_its_request():
    # Guards against a planned stop that closes connections while their first
    # requests are on the way.
    table = build_table()
    new = add(table)
    table.clock.advance(connections.FIRST_REQUEST_S / 2)
    assert not table.may_stop(new)
    table.clock.advance(connections.FIRST_REQUEST_S / 2)
    assert table.may_stop(new)
    busy = add(table, Stage.BODY)
    assert not table.may_stop(new)
    table.remove(busy)
    assert table.may_stop(new)
