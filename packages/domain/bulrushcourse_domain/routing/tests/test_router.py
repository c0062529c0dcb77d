"""Guards against needless spill, spill past a cap and a wrong shed order."""

import attrs

from bulrushcourse_domain.routing import router


@attrs.frozen
class FixedCaps:
    blocks: dict[str, router.Reason] = attrs.field(factory=dict)

    def blocked_by(self, source, target):
        return self.blocks.get(target)


def route(loads, rank=1, blocks=None, **fields):
    chooser = router.Router(FixedCaps(blocks or {}), ('near', 'far'))
    return chooser.route(
        router.RoutingRequest('home', rank, 3, **fields),
        {load.region: load for load in loads},
    )


HOME_FREE = router.RegionLoad('home', 10, 9)
HOME_FULL = router.RegionLoad('home', 10, 10)
NEAR = router.RegionLoad('near', 10, 5)
FAR = router.RegionLoad('far', 10, 4)


def test_local_region_serves_while_it_has_a_free_slot():
    assert route([HOME_FREE, NEAR, FAR]).region == 'home'


def test_spill_prefers_near_region_of_like_headroom():
    chosen = route([HOME_FULL, NEAR, FAR])
    assert (chosen.region, chosen.reason) == ('near', router.Reason.SPILL)
    assert ('home', router.Reason.NO_HEADROOM) in chosen.passed_over


def test_spill_prefers_far_region_of_much_more_headroom():
    busy = router.RegionLoad('near', 10, 9)
    assert route([HOME_FULL, busy, FAR]).region == 'far'


def test_spill_respects_caps():
    """Guards against spill across a link without room."""
    blocks = {
        'near': router.Reason.LINK_CAP,
        'far': router.Reason.SHIFT_CAP,
    }
    chosen = route([HOME_FULL, NEAR, FAR], blocks=blocks)
    assert chosen.reason is router.Reason.QUEUE_LOCAL
    assert {*blocks.items()} <= {*chosen.passed_over}


def test_region_cap_sends_work_elsewhere():
    blocks = {'home': router.Reason.REGION_CAP}
    assert route([HOME_FREE, NEAR], blocks=blocks).region == 'near'


def test_long_work_is_shed_first_and_rush_work_last():
    shed_at = []
    for rank in range(3):
        for waiting in range(100):
            full = router.RegionLoad('home', 10, 10, waiting)
            if route([full], rank).region is None:
                shed_at.append(waiting)
                break
    assert shed_at == [50, 20, 5]


def test_plan_moves_request_unless_cap_is_reached():
    loads = [HOME_FREE, NEAR]
    assert route(loads, planned='near').reason is router.Reason.PLAN
    blocks = {'near': router.Reason.SHIFT_CAP}
    kept = route(loads, planned='near', blocks=blocks)
    assert kept.region == 'home'
    assert kept.passed_over == (('near', router.Reason.SHIFT_CAP),)


def test_drained_region_is_not_spilled_to():
    drained = frozenset(('near',))
    assert route([HOME_FULL, NEAR, FAR], drained=drained).region == 'far'
