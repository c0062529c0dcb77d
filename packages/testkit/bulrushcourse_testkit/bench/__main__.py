"""Runs the comparison, writes a result and a plot and prints ratios."""

import concurrent.futures
import json
import pathlib
import sys

import attrs

from bulrushcourse_testkit.bench import plot
from bulrushcourse_testkit.bench import scenarios
from bulrushcourse_testkit.bench import targets
from bulrushcourse_testkit.bench import workload

WORKERS = 4
OUTPUT = pathlib.Path('build/bench')
DEPLOYMENTS = {
    'filatab': (workload.FILATAB, workload.FILATAB_UPLOADS),
    'thies': (workload.THIES, workload.THIES_UPLOADS),
}


def run_all(
    deployment: str, measures: list[targets.Ratio | targets.Figure]
) -> dict[tuple[str, str, int], scenarios.Outcome]:
    """Run what the measures need.

    Args:
        deployment: Name of the deployment.
        measures: The measures.
    """
    settings = scenarios.make_scenarios(*DEPLOYMENTS[deployment])
    keys = sorted(
        {
            (*pair, seed)
            for measure in measures
            for pair in measure.runs()
            for seed in targets.SEEDS
        }
    )
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as workers:
        runs = workers.map(
            scenarios.run,
            [settings[name] for name, _, _ in keys],
            [policy for _, policy, _ in keys],
            [seed for _, _, seed in keys],
        )
        return dict(zip(keys, runs, strict=True))


def report(
    deployment: str,
    measures: list[targets.Ratio | targets.Figure],
    outcomes: targets.Outcomes,
) -> list[dict]:
    """Print and return the measures.

    Args:
        deployment: Name of the deployment.
        measures: The measures.
        outcomes: Outcomes by scenario, policy and seed.
    """
    rows = []
    for measure in measures:
        values = [measure.value(outcomes, seed) for seed in targets.SEEDS]
        met = measure.bound is None or max(values) <= measure.bound
        row = attrs.asdict(measure) | {'values': values, 'met': met}
        rows.append(row)
        bound = '' if measure.bound is None else f'{measure.bound:g}'
        shown = ' '.join(f'{value:8.3f}' for value in values)
        state = '' if measure.bound is None else ('met' if met else 'MISSED')
        print(f'{deployment:8} {measure.title:38} {shown} {bound:>6} {state}')
    return rows


def main() -> int:
    """Run the deployments that are named, or both."""
    OUTPUT.mkdir(parents=True, exist_ok=True)
    measures = targets.make_measures()
    result = {}
    print('p99 ratios for seeds', *targets.SEEDS, '- target - state')
    for name in sys.argv[1:] or DEPLOYMENTS:
        outcomes = run_all(name, measures)
        site = DEPLOYMENTS[name][0]
        result[name] = {
            'measures': report(name, measures, outcomes),
            'p50_p99_ms': {
                f'{scenario}/{policy}/{seed}/{cls}': [
                    round(outcome.quantile_ms(part, cls), 2)
                    for part in (0.5, 0.99)
                ]
                for (scenario, policy, seed), outcome in outcomes.items()
                for cls in outcome.latencies
            },
        }
        seed = targets.SEEDS[0]
        series = {
            policy: outcomes['slowed', policy, seed].latencies['short']
            for policy in (targets.GRANTS, targets.TWO)
        }
        spells = workload.draw_spells(site, scenarios.LENGTH_S, seed)
        title = f'{site.name}: p99 of short work per 0.1 s, seed {seed}'
        svg = plot.draw(title, series, spells, scenarios.LENGTH_S)
        (OUTPUT / f'{name}.svg').write_text(svg)
    (OUTPUT / 'result.json').write_text(json.dumps(result, indent=1))
    return 0


if __name__ == '__main__':
    sys.exit(main())
