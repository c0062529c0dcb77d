"""Commands that drain failure domains, regions or entries and show plans."""

import datetime
import typing

import attrs
import cappa

from bulrushcourse_ctl import documents
from bulrushcourse_ctl import exits
from bulrushcourse_ctl import options
from bulrushcourse_ctl import publishing
from bulrushcourse_ctl import tables
from bulrushcourse_domain.configuration import objects


def drain(command: 'Drain') -> None:
    """Publish a drain plan, or remove an entry from look-up answers.

    Args:
        command: Parsed arguments.
    """
    if not command.place:
        _set_drained(command, '/v1/drain')
        return
    now = datetime.datetime.now(datetime.UTC).replace(microsecond=0)
    plan = objects.Plan(
        f'drain-{command.place}',
        objects.PlanKind.DRAIN,
        command.place,
        now.isoformat(),
        (now + datetime.timedelta(minutes=command.within_min)).isoformat(),
    )
    _publish_plans(
        command, lambda plans: (*plans, plan), f'{plan.name}: start'
    )


def undrain(command: 'Undrain') -> None:
    """Remove drain plans, or return an entry to look-up answers.

    Args:
        command: Parsed arguments.
    """
    if not command.place:
        _set_drained(command, '/v1/undrain')
        return

    def remove(plans: tuple[objects.Plan, ...]) -> tuple[objects.Plan, ...]:
        remaining = tuple(
            plan
            for plan in plans
            if plan.kind is not objects.PlanKind.DRAIN
            or plan.source != command.place
        )
        if remaining == plans:
            exits.fail(
                exits.ExitCode.REFUSED, f'{command.place} is not drained'
            )
        return remaining

    _publish_plans(command, remove, f'drain-{command.place}: end')


def _set_drained(command: options.Connection, path: str) -> None:
    addresses = options.split_addresses(command.entry)
    if len(addresses) != 1:
        exits.fail(
            exits.ExitCode.BAD_INPUT,
            'give a failure domain, a region, or exactly one entry with '
            '--entry',
        )
    response = command.open().request('POST', path)
    if not response.is_success:
        exits.fail(exits.ExitCode.REFUSED, f'status {response.status}')
    if command.json:
        options.print_json(response.body)
    else:
        listed = 'omitted from' if response.body['drained'] else 'included in'
        print(f'{addresses[0]} is {listed} look-up answers')


def _publish_plans(
    command: 'Drain | Undrain',
    edit: typing.Callable[
        [tuple[objects.Plan, ...]], tuple[objects.Plan, ...]
    ],
    note: str,
) -> None:
    """Publish the active configuration with edited plans."""
    current = command.open().fetch('/v1/configuration')
    before = documents.parse_objects(current['objects'])
    after = attrs.evolve(before, plans=edit(before.plans))
    base = current['version'] if command.base is None else command.base
    body = {
        'base_version': base,
        'objects': documents.unstructure(after),
        'note': note,
    }
    publishing.send(command, '/v1/configuration', body)


def show_plans(command: 'PlanShow') -> None:
    """Print the plans of the active configuration.

    Args:
        command: Parsed arguments.
    """
    entry_client = command.open()
    current = entry_client.fetch('/v1/configuration')
    progress = entry_client.fetch('/v1/plans')
    plans = current['objects']['plans']
    if command.json:
        options.print_json(
            {
                'version': current['version'],
                'plans': plans,
                'progress': progress,
            }
        )
        return
    now = datetime.datetime.now(datetime.UTC)
    tables.print_table(
        (
            'plan',
            'kind',
            'source',
            'target',
            'finish by',
            'window',
            'progress',
        ),
        [
            (
                plan['name'],
                plan['kind'],
                plan['source'],
                plan['target'],
                plan['finish_by'],
                describe_window(plan['start'], plan['finish_by'], now),
                describe_progress(progress.get(plan['name'])),
            )
            for plan in plans
        ],
        f'plans of version {current["version"]}',
    )


def describe_progress(progress: dict[str, typing.Any] | None) -> str:
    """Return the progress of a plan at the entry that was queried.

    Args:
        progress: State, moved share and report; ``None`` for a drain of a
            failure domain, which takes effect in one step.

    Examples:
        >>> describe_progress({'state': 'ramping', 'part': 0.25, 'report': ''})
        'ramping, 25% moved'
    """
    if progress is None:
        return 'immediate'
    report = f': {progress["report"]}' if progress['report'] else ''
    return f'{progress["state"]}, {progress["part"]:.0%} moved{report}'


def describe_window(start: str, finish_by: str, now: datetime.datetime) -> str:
    """Return whether a time is before, within or after the window of a plan.

    Args:
        start: Start of the window, ISO 8601.
        finish_by: End of the window, ISO 8601.
        now: Time to classify.

    Examples:
        >>> noon = datetime.datetime(2026, 12, 4, 12, tzinfo=datetime.UTC)
        >>> describe_window('2026-12-04T13:00Z', '2026-12-04T14:00Z', noon)
        'not started'
    """
    if now < datetime.datetime.fromisoformat(start):
        return 'not started'
    if now < datetime.datetime.fromisoformat(finish_by):
        return 'within its window'
    return 'past its window'


PlaceArgument = typing.Annotated[
    str | None,
    cappa.Arg(
        help='Failure domain or region; default: the one entry given with '
        '--entry.'
    ),
]


@cappa.command(
    name='drain',
    invoke=drain,
    help='Drain a failure domain or region, or omit an entry from look-ups.',
    description='Examples: bulrushctl drain cluj-a --within-min 30; '
    'bulrushctl drain --entry 10.0.0.1:9002',
)
@attrs.define(kw_only=True)
class Drain(publishing.Publishing):
    """Arguments of ``drain``.

    Attributes:
        place: Failure domain or region, ``None`` to act on an entry.
        within_min: Length of the drain window, in minutes.
    """

    place: PlaceArgument = None
    within_min: typing.Annotated[
        float, cappa.Arg(long=True, help='Length of the drain, in minutes.')
    ] = 30.0


@cappa.command(
    name='undrain',
    invoke=undrain,
    help='End the drain of a failure domain, a region or an entry.',
    description='Example: bulrushctl undrain cluj-a',
)
@attrs.define(kw_only=True)
class Undrain(publishing.Publishing):
    """Arguments of ``undrain``.

    Attributes:
        place: Failure domain or region, ``None`` to act on an entry.
    """

    place: PlaceArgument = None


@cappa.command(
    name='show',
    invoke=show_plans,
    help='Print the plans of the configuration in force.',
    description='Example: bulrushctl plan show',
)
@attrs.define(kw_only=True)
class PlanShow(options.Connection):
    """Arguments of ``plan show``."""


@cappa.command(name='plan', help='Inspect plans.')
@attrs.define
class Plan:
    """Subcommands of ``plan``.

    Attributes:
        command: Selected subcommand.
    """

    command: cappa.Subcommands[PlanShow]
