"""Guards against grants without ownership and against lost slots."""

import random
import types

import pytest

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.quarantine import quarantine
from bulrushcourse_domain.slots import ownership
from bulrushcourse_domain.slots import pool as slot_pool
from bulrushcourse_domain.slots import region_members
from bulrushcourse_entry.slots import granting as grants
from bulrushcourse_entry.slots import owned as owned_pools
from bulrushcourse_entry.slots import server as servers
from bulrushcourse_entry.slots.tests import fakes
from bulrushcourse_wire import slot_messages

POOL = 'ro-nord/catalog'
SHORT = objects.RequestClass('short', 1, 5_000)


class World:
    """A server that owns a pool of one slot, alone in its region."""

    def __init__(self):
        self.clock = clocks.ManualClock(1000.0)
        self.switch = fakes.FakeSwitch()
        self.switch.connected['e2'] = 'e2-1'
        self.members = region_members.RegionMembers(self.clock, 'e1', 'vm')
        own = ownership.open_ownership(
            POOL, 'e1-1', self.members, random.Random(1)
        )
        keeper = types.SimpleNamespace(former={POOL: ''}, last_listed={})
        self.updates = []
        suspects = types.SimpleNamespace(
            quarantine=quarantine.Quarantine(self.clock),
            publish=self.updates.append,
        )
        granting = grants.Granting(self.clock, self.switch, suspects)
        self.server = servers.PoolServer(
            self.clock, keeper, self.switch, granting
        )
        pool = slot_pool.SlotPool(self.clock, {'short': SHORT})
        pool.set_instances({'i': 1})
        self.owned = owned_pools.OwnedPool(POOL, pool, own, True)
        self.server.pools[POOL] = self.owned
        self.server.start()
        self.refresh_list()
        self.clock.advance(self.members.times.settle_s + 0.1)
        self.refresh_list()
        self.server._decide(self.owned)

    def refresh_list(self):
        vm = region_members.ListedVm('vm', 'e1')
        self.members.update_list([vm], self.clock.monotonic())

    def report(self, *held):
        for entry in ('e1', 'e2'):
            reported = held if entry == 'e2' else ()
            message = slot_messages.HeldSlotsReport(
                POOL, self.owned.term, reported
            )
            self.switch.receive(entry, message)

    def request(self, request_id):
        wish = slot_messages.SlotRequest(POOL, request_id, 'short', 3.0)
        self.switch.receive('e2', wish)

    def granted(self):
        found = self.switch.taken(slot_messages.SlotGrant)
        return [message.request_id for _, message in found]

    def refused(self):
        found = self.switch.taken(slot_messages.SlotRefusal)
        return [(m.request_id, m.reason) for _, m in found]


@pytest.fixture
def world():
    return World()


def test_entry_that_did_not_report_is_refused(world):
    """Its report could miss a grant, whose slot would be granted twice."""
    world.request('r')
    assert world.refused() == [('r', 'not-owner')]
    world.report()
    world.request('r2')
    assert world.granted() == ['r2']


def test_no_slot_is_granted_until_all_have_reported(world):
    message = slot_messages.HeldSlotsReport(POOL, world.owned.term)
    world.switch.receive('e2', message)
    world.request('r')
    assert world.granted() == []
    world.switch.receive('e1', message)
    assert world.granted() == ['r']


def test_reported_slot_is_not_granted_again(world):
    world.report(slot_messages.HeldSlot('old', 'i', 'short', 3.0, 'f'))
    world.request('r')
    assert world.granted() == []
    release = slot_messages.SlotRelease(POOL, 'old', 'done', 0.1)
    world.switch.receive('e2', release)
    assert world.granted() == ['r']


def test_lapsed_owner_refuses_what_waits(world):
    world.report()
    world.request('r')
    world.request('waits')
    assert world.granted() == ['r']
    world.clock.advance(world.members.times.list_fresh_s + 0.1)
    release = slot_messages.SlotRelease(POOL, 'r', 'done', 0.1)
    world.switch.receive('e2', release)
    assert world.granted() == []
    assert world.refused() == [('waits', 'not-owner')]


def test_new_term_asks_again_what_is_held(world):
    world.report()
    world.request('r')
    world.clock.advance(world.members.times.list_fresh_s + 0.1)
    world.server._decide(world.owned)
    world.refresh_list()
    world.switch.taken(slot_messages.HeldSlotsRequest)
    world.server._decide(world.owned)
    ((peer, wanted),) = world.switch.taken(slot_messages.HeldSlotsRequest)
    assert (peer, wanted.term) == ('*', 2)
    assert world.owned.reported == {}


def test_grant_that_its_holder_does_not_know_is_free(world):
    """The message was lost with the stream."""
    world.report()
    world.request('r')
    world.switch.change('e2', False)
    world.switch.change('e2', True)
    world.report()
    world.request('r2')
    assert world.granted() == ['r', 'r2']


def test_slot_of_a_lost_peer_stays_in_use_until_its_time_limit(world):
    world.report()
    world.request('r')
    world.switch.change('e2', False)
    world.clock.advance(1.0)
    world.refresh_list()
    world.server._decide(world.owned)
    assert 'r' in world.owned.pool.granted
    world.clock.advance(4.0)
    world.refresh_list()
    world.server._decide(world.owned)
    assert 'r' not in world.owned.pool.granted


def test_lost_run_is_told_to_all_entries(world):
    world.report()
    world.request('r')
    release = slot_messages.SlotRelease(POOL, 'r', 'lost', 0.1)
    world.switch.receive('e2', release)
    assert [update.instance for update in world.updates] == ['i']
