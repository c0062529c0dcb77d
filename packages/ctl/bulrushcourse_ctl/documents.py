"""Configuration files that operators edit."""

import json
import pathlib
import typing

import attrs
from returns import result

from bulrushcourse_ctl import exits
from bulrushcourse_domain import findings as found_defects
from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_domain.configuration import objects
from bulrushcourse_wire import documents


@attrs.frozen
class ConfigurationFile:
    """A file with a configuration.

    Attributes:
        path: Its path.
        base_version: Version that it was made from, ``None`` if the file
            does not tell.
        objects: The objects, of the right form, perhaps with findings.
        findings: Findings against it.
    """

    path: str
    base_version: int | None = None
    objects: typing.Any = None
    findings: tuple[found_defects.Finding, ...] = ()


def read_file(path: str) -> ConfigurationFile:
    """Return the configuration in a file with all findings against it.

    The file has the objects alone, or ``{"version": N, "objects": {...}}`` as
    ``bulrushctl show`` prints it.

    Args:
        path: Path of the JSON file.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        exits.fail(exits.ExitCode.BAD_INPUT, f'{path}: {error}')
    version, text = _split_version(text)
    parsed = documents.parse_document(text, objects.Objects)
    if isinstance(parsed, result.Failure):
        return ConfigurationFile(path, version, None, parsed.failure())
    found = configuration_set.check_configuration(
        (version or 0) + 1, parsed.unwrap()
    )
    return ConfigurationFile(
        path,
        version,
        parsed.unwrap(),
        found.failure() if isinstance(found, result.Failure) else (),
    )


def _split_version(text: str) -> tuple[int | None, str]:
    try:
        content = json.loads(text)
    except ValueError:
        return None, text
    if isinstance(content, dict) and set(content) == {'version', 'objects'}:
        version = content['version']
        if isinstance(version, int):
            return version, json.dumps(content['objects'])
    return None, text


def parse_objects(content: typing.Any) -> objects.Objects:
    """Return the objects that an entry sent.

    Args:
        content: JSON value.
    """
    return documents.parse_document(
        json.dumps(content), objects.Objects
    ).unwrap()


def unstructure(value: objects.Objects) -> typing.Any:
    """Return objects as a JSON value.

    Args:
        value: The objects.
    """
    return json.loads(documents.render_document(value))
