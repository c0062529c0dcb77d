"""Linear fits of costs to sizes."""

import statistics
import typing

import attrs


@attrs.frozen
class Slope:
    """A cost that was measured at several sizes.

    Attributes:
        name: What was measured.
        size_unit: Unit of the sizes, such as ``entries``.
        cost_unit: Unit of the costs, such as ``us``.
        points: Pairs of size and cost.
    """

    name: str
    size_unit: str
    cost_unit: str
    points: tuple[tuple[float, float], ...]

    def fit(self) -> tuple[float, float]:
        """Return slope and intercept of the least-squares fit.

        Examples:
            >>> Slope('a', 'x', 'y', ((1, 3), (2, 5), (3, 7))).fit()
            (2.0, 1.0)
        """
        line = statistics.linear_regression(*zip(*self.points, strict=True))
        return line.slope, line.intercept

    def predict(self, size: float) -> float:
        """Return the cost that the fit predicts for a size.

        Args:
            size: Size in ``size_unit``.
        """
        slope, intercept = self.fit()
        return slope * size + intercept

    def describe(self) -> dict[str, typing.Any]:
        """Return the points and the fit as a JSON value."""
        slope, intercept = self.fit()
        return {
            'name': self.name,
            'size_unit': self.size_unit,
            'cost_unit': self.cost_unit,
            'points': [[size, round(cost, 3)] for size, cost in self.points],
            'slope': float(f'{slope:.4g}'),
            'intercept': float(f'{intercept:.4g}'),
        }
