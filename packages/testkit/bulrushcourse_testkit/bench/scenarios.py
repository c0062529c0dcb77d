"""What the comparison runs."""

import functools

import attrs

from bulrushcourse_testkit.bench import policies
from bulrushcourse_testkit.bench import workload
from bulrushcourse_testkit.bench import world as worlds

LENGTH_S = 12.0
WARM_UP_S = 1.0
CHANGE_S = 5.0
"""When instances restart cold or say that they are leaving."""

SIGN_DELAY_S = 0.5
"""Time from a sign of leaving until the owner has it (polled each second)."""

REPORT_INTERVAL_S = 0.5


@attrs.frozen
class Scenario:
    """One setting; every policy meets the same calls.

    Attributes:
        site: The pool.
        streams: What arrives.
        slowed: Instances slowed at a time.
        cold: Instances that restart cold at ``CHANGE_S``.
        leaving: Instances that say at ``CHANGE_S`` that they are leaving.
        liars: Instances that always report no load.
        reports_end: When load reports stop.
    """

    site: workload.Site
    streams: tuple[workload.Stream, ...]
    slowed: int = 0
    cold: int = 0
    leaving: int = 0
    liars: int = 0
    reports_end: float = LENGTH_S


@attrs.define
class Outcome:
    """What a run gave.

    Attributes:
        latencies: Arrival and latency in seconds, by class.
        refused: Part of calls that were refused.
        full: Part of arrivals that found no free slot.
        late: Calls that reached a leaving instance over 2 s after the sign.
        extra: Part of extra work from hedges.
    """

    latencies: dict[str, list[tuple[float, float]]]
    refused: float
    full: float
    late: int
    extra: float

    def quantile_ms(self, part: float, name: str, after: float) -> float:
        """Return a quantile of the latency of calls that came after a time."""
        found = sorted(s for at, s in self.latencies[name] if at >= after)
        return 1_000 * found[int(part * len(found))]


def make_scenarios(
    site: workload.Site, uploads: workload.Site
) -> dict[str, Scenario]:
    """Return the scenarios of a deployment by name.

    ``uploads`` is the pool that takes uploads beside short work.
    """
    stream = workload.Stream
    seventy = (stream('short', 0.7),)
    half = (stream('short', 0.5),)
    found = {
        'steady': Scenario(site, seventy),
        'slowed': Scenario(site, seventy, slowed=2),
        'lying': Scenario(site, seventy, slowed=2, liars=2),
        'stopped': Scenario(site, seventy, slowed=2, reports_end=2.0),
        'cold': Scenario(site, seventy, cold=4),
        'leaving': Scenario(site, seventy, leaving=2),
        'load-85': Scenario(site, (stream('short', 0.85),)),
        'no-uploads': Scenario(uploads, half),
        'uploads': Scenario(uploads, (*half, stream('long', 0.2, 1.5))),
    }
    for load in (0.5, 0.95):
        mixed = stream('rush', 0.1 * load), stream('short', 0.9 * load)
        found[f'rush-{load:.0%}'] = Scenario(site, mixed)
    for mean_ms in (10, 100, 200):
        other = (stream('short', 0.7, mean_ms / 1_000),)
        found[f'steady-{mean_ms}ms'] = Scenario(site, other)
        found[f'slowed-{mean_ms}ms'] = Scenario(site, other, slowed=2)
    return found


def run(scenario: Scenario, policy_name: str, seed: int) -> Outcome:
    """Run a scenario with one policy and seed."""
    site = scenario.site
    calls = workload.draw_calls(site, scenario.streams, LENGTH_S, seed)
    spells = workload.draw_spells(site, LENGTH_S, seed, scenario.slowed)
    world = worlds.World(
        site,
        [
            worlds.Upstream(site.slots, [s for s in spells if s.instance == n])
            for n in range(site.instances)
        ],
    )
    for upstream in world.upstreams[: scenario.cold]:
        world.later(CHANGE_S, upstream.restart)
    policy = _make_policy(scenario, world, policy_name)
    for call in calls:
        world.later(call.at, functools.partial(policy.arrive, call))
    leaving = world.upstreams[: scenario.leaving]
    reached: list[int] = []
    world.later(
        CHANGE_S + 2.0,
        lambda: reached.append(sum(u.reached for u in leaving)),
    )
    world.run()
    latencies: dict[str, list[tuple[float, float]]] = {}
    for call in calls:
        if call.answered is not None:
            pair = call.at, call.answered - call.at
            latencies.setdefault(call.request_class, []).append(pair)
    refused = sum(call.refused for call in calls)
    return Outcome(
        latencies,
        refused / len(calls),
        world.arrivals_full / world.arrivals,
        sum(u.reached for u in leaving) - reached[0],
        world.arrivals / (len(calls) - refused) - 1,
    )


def _make_policy(
    scenario: Scenario, world: worlds.World, name: str
) -> policies.Policy:
    if name in policies.BASELINES:
        liars = frozenset(range(scenario.liars))
        local = policies.Local(world, policies.BASELINES[name], liars)
        for number in range(int(scenario.reports_end / REPORT_INTERVAL_S)):
            world.later(number * REPORT_INTERVAL_S, local.report)
        return local
    granted = policies.Granted(world, hedging=name == 'grants')
    cold = {str(number) for number in range(scenario.cold)}
    if cold:
        world.later(CHANGE_S, functools.partial(granted.restart, cold))
    for number in range(scenario.leaving):
        sign = functools.partial(granted.set_leaving, str(number))
        world.later(CHANGE_S + SIGN_DELAY_S, sign)
    return granted
