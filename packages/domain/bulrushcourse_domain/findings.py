"""Findings of a check, each with its place in the checked document."""

import typing

import attrs


@attrs.frozen(order=True)
class Finding:
    """One defect of a checked document.

    Attributes:
        place: Path of the defect, such as ``pools[catalog].slots``.
        code: Stable identifier of the kind of defect.
        message: Description of the defect.
        remedy: What a correct value would be, empty if not known.

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
    """Return findings sorted by place, without duplicates.

    Args:
        findings: Findings in any order.

    Examples:
        >>> a, b = Finding('a', 'x', 'bad'), Finding('b', 'x', 'bad')
        >>> [str(f) for f in sort_findings([b, a, b])]
        ['a: bad [x]', 'b: bad [x]']
    """
    return tuple(sorted(set(findings)))
