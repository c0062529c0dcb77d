"""Differences between two configurations."""

import enum
import typing

import attrs

from bulrushcourse_domain.configuration import check
from bulrushcourse_domain.configuration import objects


class ChangeKind(enum.Enum):
    """Kind of change of an object or a field."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


@attrs.frozen
class Change:
    """One changed object or field.

    Attributes:
        place: Path of the object or field, such as ``pools[catalog].slots``.
        kind: Kind of change.
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
    """Return the differences of two configurations, by kind and name.

    Objects are matched by name; their order is not compared.

    Args:
        before: The earlier configuration.
        after: The later configuration.

    Examples:
        >>> old = objects.Objects((objects.Place('cluj-a', 'nord'),))
        >>> new = objects.Objects((objects.Place('cluj-a', 'sud'),))
        >>> [str(change) for change in list_changes(old, new)]
        ["places[cluj-a].region: 'nord' -> 'sud'"]
    """
    return tuple(
        change
        for kind in check.KINDS
        for change in _compare_members(
            kind, getattr(before, kind), getattr(after, kind)
        )
    )


def _compare_members(
    path: str,
    before: typing.Iterable[typing.Any],
    after: typing.Iterable[typing.Any],
) -> typing.Iterator[Change]:
    old = {member.name: member for member in before}
    new = {member.name: member for member in after}
    for name in sorted(old.keys() | new.keys()):
        place = f'{path}[{name}]'
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
        path = f'{place}.{field.name}'
        before, after = getattr(old, field.name), getattr(new, field.name)
        if field.name == 'instances':
            yield from _compare_members(path, before, after)
        elif before != after:
            yield Change(
                path,
                ChangeKind.CHANGED,
                _format_value(before),
                _format_value(after),
            )


def _format_value(value: typing.Any) -> str:
    return repr(value.value if isinstance(value, enum.Enum) else value)
