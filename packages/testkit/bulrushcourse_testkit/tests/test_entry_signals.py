"""Guards against signals that end the entry while it starts or ends."""

import json
import os
import signal
import subprocess
import sys
import time

import pytest

from bulrushcourse_testkit import ports

TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.01


@pytest.fixture
def settings(tmp_path):
    secret = tmp_path / 'secret'
    secret.write_text('s3cret')
    reserved = ports.reserve_ports(4)
    callers, operators, peers, absent = (
        f'127.0.0.1:{port}' for port in reserved.ports
    )
    # Nothing listens there; the entry starts without its platform.
    url = f'http://{absent}'
    yield {
        'entry': 'entry-1',
        'vm_id': 'vm-1',
        'region': 'ro-nord',
        'failure_domain': 'cluj-a',
        'listen': {
            'callers': callers,
            'operators': operators,
            'peers': peers,
        },
        'platform': {'table': url, 'objects': url, 'vms': url},
        'peer_secret_file': str(secret),
        'operator_token_file': str(secret),
        'answer_max_age_s': 1,
        'stop_limit_s': 1,
    }
    reserved.close()


def wait_until(condition):
    until = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < until
        time.sleep(POLL_INTERVAL_S)


@pytest.fixture
def started(tmp_path):
    """Start entries, which are killed after the test."""
    processes = []

    def start(path):
        with (tmp_path / 'log').open('wb') as log:
            processes.append(
                subprocess.Popen(
                    [
                        sys.executable,
                        '-m',
                        'bulrushcourse_entry',
                        'run',
                        '--settings',
                        str(path),
                    ],
                    stderr=log,
                )
            )
        return processes[-1]

    yield start
    for process in processes:
        process.kill()
        process.wait()


def open_pipe(path):
    """Open a pipe for writing once it is open for reading, else return 0."""
    try:
        return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
    except OSError:
        return 0


@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT])
def test_signal_during_the_start_begins_a_planned_stop(
    tmp_path, settings, started, number
):
    path = tmp_path / 's.json'
    os.mkfifo(path)
    process = started(path)
    pipes = []
    wait_until(lambda: pipes.append(open_pipe(path)) or pipes[-1])
    process.send_signal(number)
    os.write(pipes[-1], json.dumps(settings).encode())
    os.close(pipes[-1])
    assert process.wait(TIMEOUT_S) == 0
    assert 'stopped' in (tmp_path / 'log').read_text()


@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT])
def test_signals_until_the_end_of_a_stop_change_nothing(
    tmp_path, settings, started, number
):
    path = tmp_path / 's.json'
    path.write_text(json.dumps(settings))
    process = started(path)
    wait_until(lambda: 'started' in (tmp_path / 'log').read_text())
    while process.poll() is None:
        process.send_signal(number)
        time.sleep(POLL_INTERVAL_S)
    assert process.returncode == 0
    assert 'stopped' in (tmp_path / 'log').read_text()
