"""Tests for reading configuration files."""

import json

import cappa
import pytest

from bulrushcourse_ctl import documents

OBJECTS = {'places': [{'name': 'a', 'region': 'nord'}]}


def write_file(tmp_path, content):
    path = tmp_path / 'configuration.json'
    path.write_text(json.dumps(content))
    return str(path)


@pytest.mark.parametrize(
    'content, version',
    [(OBJECTS, None), ({'version': 7, 'objects': OBJECTS}, 7)],
)
def test_base_version_is_read_from_the_file(tmp_path, content, version):
    """Without its base version a publish could overwrite a newer one."""
    loaded = documents.read_file(write_file(tmp_path, content))
    assert (loaded.base_version, loaded.findings) == (version, ())
    assert loaded.objects.places[0].name == 'a'


def test_schema_and_semantic_findings_name_the_field(tmp_path):
    """Guards against findings that do not locate the defect."""
    entry = {'name': 'e', 'place': 'b'}
    for content, place in (
        ({'places': [{'name': 'a'}]}, 'places[a].region'),
        (OBJECTS | {'entries': [entry]}, 'entries[e].place'),
    ):
        loaded = documents.read_file(write_file(tmp_path, content))
        assert [finding.place for finding in loaded.findings] == [place]


def test_missing_file_is_bad_input(tmp_path):
    """Guards against a wrong path reported as an unreachable entry."""
    with pytest.raises(cappa.Exit) as caught:
        documents.read_file(str(tmp_path / 'none.json'))
    assert caught.value.code == 2
