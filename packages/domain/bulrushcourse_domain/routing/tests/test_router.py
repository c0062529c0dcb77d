"""Guards against needless spill, spill past a limit and wrong shed order."""

import attrs

from bulrushcourse_domain.routing import router


@attrs.frozen
class FixedLimits:
    reasons: dict[str, router.Reason] = attrs.field(factory=dict)

    def blocked_by(self, source, target):
        return self.reasons.get(target)


def route(loads, rank=1, reasons=None, **fields):
    region_router = router.Router(FixedLimits(reasons or {}), ('near', 'far'))
    return region_router.route(
        router.RoutingRequest('home', rank, 3, **fields),
        {load.region: load for load in loads},
    )


HOME_FREE = router.RegionLoad('home', 10, 9)
HOME_FULL = router.RegionLoad('home', 10, 10)
NEAR = router.RegionLoad('near', 10, 5)
FAR = router.RegionLoad('far', 10, 4)


def test_local_region_serves_while_it_has_a_free_slot():
    assert route([HOME_FREE, NEAR, FAR]).region == 'home'


def test_spill_prefers_near_region_of_similar_headroom():
    chosen = route([HOME_FULL, NEAR, FAR])
    assert (chosen.region, chosen.reason) == ('near', router.Reason.SPILL)
    assert ('home', router.Reason.NO_HEADROOM) in chosen.passed_over


def test_spill_prefers_far_region_of_much_more_headroom():
    busy = router.RegionLoad('near', 10, 9)
    assert route([HOME_FULL, busy, FAR]).region == 'far'


def test_spill_respects_limits():
    """Guards against spill across a link whose limit is exhausted."""
    reasons = {
        'near': router.Reason.LINK_CAP,
        'far': router.Reason.SHIFT_CAP,
    }
    chosen = route([HOME_FULL, NEAR, FAR], reasons=reasons)
    assert chosen.reason is router.Reason.QUEUE_LOCAL
    assert {*reasons.items()} <= {*chosen.passed_over}


def test_region_limit_sends_requests_elsewhere():
    reasons = {'home': router.Reason.REGION_CAP}
    assert route([HOME_FREE, NEAR], reasons=reasons).region == 'near'


def test_low_priority_is_shed_first_and_high_priority_last():
    shed_waiting = []
    for rank in range(3):
        for waiting in range(100):
            full = router.RegionLoad('home', 10, 10, waiting)
            if route([full], rank).region is None:
                shed_waiting.append(waiting)
                break
    assert shed_waiting == [50, 20, 5]


def test_plan_moves_request_unless_limit_is_reached():
    loads = [HOME_FREE, NEAR]
    assert route(loads, planned='near').reason is router.Reason.PLAN
    reasons = {'near': router.Reason.SHIFT_CAP}
    decision = route(loads, planned='near', reasons=reasons)
    assert decision.region == 'home'
    assert decision.passed_over == (('near', router.Reason.SHIFT_CAP),)


def test_drained_region_is_not_spilled_to():
    drained = frozenset(('near',))
    assert route([HOME_FULL, NEAR, FAR], drained=drained).region == 'far'
