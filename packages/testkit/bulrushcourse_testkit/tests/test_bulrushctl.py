"""Tests of ``bulrushctl`` against entries that run as processes."""

import asyncio
import json
import os
import signal
import sys

from bulrushcourse_testkit import cluster as clusters
from bulrushcourse_testkit import demo


def with_cluster(scenario):
    """Return a test that runs a scenario with one entry in each region."""

    def test(tmp_path):
        async def run():
            example = clusters.example_objects('filatab')
            names = demo.choose_entries(example)
            async with clusters.Cluster(tmp_path, example, names) as cluster:
                await scenario(cluster)

        asyncio.run(run())

    test.__doc__ = scenario.__doc__
    return test


async def run_ctl(cluster, *arguments, names=None):
    """Run ``bulrushctl`` and return its exit code and output."""
    addresses = ','.join(
        f'{clusters.HOST}:{cluster.entry_ports[name].operators}'
        for name in names or cluster.entry_names
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'bulrushcourse_ctl',
        *map(str, arguments),
        env=os.environ
        | {
            'BULRUSHCTL_ENTRIES': addresses,
            'BULRUSHCTL_TOKEN_FILE': str(cluster.directory / 'token'),
        },
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    return process.returncode, output.decode()


async def save_edited(cluster, in_flight):
    """Write the active configuration with another region limit to a file."""
    code, text = await run_ctl(cluster, 'show')
    assert code == 0, text
    content = json.loads(text)
    for limit in content['objects']['limits']:
        if limit['name'] == 'region-ro-sud':
            limit['in_flight'] = in_flight
    path = cluster.directory / f'edited-{in_flight}.json'
    path.write_text(json.dumps(content))
    return path


@with_cluster
async def test_edit_publish_conflict_and_rollback(cluster):
    """Guards against an edit that cannot be compared, published or undone.

    The second of two edits of the same version must be refused.
    """
    first, second = (
        await save_edited(cluster, 40),
        await save_edited(cluster, 41),
    )
    code, text = await run_ctl(cluster, 'diff', first)
    assert (code, 'limits[region-ro-sud].in_flight: 48 -> 40' in text) == (
        0,
        True,
    ), text
    code, text = await run_ctl(cluster, 'publish', first, '--wait')
    assert code == 0 and 'version 2 is in force' in text, text
    code, text = await run_ctl(cluster, 'publish', second)
    assert code == 1 and '48 -> 40' in text, text
    code, text = await run_ctl(cluster, 'rollback', '1', '--wait', '--json')
    assert (code, json.loads(text)['version']) == (0, 3), text
    code, text = await run_ctl(cluster, 'history', '--json')
    assert [p['version'] for p in json.loads(text)['publications']] == [
        3,
        2,
        1,
    ]


@with_cluster
async def test_bad_input_and_unreachable_have_their_own_codes(cluster):
    """Scripts must distinguish an invalid file, an outage and a refusal."""
    path = await save_edited(cluster, 1)
    code, text = await run_ctl(cluster, 'publish', path)
    assert code == 2 and 'limits[region-ro-sud]' in text, text
    path = await save_edited(cluster, 40)
    await cluster.set_store_faults(down=True)
    code, text = await run_ctl(cluster, 'publish', path)
    assert code == 3 and 'unavailable' in text, text
    cluster.processes[cluster.entry_names[0]].signal(signal.SIGKILL)
    await cluster.processes[cluster.entry_names[0]].wait()
    code, text = await run_ctl(
        cluster, 'status', names=cluster.entry_names[:1]
    )
    assert code == 3, text
    code, text = await run_ctl(cluster, 'status', '--json')
    assert code == 0, text


@with_cluster
async def test_drains_show_in_plans_and_look_ups(cluster):
    """Guards against drains without effect.

    A drained failure domain has a plan; a drained entry is omitted from
    look-up answers.
    """
    code, text = await run_ctl(cluster, 'drain', 'cluj-a', '--wait')
    assert code == 0, text
    code, text = await run_ctl(cluster, 'plan', 'show')
    assert code == 0 and 'drain-cluj-a' in text, text
    code, text = await run_ctl(cluster, 'undrain', 'cluj-a', '--wait')
    assert code == 0, text
    code, text = await run_ctl(cluster, 'undrain', 'cluj-a')
    assert code == 1, text
    drained, other = cluster.entry_names[:2]
    code, text = await run_ctl(cluster, 'drain', names=[drained])
    assert code == 0, text
    code, text = await run_ctl(
        cluster, 'explain', '192.0.2.7', '--json', names=[drained]
    )
    listed = [entry['name'] for entry in json.loads(text)['entries']]
    assert code == 0 and drained not in listed and other in listed, text
    code, text = await run_ctl(cluster, 'dump')
    assert code == 0 and json.loads(text)['process']['drained'], text
