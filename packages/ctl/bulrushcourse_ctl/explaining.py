"""Command that explains where a request would go now."""

import typing
import urllib.parse

import attrs
import cappa

from bulrushcourse_ctl import client
from bulrushcourse_ctl import exits
from bulrushcourse_ctl import options
from bulrushcourse_ctl import tables


def explain_request(command: 'ExplainRequest') -> None:
    """Print where a request would go from each VM, without sending it.

    Args:
        command: Parsed arguments.
    """
    addresses = options.split_addresses(command.vm)
    if not addresses:
        exits.fail(exits.ExitCode.BAD_INPUT, 'no VM given: use --vm')
    query = urllib.parse.urlencode(
        {
            'host': command.host,
            'path': command.path,
            'object': command.object,
            'account': command.account,
        }
    )
    # The metrics listener needs no token.
    explained = [
        client.OperatorsClient((address,), '').fetch(f'/explain?{query}')
        for address in addresses
    ]
    if command.json:
        options.print_json(explained)
        return
    for answer in explained:
        _print_answer(answer)


def _print_answer(answer: typing.Mapping[str, typing.Any]) -> None:
    print(
        f'{answer["vm"]}: configuration {answer["configuration"]}, upstreams'
        f' read {answer["upstreams_age_s"]} s ago'
    )
    if 'destinations' not in answer:
        print(f'refused with {answer["status"]}: {answer["verdict"]}')
        return
    account = answer.get('account')
    if account:
        print(
            f'account {account["name"]}: quota {account["quota_per_s"]}/s,'
            f' keys proven {account["key_proof_age_s"]} s ago'
        )
    tables.print_table(
        (
            'service',
            'region',
            'share',
            'verdict',
            'upstream',
            'expected (ms)',
            'work (ms)',
            'affinity',
            'in flight',
            'slowness',
            'its age (s)',
        ),
        [
            (
                destination['service'],
                destination['region'] or 'none',
                destination['share'],
                destination['verdict'] if position == 0 else '',
                candidate['upstream'],
                candidate['expected_ms'],
                candidate['work_ms'],
                candidate['affinity'],
                f'{candidate["in_flight"]}/{candidate["slots"]}',
                candidate['slowness'],
                candidate['slowness_age_s'],
            )
            for destination in answer['destinations']
            for position, candidate in enumerate(
                destination['candidates'] or [_NO_CANDIDATE]
            )
        ],
    )
    for destination in answer['destinations']:
        if destination.get('withheld'):
            print(
                f'no proof of the address in {destination["region"] or "any"}'
                f' region: {", ".join(destination["withheld"])}'
            )


_NO_CANDIDATE: typing.Mapping[str, typing.Any] = {
    'upstream': 'none',
    'expected_ms': '',
    'work_ms': '',
    'affinity': '',
    'in_flight': 0,
    'slots': 0,
    'slowness': '',
    'slowness_age_s': '',
}


@cappa.command(
    name='explain-request',
    invoke=explain_request,
    help='Print where a request would go now, without sending it.',
    description='Example: bulrushctl explain-request shop.example /browse/7'
    ' --vm 10.1.0.5:9180,10.2.0.6:9180 --object 7 --account acme',
)
@attrs.define(kw_only=True)
class ExplainRequest:
    """Arguments of ``explain-request``.

    Attributes:
        host: Host name in the request.
        path: Its path.
        vm: Comma-separated addresses of metrics listeners.
        object: Affinity object, empty for none.
        account: Name of the client account, never its key.
        json: Whether to print JSON instead of tables.
    """

    host: typing.Annotated[str, cappa.Arg(help='Host name in the request.')]
    path: typing.Annotated[str, cappa.Arg(help='Path of the request.')]
    vm: typing.Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env('BULRUSHCTL_VMS', default=''),
            help='Metrics listeners, "ip:port,ip:port".',
        ),
    ] = ''
    object: typing.Annotated[
        str,
        cappa.Arg(
            long=True, default='', help='Affinity object of the request.'
        ),
    ] = ''
    account: typing.Annotated[
        str,
        cappa.Arg(long=True, default='', help='Name of the client account.'),
    ] = ''
    json: typing.Annotated[
        bool, cappa.Arg(long=True, help='Print JSON instead of tables.')
    ] = False
