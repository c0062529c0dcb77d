"""Smooth weighted round robin."""

import math
import typing

import attrs


@attrs.define
class WeightedRoundRobin:
    """Divides requests over choices according to their weights.

    Unlike with random sampling, the number of requests of each choice stays
    within one of its share at all times. Credits carry over when the weights
    change.

    Attributes:
        credits: Requests that each choice is still owed.

    Examples:
        >>> choices = WeightedRoundRobin()
        >>> [choices.next_choice({'a': 3, 'b': 1}) for _ in range(4)]
        ['a', 'a', 'b', 'a']
    """

    credits: dict[str, float] = attrs.field(factory=dict)

    def next_choice(
        self,
        weights: typing.Mapping[str, float],
        preferred: str = '',
        slack: float = 0.0,
        memory_requests: float = math.inf,
    ) -> str:
        """Return the next choice.

        Args:
            weights: Weight of each choice; at least one is positive.
            preferred: Choice to prefer, empty for none.
            slack: Requests by which it may exceed its share.
            memory_requests: Number of requests over which credits decay.

        Examples:
            >>> choices = WeightedRoundRobin()
            >>> weights = {'a': 1, 'b': 1}
            >>> [choices.next_choice(weights, 'a', 1.0) for _ in range(4)]
            ['a', 'a', 'b', 'a']
        """
        total = sum(weights.values())
        decay = 1.0 - 1.0 / memory_requests
        self.credits = {
            name: self.credits.get(name, 0.0) * decay + weight / total
            for name, weight in weights.items()
        }
        chosen = max(self.credits, key=lambda name: self.credits[name])
        if self.credits.get(preferred, -math.inf) - 1.0 >= -slack - 1e-9:
            chosen = preferred
        self.credits[chosen] -= 1.0
        return chosen
