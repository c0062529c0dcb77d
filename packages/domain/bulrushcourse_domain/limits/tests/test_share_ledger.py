"""Guards against shares that together exceed a cap, or are lost for good.

The model finds each of four rules broken in one part of the ledger.
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
class LeaseFromAnswer(share_ledger.ShareLedger):
    def confirm_write(self, renewal):
        super().confirm_write(renewal)
        self.expires = self.clock.monotonic() + lease_monitor.LEASE_S


class ReuseWithoutWorkLimit(lease_monitor.LeaseMonitor):
    def work_margin_s(self, work_limit_s):
        return 0.0


class FloorWithoutSoleVm(floor_binding.FloorBinding):
    def is_sole(self, seats):
        return self.vm_id in seats


@attrs.define
class GrowthBeforeAnswer(share_ledger.ShareLedger):
    def propose(self, demand, in_use):
        proposed = super().propose(demand, in_use)
        self.confirm_write(self.last_renewal)
        return proposed


def pause_between_write_and_answer(model):
    """The holder's lease is counted from 60 s before its answer."""
    model.renew_all(0)
    model.read(0)
    model.write(0, 100, 'waits')
    model.read(1)
    model.advance(60)
    model.answer(0)
    model.advance(30)
    model.renew(1, 100)


def work_at_end_of_lease(model):
    """Work admitted at 74 s lasts until 84 s."""
    model.renew_all(0)
    model.renew(0, 100)
    model.read(1)
    model.advance(74)
    model.admit_work(0)
    model.advance(4)
    model.renew(1, 100)


def work_of_lost_vm(model):
    """Work of a VM that the list shows as gone lasts for 10 s."""
    model.renew_all(0)
    model.renew(0, 100)
    model.read(1)
    model.admit_work(0)
    model.end_vm(0)
    model.publish_list()
    model.see_list(0)
    model.advance(6)
    model.renew(0, 100)


def two_vms_in_one_seat(model):
    """A replacement starts beside the VM that it replaces."""
    model.renew_all(0)
    model.renew(1, 100)
    model.start_vm('a', 1.0)
    model.publish_list()
    model.see_list(3)
    model.advance(11)


def lost_answer(model):
    """The write did not arrive, and another holder takes the share."""
    model.renew_all(0)
    model.write(0, 100, 'lost')
    model.renew(1, 100)


@pytest.mark.parametrize(
    ('part', 'broken', 'play'),
    [
        ('ledger_type', LeaseFromAnswer, pause_between_write_and_answer),
        ('watch_type', ReuseWithoutWorkLimit, work_at_end_of_lease),
        ('watch_type', ReuseWithoutWorkLimit, work_of_lost_vm),
        ('binding_type', FloorWithoutSoleVm, two_vms_in_one_seat),
        ('ledger_type', GrowthBeforeAnswer, lost_answer),
    ],
)
def test_check_finds_broken_rule(part, broken, play):
    """Guards against a check that would pass over these faults."""
    sound = share_model.ShareModel()
    play(sound)
    sound.stays_within_cap()
    sound.teardown()
    model = type('BrokenModel', (share_model.ShareModel,), {part: broken})()
    play(model)
    with pytest.raises(AssertionError):
        model.stays_within_cap()
