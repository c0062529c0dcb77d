"""Reads configuration files and converts configurations to and from JSON."""

import json
import pathlib
import typing

import attrs
from returns import result

from bulrushcourse_ctl import exits
from bulrushcourse_domain import findings as domain_findings
from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_domain.configuration import objects
from bulrushcourse_wire import documents


@attrs.frozen
class ConfigurationFile:
    """A configuration file and the result of its validation.

    Attributes:
        path: Path of the file.
        base_version: Version that the file is based on, ``None`` if the file
            does not state it.
        objects: Parsed objects, which may have findings; ``None`` if the file
            does not match the schema.
        findings: Validation findings.
    """

    path: str
    base_version: int | None = None
    objects: typing.Any = None
    findings: tuple[domain_findings.Finding, ...] = ()


def read_file(path: str) -> ConfigurationFile:
    """Parse and validate a configuration file.

    The file contains either the objects alone or
    ``{"version": N, "objects": {...}}``, as ``bulrushctl show`` prints it.

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
    checked = configuration_set.check_configuration(
        (version or 0) + 1, parsed.unwrap()
    )
    return ConfigurationFile(
        path,
        version,
        parsed.unwrap(),
        checked.failure() if isinstance(checked, result.Failure) else (),
    )


def _split_version(text: str) -> tuple[int | None, str]:
    try:
        content = json.loads(text)
    except (RecursionError, ValueError):
        return None, text
    if isinstance(content, dict) and set(content) == {'version', 'objects'}:
        version = content['version']
        if isinstance(version, int):
            return version, json.dumps(content['objects'])
    return None, text


def parse_objects(content: typing.Any) -> objects.Objects:
    """Return the objects of a configuration that an entry returned.

    Args:
        content: Decoded JSON value.
    """
    return documents.parse_document(
        json.dumps(content), objects.Objects
    ).unwrap()


def unstructure(value: objects.Objects) -> typing.Any:
    """Return objects as a value that can be encoded as JSON.

    Args:
        value: Objects of a configuration.
    """
    return json.loads(documents.render_document(value))
