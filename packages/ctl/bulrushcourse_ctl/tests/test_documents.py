"""Tests of configuration files."""

import json

import cappa
import pytest

from bulrushcourse_ctl import documents

CONTENT = {'places': [{'name': 'a', 'region': 'nord'}]}


def write(tmp_path, content):
    path = tmp_path / 'configuration.json'
    path.write_text(json.dumps(content))
    return str(path)


@pytest.mark.parametrize(
    'content, version',
    [(CONTENT, None), ({'version': 7, 'objects': CONTENT}, 7)],
)
def test_base_version_is_read_from_the_file(tmp_path, content, version):
    """A file that lost its version would overwrite another's publish."""
    read = documents.read_file(write(tmp_path, content))
    assert (read.base_version, read.findings) == (version, ())
    assert read.objects.places[0].name == 'a'


def test_findings_of_form_and_content_name_the_field(tmp_path):
    """An operator must see where a defect is, not only that there is one."""
    entry = {'name': 'e', 'place': 'b'}
    for content, place in (
        ({'places': [{'name': 'a'}]}, 'places[a].region'),
        (CONTENT | {'entries': [entry]}, 'entries[e].place'),
    ):
        read = documents.read_file(write(tmp_path, content))
        assert [found.place for found in read.findings] == [place]


def test_missing_file_is_bad_input(tmp_path):
    """A wrong path must not look like an entry that cannot be reached."""
    with pytest.raises(cappa.Exit) as caught:
        documents.read_file(str(tmp_path / 'none.json'))
    assert caught.value.code == 2
