"""Even division of requests over weighted choices."""

import typing

import attrs


@attrs.define
class WeightedTurns:
    """Smooth weighted round robin.

    Shares are kept within one request of the weights over any number of
    requests, unlike a random draw. Credit that was earned carries over when
    the weights change.

    Attributes:
        credit: What each choice is owed, in requests.

    Examples:
        >>> turns = WeightedTurns()
        >>> [turns.take({'a': 3, 'b': 1}) for _ in range(4)]
        ['a', 'a', 'b', 'a']
    """

    credit: dict[str, float] = attrs.field(factory=dict)

    def take(self, weights: typing.Mapping[str, float]) -> str:
        """Return the next choice.

        Args:
            weights: Weight of each choice; at least one is positive.
        """
        total = sum(weights.values())
        self.credit = {
            name: self.credit.get(name, 0.0) + weight / total
            for name, weight in weights.items()
        }
        chosen = max(self.credit, key=lambda name: self.credit[name])
        self.credit[chosen] -= 1.0
        return chosen
