"""Facts that every VM must learn once, forwarded from VM to VM."""

import collections
import itertools
import typing

import attrs

# Older facts are discarded beyond this number.
MAX_FACTS = 2000

Fact = typing.TypeVar('Fact', bound=typing.Hashable)


@attrs.define
class News(typing.Generic[Fact]):
    """Facts in the order in which this VM learned them.

    A VM forwards each fact to all VMs that it sends reports to. One that it
    already knows is not forwarded again, so that a fact stops spreading once
    all VMs have it.

    Attributes:
        facts: Number of each fact, ascending.
        numbers: Source of the numbers.
        latest: Number of the latest fact, 0 for none.

    Examples:
        >>> news = News()
        >>> news.add('u1@5'), news.add('u1@5')
        (True, False)
        >>> news.since(0)
        ['u1@5']
    """

    facts: collections.OrderedDict[Fact, int] = attrs.field(
        factory=collections.OrderedDict
    )
    numbers: typing.Iterator[int] = attrs.field(
        factory=lambda: itertools.count(1)
    )
    latest: int = 0

    def add(self, fact: Fact) -> bool:
        """Add a fact and return whether it is new.

        Args:
            fact: The fact.
        """
        if fact in self.facts:
            return False
        self.latest = next(self.numbers)
        self.facts[fact] = self.latest
        if len(self.facts) > MAX_FACTS:
            self.facts.popitem(last=False)
        return True

    def since(self, number: int) -> list[Fact]:
        """Return the facts after a number, oldest first.

        Args:
            number: Number of the latest fact that was sent before.
        """
        if number >= self.latest:
            return []
        newest_first = itertools.takewhile(
            lambda fact: self.facts[fact] > number, reversed(self.facts)
        )
        return list(newest_first)[::-1]
