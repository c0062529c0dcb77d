"""Runs the comparison, prints the ratios and writes results and plots."""

import concurrent.futures
import json
import pathlib
import sys

import attrs

from bulrushcourse_testkit.bench import measures
from bulrushcourse_testkit.bench import plot
from bulrushcourse_testkit.bench import scenarios
from bulrushcourse_testkit.bench import workload

WORKERS = 4
OUTPUT = pathlib.Path('build/bench')
DEPLOYMENTS = {
    'filatab': (
        workload.Site('filatab/catalog', 16, 5, 0.001),
        workload.Site('filatab/artwork', 12, 3, 0.001),
    ),
    'thies': (
        workload.Site('thies/liste', 16, 7, 0.000_5),
        workload.Site('thies/album', 12, 3, 0.000_5),
    ),
}


def run_all(
    deployment: str, rows: list[measures.Measure]
) -> dict[tuple[str, str, int], scenarios.Outcome]:
    """Run every scenario and policy that the measures of a deployment use."""
    by_name = scenarios.make_scenarios(*DEPLOYMENTS[deployment])
    runs = {run for row in rows for run in (row.upper, row.lower) if run}
    keys = sorted((*run, seed) for run in runs for seed in measures.SEEDS)
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as workers:
        outcomes = workers.map(
            scenarios.run,
            [by_name[name] for name, _, _ in keys],
            [policy for _, policy, _ in keys],
            [seed for _, _, seed in keys],
        )
        return dict(zip(keys, outcomes, strict=True))


def report(
    deployment: str,
    rows: list[measures.Measure],
    outcomes: measures.Outcomes,
) -> list[dict]:
    """Print the values of the measures and return them for the result file."""
    results = []
    for row in rows:
        values = [row.value(outcomes, seed) for seed in measures.SEEDS]
        met = None if row.bound is None else max(values) <= row.bound
        results.append(attrs.asdict(row) | {'values': values, 'met': met})
        shown = ' '.join(f'{value:8.3f}' for value in values)
        bound = '' if row.bound is None else f'{row.bound:5g}'
        state = {None: '', True: 'met', False: 'MISSED'}[met]
        print(f'{deployment:8}{row.title:36}{shown} {bound} {state}')
    return results


def render_plot(deployment: str, outcomes: measures.Outcomes) -> str:
    """Return the plot of scenario ``slowed`` for the first seed, as SVG."""
    seed, duration_s = measures.SEEDS[0], scenarios.DURATION_S
    site = DEPLOYMENTS[deployment][0]
    return plot.render(
        f'{site.name}: p99 of short work per 0.1 s, seed {seed}',
        {
            policy: outcomes['slowed', policy, seed].latencies['short']
            for policy in (measures.GRANTS, measures.TWO_CHOICES)
        },
        workload.sample_slowdowns(site, duration_s, seed, 2),
        duration_s,
    )


def main() -> int:
    """Run the deployments given as arguments, by default both."""
    OUTPUT.mkdir(parents=True, exist_ok=True)
    rows, result = measures.make_measures(), {}
    print('p99 ratios for seeds', *measures.SEEDS, '- target - state')
    for name in sys.argv[1:] or DEPLOYMENTS:
        outcomes = run_all(name, rows)
        result[name] = {
            'measures': report(name, rows, outcomes),
            'p50_p99_ms': {
                '/'.join(map(str, (*key, request_class))): [
                    outcome.quantile_ms(fraction, request_class, 1.0)
                    for fraction in (0.5, 0.99)
                ]
                for key, outcome in outcomes.items()
                for request_class in outcome.latencies
            },
        }
        (OUTPUT / f'{name}.svg').write_text(render_plot(name, outcomes))
    (OUTPUT / 'result.json').write_text(json.dumps(result, indent=1))
    return 0


if __name__ == '__main__':
    sys.exit(main())
