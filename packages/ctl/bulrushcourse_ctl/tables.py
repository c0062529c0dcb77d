"""Prints tables for human readers."""

import typing

import rich.box
import rich.console
import rich.table

# Wide enough that names are not folded in output that is piped to other tools.
PIPE_WIDTH_COLUMNS = 400


def print_table(
    columns: typing.Sequence[str],
    rows: typing.Iterable[typing.Sequence[typing.Any]],
    title: str = '',
) -> None:
    """Print a table.

    Args:
        columns: Column headings.
        rows: Cells of each row, printed without markup.
        title: Line above the table.
    """
    console = rich.console.Console(markup=False, highlight=False)
    if not console.is_terminal:
        console = rich.console.Console(
            markup=False, highlight=False, width=PIPE_WIDTH_COLUMNS
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
    """Print findings as a table with file, object and field.

    Args:
        path: File that was validated.
        findings: Findings with ``place``, ``message`` and ``remedy``.
    """
    rows = []
    for finding in findings:
        label, field = split_place(finding['place'])
        rows.append(
            (path, label, field, finding['message'], finding['remedy'])
        )
    print_table(('file', 'object', 'field', 'finding', 'remedy'), rows)


def split_place(place: str) -> tuple[str, str]:
    """Split the location of a finding into object and field.

    Args:
        place: Location, such as ``pools[catalog].slots``.

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
