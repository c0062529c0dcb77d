"""Differences between two sets of objects."""

import enum
import typing

import attrs

from bulrushcourse_domain.configuration import check
from bulrushcourse_domain.configuration import objects


class ChangeKind(enum.Enum):
    """What happened to an object or a field."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


@attrs.frozen
class Change:
    """One difference.

    Attributes:
        place: Object or field, such as ``pools[catalog].slots``.
        kind: What happened to it.
        before: Earlier value of a changed field.
        after: Later value of a changed field.
    """

    place: str
    kind: ChangeKind
    before: str = ''
    after: str = ''

    def __str__(self) -> str:
        if self.kind is ChangeKind.CHANGED:
            return f'{self.place}: {self.before} -> {self.after}'
        return f'{self.place}: {self.kind.value}'


def list_changes(
    before: objects.Objects, after: objects.Objects
) -> tuple[Change, ...]:
    """Return the differences of two sets, ordered by kind and name.

    The order of objects within a set means nothing and is not compared.

    Args:
        before: The earlier set.
        after: The later set.

    Examples:
        >>> old = objects.Objects((objects.Place('cluj-a', 'nord'),))
        >>> new = objects.Objects((objects.Place('cluj-a', 'sud'),))
        >>> [str(change) for change in list_changes(old, new)]
        ["places[cluj-a].region: 'nord' -> 'sud'"]
    """
    return tuple(
        change
        for kind in check.KINDS
        for change in _compare(
            kind, getattr(before, kind), getattr(after, kind)
        )
    )


def _compare(
    label: str,
    before: typing.Iterable[typing.Any],
    after: typing.Iterable[typing.Any],
) -> typing.Iterator[Change]:
    old = {found.name: found for found in before}
    new = {found.name: found for found in after}
    for name in sorted(old.keys() | new.keys()):
        place = f'{label}[{name}]'
        if name not in new:
            yield Change(place, ChangeKind.REMOVED)
        elif name not in old:
            yield Change(place, ChangeKind.ADDED)
        else:
            yield from _compare_fields(place, old[name], new[name])


def _compare_fields(
    place: str, old: typing.Any, new: typing.Any
) -> typing.Iterator[Change]:
    for field in attrs.fields(type(new)):
        label = f'{place}.{field.name}'
        before, after = getattr(old, field.name), getattr(new, field.name)
        if field.name == 'instances':
            yield from _compare(label, before, after)
        elif before != after:
            yield Change(
                label, ChangeKind.CHANGED, _text(before), _text(after)
            )


def _text(value: typing.Any) -> str:
    return repr(value.value if isinstance(value, enum.Enum) else value)
