"""Scenarios of the comparison and their simulation."""

import functools

import attrs

from bulrushcourse_testkit.bench import policies
from bulrushcourse_testkit.bench import workload
from bulrushcourse_testkit.bench import world as worlds

DURATION_S = 12.0
WARM_UP_S = 1.0
CHANGE_S = 5.0
"""When instances restart with a cold cache or announce that they leave."""

NOTICE_DELAY_S = 0.5
"""Time until the owner knows that an instance leaves; the announcements are
polled once a second."""

REPORT_INTERVAL_S = 0.5


@attrs.frozen
class Scenario:
    """A workload with faults; all policies receive the same calls.

    Attributes:
        site: Pool of instances.
        streams: Streams of calls.
        slowed: Number of instances that are slowed at any time.
        cold: Number of instances that restart with a cold cache at
            ``CHANGE_S``.
        leaving: Number of instances that announce at ``CHANGE_S`` that they
            leave.
        false_idle: Number of instances that always report that they are
            idle.
        reports_end: Time at which load reports stop, in seconds.
    """

    site: workload.Site
    streams: tuple[workload.Stream, ...]
    slowed: int = 0
    cold: int = 0
    leaving: int = 0
    false_idle: int = 0
    reports_end: float = DURATION_S


@attrs.define
class Outcome:
    """Results of a run.

    Attributes:
        latencies: Arrival time and latency in seconds, by request class.
        refused: Share of calls that were refused.
        full: Share of arrivals at instances that found no free slot.
        late: Number of calls that reached a leaving instance more than 2 s
            after it announced that it leaves.
        extra: Hedges as a share of the calls that were not refused.
    """

    latencies: dict[str, list[tuple[float, float]]]
    refused: float
    full: float
    late: int
    extra: float

    def quantile_ms(
        self, fraction: float, request_class: str, after: float
    ) -> float:
        """Return a latency quantile of the calls that arrived after a time."""
        latencies = sorted(
            latency_s
            for arrived_at, latency_s in self.latencies[request_class]
            if arrived_at >= after
        )
        return 1_000 * latencies[int(fraction * len(latencies))]


def make_scenarios(
    site: workload.Site, uploads: workload.Site
) -> dict[str, Scenario]:
    """Return the scenarios of a deployment by name.

    ``uploads`` is the pool that serves uploads besides short requests.
    """
    stream = workload.Stream
    load_70 = (stream('short', 0.7),)
    load_50 = (stream('short', 0.5),)
    scenarios = {
        'steady': Scenario(site, load_70),
        'slowed': Scenario(site, load_70, slowed=2),
        'lying': Scenario(site, load_70, slowed=2, false_idle=2),
        'stopped': Scenario(site, load_70, slowed=2, reports_end=2.0),
        'cold': Scenario(site, load_70, cold=4),
        'leaving': Scenario(site, load_70, leaving=2),
        'load-85': Scenario(site, (stream('short', 0.85),)),
        'no-uploads': Scenario(uploads, load_50),
        'uploads': Scenario(uploads, (*load_50, stream('long', 0.2, 1.5))),
    }
    for load in (0.5, 0.95):
        mixed = stream('rush', 0.1 * load), stream('short', 0.9 * load)
        scenarios[f'rush-{load:.0%}'] = Scenario(site, mixed)
    for mean_ms in (10, 100, 200):
        streams = (stream('short', 0.7, mean_ms / 1_000),)
        scenarios[f'steady-{mean_ms}ms'] = Scenario(site, streams)
        scenarios[f'slowed-{mean_ms}ms'] = Scenario(site, streams, slowed=2)
    return scenarios


def run(scenario: Scenario, policy_name: str, seed: int) -> Outcome:
    """Simulate a scenario with one policy and seed."""
    site = scenario.site
    calls = workload.sample_calls(site, scenario.streams, DURATION_S, seed)
    slowdowns = workload.sample_slowdowns(
        site, DURATION_S, seed, scenario.slowed
    )
    world = worlds.World(
        site,
        [
            worlds.Upstream(
                site.slots, [s for s in slowdowns if s.instance == n]
            )
            for n in range(site.instances)
        ],
    )
    for upstream in world.upstreams[: scenario.cold]:
        world.schedule(CHANGE_S, upstream.restart)
    policy = _make_policy(scenario, world, policy_name)
    for call in calls:
        world.schedule(call.arrives_at, functools.partial(policy.handle, call))
    leaving = world.upstreams[: scenario.leaving]
    arrivals_before: list[int] = []
    world.schedule(
        CHANGE_S + 2.0,
        lambda: arrivals_before.append(sum(u.arrivals for u in leaving)),
    )
    world.run()
    latencies: dict[str, list[tuple[float, float]]] = {}
    for call in calls:
        if call.answered_at is not None:
            pair = call.arrives_at, call.answered_at - call.arrives_at
            latencies.setdefault(call.request_class, []).append(pair)
    refused = sum(call.refused for call in calls)
    return Outcome(
        latencies,
        refused / len(calls),
        world.arrivals_full / world.arrivals,
        sum(u.arrivals for u in leaving) - arrivals_before[0],
        world.arrivals / (len(calls) - refused) - 1,
    )


def _make_policy(
    scenario: Scenario, world: worlds.World, name: str
) -> policies.Policy:
    if name in policies.BASELINES:
        false_idle = frozenset(range(scenario.false_idle))
        local = policies.LocalPolicy(
            world, policies.BASELINES[name], false_idle
        )
        for number in range(int(scenario.reports_end / REPORT_INTERVAL_S)):
            world.schedule(number * REPORT_INTERVAL_S, local.poll_reports)
        return local
    grants = policies.GrantPolicy(world, hedging=name == 'grants')
    cold = {str(number) for number in range(scenario.cold)}
    if cold:
        world.schedule(CHANGE_S, functools.partial(grants.restart, cold))
    for number in range(scenario.leaving):
        notify = functools.partial(grants.set_leaving, str(number))
        world.schedule(CHANGE_S + NOTICE_DELAY_S, notify)
    return grants
