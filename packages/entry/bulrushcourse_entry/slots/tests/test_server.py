"""Guards against grants without ownership and against lost slots."""

import random
import types

import pytest

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.quarantine import quarantine
from bulrushcourse_domain.slots import ownership as ownerships
from bulrushcourse_domain.slots import pool as slot_pool
from bulrushcourse_domain.slots import region_members
from bulrushcourse_entry.slots import granter as granters
from bulrushcourse_entry.slots import owned_pool as owned_pools
from bulrushcourse_entry.slots import server as servers
from bulrushcourse_entry.slots.tests import fakes
from bulrushcourse_wire import slot_messages

POOL = 'ro-nord/catalog'
SHORT = objects.RequestClass('short', 1, 5_000)


class ServerHarness:
    """A server that owns a pool of one slot as its region's only entry."""

    def __init__(self):
        self.clock = clocks.ManualClock(1000.0)
        self.messenger = fakes.FakeMessenger()
        self.messenger.connected['e2'] = 'e2-1'
        self.members = region_members.RegionMembers(self.clock, 'e1', 'vm')
        pool_ownership = ownerships.build_ownership(
            POOL, 'e1-1', self.members, random.Random(1)
        )
        ownership_manager = types.SimpleNamespace(
            former_holders={POOL: ''}, last_listed={}
        )
        self.updates = []
        shared_quarantine = types.SimpleNamespace(
            quarantine=quarantine.Quarantine(self.clock),
            publish=self.updates.append,
        )
        granter = granters.SlotGranter(
            self.clock, self.messenger, shared_quarantine
        )
        self.server = servers.PoolServer(
            self.clock, ownership_manager, self.messenger, granter
        )
        pool = slot_pool.SlotPool(self.clock, {'short': SHORT})
        pool.set_instances({'i': 1})
        self.owned = owned_pools.OwnedPool(POOL, pool, pool_ownership, True)
        self.server.pools[POOL] = self.owned
        self.server.start()
        self.refresh_list()
        self.clock.advance(self.members.durations.settling_s + 0.1)
        self.refresh_list()
        self.server._decide(self.owned)

    def refresh_list(self):
        vm = region_members.ListedVm('vm', 'e1')
        self.members.update_vm_list([vm], self.clock.monotonic())

    def report(self, *held):
        for entry in ('e1', 'e2'):
            reported = held if entry == 'e2' else ()
            message = slot_messages.HeldSlotsReport(
                POOL, self.owned.term, reported
            )
            self.messenger.receive(entry, message)

    def request(self, request_id):
        request = slot_messages.SlotRequest(POOL, request_id, 'short', 3.0)
        self.messenger.receive('e2', request)

    def granted(self):
        found = self.messenger.take_sent(slot_messages.SlotGrant)
        return [message.request_id for _, message in found]

    def refused(self):
        found = self.messenger.take_sent(slot_messages.SlotRefusal)
        return [(m.request_id, m.reason) for _, m in found]


@pytest.fixture
def harness():
    return ServerHarness()


def test_entry_that_did_not_report_is_refused(harness):
    """Its report could miss a grant, and the slot would be granted twice."""
    harness.request('r')
    assert harness.refused() == [('r', 'not-owner')]
    harness.report()
    harness.request('r2')
    assert harness.granted() == ['r2']


def test_no_slot_is_granted_until_all_entries_have_reported(harness):
    message = slot_messages.HeldSlotsReport(POOL, harness.owned.term)
    harness.messenger.receive('e2', message)
    harness.request('r')
    assert harness.granted() == []
    harness.messenger.receive('e1', message)
    assert harness.granted() == ['r']


def test_reported_slot_is_not_granted_again(harness):
    harness.report(slot_messages.HeldSlot('old', 'i', 'short', 3.0, 'f'))
    harness.request('r')
    assert harness.granted() == []
    release = slot_messages.SlotRelease(POOL, 'old', 'done', 0.1)
    harness.messenger.receive('e2', release)
    assert harness.granted() == ['r']


def test_expired_owner_refuses_waiting_requests(harness):
    harness.report()
    harness.request('r')
    harness.request('waits')
    assert harness.granted() == ['r']
    harness.clock.advance(harness.members.durations.list_fresh_s + 0.1)
    release = slot_messages.SlotRelease(POOL, 'r', 'done', 0.1)
    harness.messenger.receive('e2', release)
    assert harness.granted() == []
    assert harness.refused() == [('waits', 'not-owner')]


def test_new_term_requests_held_slots_again(harness):
    harness.report()
    harness.request('r')
    harness.clock.advance(harness.members.durations.list_fresh_s + 0.1)
    harness.server._decide(harness.owned)
    harness.refresh_list()
    harness.messenger.take_sent(slot_messages.HeldSlotsRequest)
    harness.server._decide(harness.owned)
    ((peer, held_request),) = harness.messenger.take_sent(
        slot_messages.HeldSlotsRequest
    )
    assert (peer, held_request.term) == ('*', 2)
    assert harness.owned.reported == {}


def test_grant_missing_from_a_report_is_released(harness):
    """The grant was lost with the stream, so nobody would release it."""
    harness.report()
    harness.request('r')
    harness.messenger.change_connection('e2', False)
    harness.messenger.change_connection('e2', True)
    harness.report()
    harness.request('r2')
    assert harness.granted() == ['r', 'r2']


def test_slot_of_a_lost_peer_stays_in_use_until_its_time_limit(harness):
    harness.report()
    harness.request('r')
    harness.messenger.change_connection('e2', False)
    harness.clock.advance(1.0)
    harness.refresh_list()
    harness.server._decide(harness.owned)
    assert 'r' in harness.owned.pool.granted
    harness.clock.advance(4.0)
    harness.refresh_list()
    harness.server._decide(harness.owned)
    assert 'r' not in harness.owned.pool.granted


def test_lost_run_is_published_to_all_entries(harness):
    harness.report()
    harness.request('r')
    release = slot_messages.SlotRelease(POOL, 'r', 'lost', 0.1)
    harness.messenger.receive('e2', release)
    assert [update.instance for update in harness.updates] == ['i']
