"""Cold upstreams are not overloaded by VMs that do not coordinate."""

from hypothesis import given
from hypothesis import strategies

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.upstreams import warmup

PER_S, EXCESS, MARGIN = 10.0, 1.5, 5.0


def busiest_second(times):
    return max(
        (sum(s <= t < s + 1.0 for t in times) for s in times), default=0
    )


@given(
    strategies.integers(1, 20),
    strategies.integers(0, 2),
    strategies.floats(0.003, 0.05),
)
def test_sum_of_all_vms_stays_within_the_limit(vm_count, unseen_count, step):
    # Every VM has more requests than it may send, and half of the VMs don't
    # know of some others.
    clock = clocks.ManualClock()
    vms = [f'vm-{n}' for n in range(vm_count)]
    limiters = []
    for number, vm in enumerate(vms):
        limiter = warmup.WarmupLimiter(clock, vm, EXCESS, MARGIN)
        hidden = vms[:unseen_count] if number % 2 else []
        limiter.set_members({*vms, vm} - ({*hidden} - {vm}))
        limiters.append(limiter)
    sent = []
    while clock.monotonic() < 3.0:
        for limiter in limiters:
            if limiter.may_send('u', PER_S):
                limiter.record_chosen('u')
                sent.append(clock.monotonic())
        clock.advance(step)
    assert 1 <= busiest_second(sent) <= PER_S * EXCESS + MARGIN
