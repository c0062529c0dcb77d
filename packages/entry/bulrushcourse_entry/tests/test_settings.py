"""Guards against invalid settings that fail only after the start."""

import json
import pathlib
import subprocess
import sys

import pytest

from bulrushcourse_entry import settings as entry_settings


@pytest.fixture
def settings_fields(tmp_path: pathlib.Path) -> dict:
    secret = tmp_path / 'secret'
    secret.write_text('s3cret')
    return {
        'entry': 'entry-1',
        'vm_id': 'vm-1',
        'region': 'ro-nord',
        'failure_domain': 'cluj-a',
        'listen': {
            'callers': '127.0.0.1:80',
            'operators': '127.0.0.1:81',
            'peers': '127.0.0.1:82',
        },
        'platform': {'table': 'http://a', 'objects': 'b', 'vms': 'c'},
        'peer_secret_file': str(secret),
        'operator_token_file': str(secret),
    }


def load(path: pathlib.Path, fields: dict):
    path.write_text(json.dumps(fields))
    return entry_settings.load_settings(str(path))


def test_valid_settings_have_no_findings(tmp_path, settings_fields):
    loaded = load(tmp_path / 's.json', settings_fields)
    assert loaded.unwrap().entry == 'entry-1'


def test_all_findings_are_reported_together(tmp_path, settings_fields):
    settings_fields['listen']['callers'] = 'nowhere'
    settings_fields['answer_max_age_s'] = 0
    settings_fields['log_level'] = 'loud'
    settings_fields['operator_token_file'] = str(tmp_path / 'missing')
    found = load(tmp_path / 's.json', settings_fields).failure()
    assert [f.place for f in found] == [
        'answer_max_age_s',
        'listen.callers',
        'log_level',
        'operator_token_file',
    ]


@pytest.mark.parametrize(
    ('change', 'place'),
    [
        ({'colour': 'red'}, 'colour'),
        ({'stop_limit_s': '60'}, 'stop_limit_s'),
        ({'listen': {'callers': 'a:1'}}, 'listen.operators'),
    ],
)
def test_malformed_field_is_named(tmp_path, settings_fields, change, place):
    found = load(tmp_path / 's.json', settings_fields | change).failure()
    assert place in [f.place for f in found]


@pytest.mark.parametrize('content', [b'{', b'[]', b'\xff\xfe', b''])
def test_unreadable_file_gives_exit_code_2_and_no_traceback(tmp_path, content):
    path = tmp_path / 's.json'
    path.write_bytes(content)
    done = subprocess.run(
        [
            sys.executable,
            '-m',
            'bulrushcourse_entry',
            'check-settings',
            str(path),
        ],
        capture_output=True,
        text=True,
    )
    assert done.returncode == 2
    assert 'Traceback' not in done.stderr
    assert str(path) in done.stderr
