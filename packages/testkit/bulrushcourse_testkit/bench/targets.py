"""The measures of design page section 1.3 that the comparison covers."""

import typing

import attrs

from bulrushcourse_testkit.bench import scenarios

SEEDS = (1, 2, 3)

Outcomes = typing.Mapping[tuple[str, str, int], scenarios.Outcome]
"""Outcomes by scenario, policy and seed."""


@attrs.frozen
class Ratio:
    """A p99 latency divided by another one.

    Attributes:
        title: What is compared.
        upper: Scenario and policy of the numerator.
        lower: Scenario and policy of the denominator.
        bound: Largest value that meets the target; ``None`` for no target.
        request_class: Class whose latency is compared.
        after: Leave out calls that arrived earlier.
    """

    title: str
    upper: tuple[str, str]
    lower: tuple[str, str]
    bound: float | None = None
    request_class: str = 'short'
    after: float = scenarios.WARM_UP_S

    def value(self, outcomes: Outcomes, seed: int) -> float:
        """Return the ratio for one seed."""
        upper, lower = (
            outcomes[*side, seed].quantile_ms(
                0.99, self.request_class, self.after
            )
            for side in (self.upper, self.lower)
        )
        return upper / lower

    def runs(self) -> tuple[tuple[str, str], ...]:
        """Return the scenarios and policies that have to run."""
        return self.upper, self.lower


@attrs.frozen
class Figure:
    """A figure of one run.

    Attributes:
        title: What is measured.
        run: Scenario and policy.
        field: Attribute of the outcome.
        bound: Largest value that meets the target; ``None`` for no target.
    """

    title: str
    run: tuple[str, str]
    field: str
    bound: float | None = None

    def value(self, outcomes: Outcomes, seed: int) -> float:
        """Return the figure for one seed."""
        return getattr(outcomes[*self.run, seed], self.field)

    def runs(self) -> tuple[tuple[str, str], ...]:
        """Return the scenario and policy that have to run."""
        return (self.run,)


GRANTS = 'grants'
TWO = 'two-choices'


def make_measures() -> list[Ratio | Figure]:
    """Return all measures in the order of the report."""
    slowed = ('slowed', GRANTS)
    rows: list[Ratio | Figure] = [
        Ratio('slowed / two choices', slowed, ('slowed', TWO), 0.5),
        Ratio('slowed / not slowed', slowed, ('steady', GRANTS), 1.3),
    ]
    for name in ('random', 'round-robin', 'least-outstanding'):
        rows.append(Ratio(f'slowed / {name}', slowed, ('slowed', name)))
    for mean in ('10ms', '20ms', '100ms', '200ms'):
        runs = (f'slowed-{mean}', GRANTS), (f'slowed-{mean}', TWO)
        rows.append(Ratio(f'slowed / two choices, {mean}', *runs, 0.5))
        runs = (f'slowed-{mean}', GRANTS), (f'steady-{mean}', GRANTS)
        rows.append(Ratio(f'slowed / not slowed, {mean}', *runs, 1.3))
    steady = ('steady', GRANTS)
    rows.append(Ratio('steady / two choices', steady, ('steady', TWO)))
    for name in (GRANTS, TWO):
        runs = ('uploads', name), ('no-uploads', name)
        bound = 1.1 if name == GRANTS else None
        rows.append(Ratio(f'uploads / none, {name}', *runs, bound))
        runs = ('rush-95%', name), ('rush-50%', name)
        bound = 1.2 if name == GRANTS else None
        rows.append(Ratio(f'rush 95% / 50%, {name}', *runs, bound, 'rush'))
        bound = 0.005 if name == GRANTS else None
        title = f'arrivals at full, 85%, {name}'
        rows.append(Figure(title, ('load-85', name), 'full', bound))
    for kind in ('lying', 'stopped'):
        for name, bound in ((GRANTS, 1.1), ('reported', None)):
            runs = (kind, name), ('slowed', name)
            rows.append(Ratio(f'{kind} reports, {name}', *runs, bound))
    change = scenarios.CHANGE_S
    runs = ('cold', GRANTS), ('steady', GRANTS)
    rows += [
        Ratio('4 of 16 cold / warm', *runs, after=change),
        Ratio('cold / two choices', runs[0], ('cold', TWO), after=change),
        Figure(
            'new work after 2 s of leaving', ('leaving', GRANTS), 'late', 0
        ),
        Ratio('2 leaving / none', ('leaving', GRANTS), steady, after=change),
        Figure('refused, rush-95%', ('rush-95%', GRANTS), 'refused'),
        Figure('extra work, slowed', slowed, 'extra', 0.05),
    ]
    return rows
