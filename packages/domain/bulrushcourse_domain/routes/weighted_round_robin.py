"""Even division of requests over weighted choices."""

import math
import typing

import attrs


@attrs.define
class WeightedRoundRobin:
    """Smooth weighted round robin.

    Shares are kept within one request of the weights over any number of
    requests, unlike a random draw. Credit that was earned carries over when
    the weights change.

    Attributes:
        credit: What each choice is owed, in requests.

    Examples:
        >>> turns = WeightedRoundRobin()
        >>> [turns.next_choice({'a': 3, 'b': 1}) for _ in range(4)]
        ['a', 'a', 'b', 'a']
    """

    credit: dict[str, float] = attrs.field(factory=dict)

    def next_choice(
        self,
        weights: typing.Mapping[str, float],
        wanted: str = '',
        slack: float = 0.0,
        memory: float = math.inf,
    ) -> str:
        """Return the next choice.

        Args:
            weights: Weight of each choice; at least one is positive.
            wanted: Choice to prefer, if there is one.
            slack: Requests that it may be ahead of its share.
            memory: Requests after which a lead is forgotten.

        Examples:
            >>> turns = WeightedRoundRobin()
            >>> weights = {'a': 1, 'b': 1}
            >>> [turns.next_choice(weights, 'a', slack=1.0) for _ in range(4)]
            ['a', 'a', 'b', 'a']
        """
        total = sum(weights.values())
        kept = 1.0 - 1.0 / memory
        self.credit = {
            name: self.credit.get(name, 0.0) * kept + weight / total
            for name, weight in weights.items()
        }
        chosen = max(self.credit, key=lambda name: self.credit[name])
        if self.credit.get(wanted, -math.inf) - 1.0 >= -slack - 1e-9:
            chosen = wanted
        self.credit[chosen] -= 1.0
        return chosen
