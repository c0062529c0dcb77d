"""Tables for people."""

import typing

import rich.box
import rich.console
import rich.table

# Names in output that is piped to other tools must not be folded.
PIPE_COLUMNS = 400


def print_table(
    columns: typing.Sequence[str],
    rows: typing.Iterable[typing.Sequence[typing.Any]],
    title: str = '',
) -> None:
    """Print a table.

    Args:
        columns: Heads of the columns.
        rows: Cells of each row; they are printed as they are.
        title: Line above the table.
    """
    console = rich.console.Console(markup=False, highlight=False)
    if not console.is_terminal:
        console = rich.console.Console(
            markup=False, highlight=False, width=PIPE_COLUMNS
        )
    table = rich.table.Table(box=rich.box.SIMPLE, pad_edge=False)
    for column in columns:
        table.add_column(column, overflow='fold')
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    if title:
        console.print(title)
    console.print(table)


def print_findings(
    path: str, findings: typing.Iterable[typing.Mapping[str, str]]
) -> None:
    """Print findings with the file, object and field of each.

    Args:
        path: The checked file.
        findings: Findings with ``place``, ``message`` and ``remedy``.
    """
    rows = []
    for found in findings:
        label, field = split_place(found['place'])
        rows.append((path, label, field, found['message'], found['remedy']))
    print_table(('file', 'object', 'field', 'finding', 'remedy'), rows)


def split_place(place: str) -> tuple[str, str]:
    """Return object and field of a finding's place.

    Args:
        place: Such as ``pools[catalog].slots``.

    Examples:
        >>> split_place('pools[a].instances[a.1].address')
        ('pools[a].instances[a.1]', 'address')
        >>> split_place('entries')
        ('entries', '')
    """
    head, bracket, field = place.rpartition(']')
    if not bracket:
        return place, ''
    return head + bracket, field.removeprefix('.')
