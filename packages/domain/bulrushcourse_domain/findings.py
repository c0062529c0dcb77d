"""Findings of a check, each with the place where it was found."""

import typing

import attrs


@attrs.frozen(order=True)
class Finding:
    """One defect of a checked document.

    Attributes:
        place: Where the defect is, such as ``pools[catalog].slots``.
        code: Stable identifier of the kind of defect.
        message: What is wrong.
        remedy: What would be right.

    Examples:
        >>> print(Finding('pools[a].slots', 'range', 'is 0', 'at least 1'))
        pools[a].slots: is 0 (at least 1) [range]
    """

    place: str
    code: str
    message: str
    remedy: str = ''

    def __str__(self) -> str:
        remedy = f' ({self.remedy})' if self.remedy else ''
        return f'{self.place}: {self.message}{remedy} [{self.code}]'


def sort_findings(findings: typing.Iterable[Finding]) -> tuple[Finding, ...]:
    """Return findings ordered by place, without repetitions.

    Args:
        findings: Findings in any order.

    Examples:
        >>> a, b = Finding('a', 'x', 'bad'), Finding('b', 'x', 'bad')
        >>> [str(f) for f in sort_findings([b, a, b])]
        ['a: bad [x]', 'b: bad [x]']
    """
    return tuple(sorted(set(findings)))
