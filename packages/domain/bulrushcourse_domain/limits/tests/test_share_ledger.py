"""Guards against shares that exceed a cap together or are lost for good.

The model must detect each of four variants that break one rule.
"""

import attrs
import hypothesis
import pytest

from bulrushcourse_domain.limits import floor_binding
from bulrushcourse_domain.limits import lease_monitor
from bulrushcourse_domain.limits import share_ledger
from bulrushcourse_domain.limits.tests import share_model

share_model.ShareModel.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=40,
)
TestShares = share_model.ShareModel.TestCase


@attrs.define
class LeaseStartsAtResponse(share_ledger.ShareLedger):
    def confirm_write(self, renewal):
        super().confirm_write(renewal)
        self.expires_at = self.clock.monotonic() + lease_monitor.LEASE_S


class ReclaimsWithoutWorkLimit(lease_monitor.LeaseMonitor):
    def work_margin_s(self, work_limit_s):
        return 0.0


class BindsFloorBesideOtherVm(floor_binding.FloorBinding):
    def is_only_vm(self, entries_by_vm):
        return self.vm_id in entries_by_vm


@attrs.define
class GrowsBeforeResponse(share_ledger.ShareLedger):
    def propose(self, demand, in_use):
        proposed = super().propose(demand, in_use)
        self.confirm_write(self.last_renewal)
        return proposed


def pause_between_write_and_response(model):
    """A response arrives 60 s after its write, when the lease started."""
    model.renew_all(0)
    model.read(0)
    model.write(0, 100, 'response-pending')
    model.read(1)
    model.advance(60)
    model.deliver_response(0)
    model.advance(30)
    model.renew(1, 100)


def requests_at_end_of_lease(model):
    """Requests admitted at 74 s, within the lease, run until 84 s."""
    model.renew_all(0)
    model.renew(0, 100)
    model.read(1)
    model.advance(74)
    model.admit_requests(0)
    model.advance(4)
    model.renew(1, 100)


def requests_of_lost_vm(model):
    """Requests of a VM that is no longer listed run for 10 s."""
    model.renew_all(0)
    model.renew(0, 100)
    model.read(1)
    model.admit_requests(0)
    model.end_vm(0)
    model.publish_list()
    model.fetch_list(0)
    model.advance(6)
    model.renew(0, 100)


def two_vms_of_one_entry(model):
    """A replacement starts while the VM that it replaces still runs."""
    model.renew_all(0)
    model.renew(1, 100)
    model.start_vm('a', 1.0)
    model.publish_list()
    model.fetch_list(3)
    model.advance(11)


def lost_response(model):
    """A write conflicts unnoticed, and another holder acquires the share."""
    model.renew_all(0)
    model.write(0, 100, 'response-lost')
    model.renew(1, 100)


@pytest.mark.parametrize(
    ('attribute', 'broken', 'scenario'),
    [
        (
            'ledger_type',
            LeaseStartsAtResponse,
            pause_between_write_and_response,
        ),
        ('monitor_type', ReclaimsWithoutWorkLimit, requests_at_end_of_lease),
        ('monitor_type', ReclaimsWithoutWorkLimit, requests_of_lost_vm),
        ('binding_type', BindsFloorBesideOtherVm, two_vms_of_one_entry),
        ('ledger_type', GrowsBeforeResponse, lost_response),
    ],
)
def test_model_detects_broken_rule(attribute, broken, scenario):
    """Guards against a model that misses these faults."""
    correct = share_model.ShareModel()
    scenario(correct)
    correct.stays_within_cap()
    correct.teardown()
    model = type(
        'BrokenModel', (share_model.ShareModel,), {attribute: broken}
    )()
    scenario(model)
    with pytest.raises(AssertionError):
        model.stays_within_cap()
