"""Measures of section 1.3 of the design page that the comparison covers."""

import typing

import attrs

from bulrushcourse_testkit.bench import scenarios

SEEDS = (1, 2, 3)
GRANTS, UNHEDGED, TWO_CHOICES = 'grants', 'grants-unhedged', 'two-choices'

Run = tuple[str, str]
"""Names of scenario and policy."""

Outcomes = typing.Mapping[tuple[str, str, int], scenarios.Outcome]
"""Outcomes by scenario, policy and seed."""


@attrs.frozen
class Measure:
    """A ratio of two latency quantiles, or one figure of a run.

    Attributes:
        title: Label in the report.
        upper: Run of the numerator or the figure.
        lower: Run of the denominator, ``None`` for a figure.
        bound: Largest value that meets the target, ``None`` without a target.
        field: Request class of the latencies, or attribute of the figure.
        after: Time in seconds; calls that arrived earlier are ignored.
        quantile: Quantile of the latencies.
    """

    title: str
    upper: Run
    lower: Run | None = None
    bound: float | None = None
    field: str = 'short'
    after: float = scenarios.WARM_UP_S
    quantile: float = 0.99

    def value(self, outcomes: Outcomes, seed: int) -> float:
        """Return the value of the measure for one seed."""
        if self.lower is None:
            return getattr(outcomes[*self.upper, seed], self.field)
        args = self.quantile, self.field, self.after
        upper, lower = outcomes[*self.upper, seed], outcomes[*self.lower, seed]
        return upper.quantile_ms(*args) / lower.quantile_ms(*args)


def make_measures() -> list[Measure]:
    """Return all measures in the order of the report."""
    rows = []
    for mean in ('', '-10ms', '-100ms', '-200ms'):
        slowed, steady = f'slowed{mean}', f'steady{mean}'
        for name in (GRANTS, UNHEDGED):
            bounds = (0.5, 1.3) if name == GRANTS else (None, None)
            runs = (slowed, name), (slowed, TWO_CHOICES)
            rows.append(Measure(f'{name} {slowed}/two', *runs, bounds[0]))
            runs = (slowed, name), (steady, name)
            rows.append(Measure(f'{name} {slowed}/steady', *runs, bounds[1]))
        runs = (slowed, GRANTS), None, 0.05, 'extra'
        rows.append(Measure(f'extra work, {slowed}', *runs))
        # A lower bound: slowed instances never make a policy faster.
        runs = (steady, GRANTS), (slowed, TWO_CHOICES)
        rows.append(Measure(f'floor of {slowed}/two', *runs))
    for name in ('random', 'round-robin', 'least-outstanding'):
        runs = ('slowed', GRANTS), ('slowed', name)
        rows.append(Measure(f'grants slowed/{name}', *runs))
    return rows + _make_further_measures()


def _make_further_measures() -> list[Measure]:
    steady = ('steady', GRANTS), ('steady', TWO_CHOICES)
    rows = [
        Measure('steady/two', *steady),
        Measure('steady/two, median', *steady, quantile=0.5),
    ]
    for name in (GRANTS, TWO_CHOICES):
        uploads, rush, full = (
            (1.1, 1.2, 0.005) if name == GRANTS else [None] * 3
        )
        runs = ('uploads', name), ('no-uploads', name)
        rows.append(Measure(f'uploads/none, {name}', *runs, uploads))
        runs = ('rush-95%', name), ('rush-50%', name)
        rows.append(Measure(f'rush 95%/50%, {name}', *runs, rush, 'rush'))
        runs = ('load-85', name), None, full, 'full'
        rows.append(Measure(f'arrivals at full, 85%, {name}', *runs))
    for kind in ('lying', 'stopped'):
        for name, bound in ((GRANTS, 1.1), ('reported', None)):
            runs = (kind, name), ('slowed', name)
            rows.append(Measure(f'{kind} reports, {name}', *runs, bound))
    cold, leaving = ('cold', GRANTS), ('leaving', GRANTS)
    after = scenarios.CHANGE_S
    return rows + [
        Measure('4 of 16 cold/warm', cold, steady[0], after=after),
        Measure('4 of 16 cold/two', cold, ('cold', TWO_CHOICES), after=after),
        Measure('work 2 s after leaving', leaving, None, 0, 'late'),
        Measure('2 of 16 leaving/none', leaving, steady[0], after=after),
        Measure('refused, rush 95%', ('rush-95%', GRANTS), field='refused'),
        Measure(
            'extra work, rush 95%', ('rush-95%', GRANTS), None, 0.05, 'extra'
        ),
    ]
