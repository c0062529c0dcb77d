"""What the comparison runs."""

import attrs

from bulrushcourse_testkit.bench import policies
from bulrushcourse_testkit.bench import workload
from bulrushcourse_testkit.bench import world as worlds

LENGTH_S = 12.0
WARM_UP_S = 1.0
CHANGE_S = 5.0
"""When instances restart cold or say that they are leaving."""

SIGN_DELAY_S = 0.25
"""Half the interval at which entries poll health endpoints."""

REPORT_INTERVAL_S = 0.5


@attrs.frozen
class Scenario:
    """One setting; every policy meets the same calls.

    Attributes:
        name: Its name.
        site: The pool.
        streams: What arrives.
        slowed: Instances slowed at a time.
        cold: Instances that restart cold at ``CHANGE_S``.
        leaving: Instances that say at ``CHANGE_S`` that they are leaving.
        liars: Instances that always report no load.
        reports_end: When load reports stop.
    """

    name: str
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

    def quantile_ms(
        self, part: float, name: str = 'short', after: float = WARM_UP_S
    ) -> float:
        """Return a quantile of the latency of a class.

        Args:
            part: The quantile, between 0 and 1.
            name: The class.
            after: Leave out calls that arrived earlier.
        """
        found = sorted(s for at, s in self.latencies[name] if at >= after)
        return 1_000 * found[int(part * len(found))]


def make_scenarios(
    site: workload.Site, uploads: workload.Site
) -> dict[str, Scenario]:
    """Return the scenarios of a deployment by name.

    Args:
        site: Its pool of short work.
        uploads: Its pool that also takes uploads.
    """
    stream = workload.Stream
    seventy = (stream('short', 0.7),)
    half = (stream('short', 0.5),)
    heavy = (*half, stream('long', 0.2, 1.5))
    rows = [
        Scenario('steady', site, seventy),
        Scenario('slowed', site, seventy, slowed=2),
        Scenario('lying', site, seventy, slowed=2, liars=2),
        Scenario('stopped', site, seventy, slowed=2, reports_end=2.0),
        Scenario('cold', site, seventy, cold=4),
        Scenario('leaving', site, seventy, leaving=2),
        Scenario('load-85', site, (stream('short', 0.85),)),
        Scenario('no-uploads', uploads, half),
        Scenario('uploads', uploads, heavy),
    ]
    for load in (0.5, 0.95):
        mixed = (stream('rush', 0.1 * load), stream('short', 0.9 * load))
        rows.append(Scenario(f'rush-{load:.0%}', site, mixed))
    for mean_s in (0.01, 0.02, 0.1, 0.2):
        other = (stream('short', 0.7, mean_s),)
        name = f'{1_000 * mean_s:.0f}ms'
        rows.append(Scenario(f'steady-{name}', site, other))
        rows.append(Scenario(f'slowed-{name}', site, other, slowed=2))
    return {row.name: row for row in rows}


def run(scenario: Scenario, policy_name: str, seed: int) -> Outcome:
    """Run a scenario.

    Args:
        scenario: The setting.
        policy_name: ``grants`` or a baseline.
        seed: Seed of the calls and spells.
    """
    calls = workload.draw_calls(
        scenario.site, scenario.streams, LENGTH_S, seed
    )
    world = _make_world(scenario, seed)
    policy = _make_policy(scenario, world, policy_name)
    for call in calls:
        world.later(call.at, policy.arrive, call)
    late = []
    world.later(CHANGE_S + 2.0, lambda: late.append(_leaving(world, scenario)))
    world.run()
    late.append(_leaving(world, scenario))
    latencies: dict[str, list[tuple[float, float]]] = {}
    for call in calls:
        if call.answered is not None:
            latencies.setdefault(call.request_class, []).append(
                (call.at, call.answered - call.at)
            )
    return Outcome(
        latencies,
        sum(call.refused for call in calls) / len(calls),
        world.arrivals_full / world.arrivals,
        late[1] - late[0],
        world.arrivals / sum(not c.refused for c in calls) - 1,
    )


def _leaving(world: worlds.World, scenario: Scenario) -> int:
    return sum(u.reached for u in world.upstreams[: scenario.leaving])


def _make_world(scenario: Scenario, seed: int) -> worlds.World:
    site = scenario.site
    spells = workload.draw_spells(site, LENGTH_S, seed, scenario.slowed)
    world = worlds.World(site)
    for number in range(site.instances):
        own = [spell for spell in spells if spell.instance == number]
        world.upstreams.append(worlds.Upstream(site.slots, own))
    for upstream in world.upstreams[: scenario.cold]:
        world.later(CHANGE_S, upstream.restart)
    return world


def _make_policy(
    scenario: Scenario, world: worlds.World, name: str
) -> policies.Policy:
    if name != 'grants':
        liars = frozenset(range(scenario.liars))
        local = policies.Local(world, policies.BASELINES[name], liars)
        for number in range(int(scenario.reports_end / REPORT_INTERVAL_S)):
            world.later(number * REPORT_INTERVAL_S, local.report)
        return local
    granted = policies.Granted(world)
    if scenario.cold:
        world.later(CHANGE_S, _restart, granted, scenario.cold)
    for number in range(scenario.leaving):
        delay_s = CHANGE_S + SIGN_DELAY_S
        world.later(delay_s, granted.sign_leaving, str(number))
    return granted


def _restart(granted: policies.Granted, number: int) -> None:
    slots = {n: i.slots for n, i in granted.pool.instances.items()}
    rest = {n: s for n, s in slots.items() if int(n) >= number}
    granted.pool.set_instances(rest)
    granted.pool.set_instances(slots)
