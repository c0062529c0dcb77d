"""Commands that drain places or an entry and show plans."""

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
    """Plan the drain of a place, or take an entry out of answers.

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
    _edit_plans(command, lambda plans: (*plans, plan), f'{plan.name}: start')


def undrain(command: 'Undrain') -> None:
    """Remove the drains of a place, or name an entry in answers again.

    Args:
        command: Parsed arguments.
    """
    if not command.place:
        _set_drained(command, '/v1/undrain')
        return

    def remove(plans: tuple[objects.Plan, ...]) -> tuple[objects.Plan, ...]:
        kept = tuple(
            plan
            for plan in plans
            if plan.kind is not objects.PlanKind.DRAIN
            or plan.source != command.place
        )
        if kept == plans:
            exits.fail(
                exits.ExitCode.REFUSED, f'{command.place} is not drained'
            )
        return kept

    _edit_plans(command, remove, f'drain-{command.place}: end')


def _set_drained(command: options.Connection, path: str) -> None:
    addresses = options.split_addresses(command.entry)
    if len(addresses) != 1:
        exits.fail(
            exits.ExitCode.BAD_INPUT,
            'name a place, or exactly one entry with --entry',
        )
    answer = command.open().call('POST', path)
    if not answer.is_done:
        exits.fail(exits.ExitCode.REFUSED, f'status {answer.status}')
    if command.json:
        options.print_json(answer.body)
    else:
        named = 'not named' if answer.body['drained'] else 'named'
        print(f'{addresses[0]} is {named} in look-up answers')


def _edit_plans(
    command: 'Drain | Undrain',
    edit: typing.Callable[
        [tuple[objects.Plan, ...]], tuple[objects.Plan, ...]
    ],
    note: str,
) -> None:
    """Publish the configuration in force with other plans."""
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
    """Print the plans of the configuration in force.

    Args:
        command: Parsed arguments.
    """
    entry = command.open()
    current = entry.fetch('/v1/configuration')
    progress = entry.fetch('/v1/plans')
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
            'time',
            'progress',
        ),
        [
            (
                plan['name'],
                plan['kind'],
                plan['source'],
                plan['target'],
                plan['finish_by'],
                describe_time(plan['start'], plan['finish_by'], now),
                describe_progress(progress.get(plan['name'])),
            )
            for plan in plans
        ],
        f'plans of version {current["version"]}',
    )


def describe_progress(found: dict[str, typing.Any] | None) -> str:
    """Return how a plan stands at the entry that was asked.

    Args:
        found: State, moved part and report; ``None`` for a drain of a failure
            domain, which has no steps.

    Examples:
        >>> describe_progress({'state': 'ramping', 'part': 0.25, 'report': ''})
        'ramping, 25% moved'
    """
    if found is None:
        return 'at once'
    report = f': {found["report"]}' if found['report'] else ''
    return f'{found["state"]}, {found["part"]:.0%} moved{report}'


def describe_time(start: str, finish_by: str, now: datetime.datetime) -> str:
    """Return whether a time is before, within or after a plan's window.

    Args:
        start: ISO 8601 time.
        finish_by: ISO 8601 time.
        now: The time.

    Examples:
        >>> noon = datetime.datetime(2026, 12, 4, 12, tzinfo=datetime.UTC)
        >>> describe_time('2026-12-04T13:00Z', '2026-12-04T14:00Z', noon)
        'not started'
    """
    if now < datetime.datetime.fromisoformat(start):
        return 'not started'
    if now < datetime.datetime.fromisoformat(finish_by):
        return 'within its time'
    return 'past its time'


PlaceArgument = typing.Annotated[
    str | None,
    cappa.Arg(
        help='Failure domain or region; without it the one entry given with '
        '--entry.'
    ),
]


@cappa.command(
    name='drain',
    invoke=drain,
    help='Drain a place by a plan, or take one entry out of look-ups.',
    description='Examples: bulrushctl drain cluj-a --within-min 30; '
    'bulrushctl drain --entry 10.0.0.1:9002',
)
@attrs.define(kw_only=True)
class Drain(publishing.Publishing):
    """Arguments of ``drain``.

    Attributes:
        place: Failure domain or region, ``None`` for an entry.
        within_min: Time for the drain, in minutes.
    """

    place: PlaceArgument = None
    within_min: typing.Annotated[
        float, cappa.Arg(long=True, help='Time for the drain, in minutes.')
    ] = 30.0


@cappa.command(
    name='undrain',
    invoke=undrain,
    help='End the drain of a place or of one entry.',
    description='Example: bulrushctl undrain cluj-a',
)
@attrs.define(kw_only=True)
class Undrain(publishing.Publishing):
    """Arguments of ``undrain``.

    Attributes:
        place: Failure domain or region, ``None`` for an entry.
    """

    place: PlaceArgument = None


@cappa.command(
    name='show',
    invoke=show_plans,
    help='Show the plans of the configuration in force.',
    description='Example: bulrushctl plan show',
)
@attrs.define(kw_only=True)
class PlanShow(options.Connection):
    """Arguments of ``plan show``."""


@cappa.command(name='plan', help='Work with plans.')
@attrs.define
class Plan:
    """The group ``plan``.

    Attributes:
        command: The chosen command.
    """

    command: cappa.Subcommands[PlanShow]
