"""JSON documents of configurations and settings."""

import enum
import json
import typing

import attrs
import cattrs
from cattrs.preconf import json as json_converter
from returns import result

from bulrushcourse_domain import findings
from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_domain.configuration import objects

T = typing.TypeVar('T')

_CONVERTER = json_converter.make_converter(
    forbid_extra_keys=True, detailed_validation=True
)

_SCALARS = (int, float, str, bool)

_JSON_TYPES = {
    type(None): 'null',
    bool: 'a boolean',
    int: 'an integer',
    float: 'a fractional number',
    str: 'a string',
    list: 'a list',
    dict: 'an object',
}


def _check_scalar(value: typing.Any, expected: type) -> typing.Any:
    allowed = (int, float) if expected is float else (expected,)
    # ``_describe_mismatch`` builds the message of the finding.
    if isinstance(value, bool) and expected is not bool:
        raise TypeError
    if not isinstance(value, allowed):
        raise TypeError
    return expected(value)


for _scalar in _SCALARS:
    _CONVERTER.register_structure_hook(_scalar, _check_scalar)


def parse_document(
    text: str, cls: type[T]
) -> result.Result[T, tuple[findings.Finding, ...]]:
    """Return the object in a JSON text, or all findings if it is malformed.

    Args:
        text: JSON text.
        cls: attrs class of the whole document.

    Examples:
        >>> parse_document('{"places": 3}', objects.Objects).failure()[0].place
        'places'
    """
    try:
        content = json.loads(text)
    except (RecursionError, ValueError) as error:
        return result.Failure(
            (
                findings.Finding(
                    'document', 'json', _describe_syntax_error(error), 'JSON'
                ),
            )
        )
    if not isinstance(content, dict):
        return result.Failure(
            (
                findings.Finding(
                    'document', 'type', 'is not an object', 'object'
                ),
            )
        )
    try:
        return result.Success(_CONVERTER.structure(content, cls))
    except Exception as error:
        # cattrs raises groups of arbitrary errors; each leaf is one finding.
        return result.Failure(
            findings.sort_findings(_list_errors(error, '', content, cls))
        )


def render_document(value: attrs.AttrsInstance) -> str:
    """Return the JSON text of an attrs object, keys in a fixed order.

    Args:
        value: Configuration objects, settings or another attrs object.

    Examples:
        >>> render_document(objects.Entry('entry-1', 'cluj-a'))
        '{"name": "entry-1", "place": "cluj-a"}'
    """
    return json.dumps(_CONVERTER.unstructure(value), sort_keys=True)


def parse_configuration(
    version: int, text: str
) -> result.Result[
    configuration_set.ConfigurationSet, tuple[findings.Finding, ...]
]:
    """Return the checked configuration in a JSON text, or all findings.

    Args:
        version: Version of the configuration.
        text: JSON text of the objects.
    """
    return parse_document(text, objects.Objects).bind(
        lambda parsed: configuration_set.check_configuration(version, parsed)
    )


def _list_errors(
    error: BaseException,
    place: str,
    content: typing.Any,
    expected: typing.Any,
) -> typing.Iterator[findings.Finding]:
    if isinstance(error, cattrs.IterableValidationError):
        annotated, others = error.group_exceptions()
        for inner, note in annotated:
            child = _child(content, note.index)
            name = child.get('name') if isinstance(child, dict) else None
            label = f'{place}[{name or note.index}]'
            yield from _list_errors(inner, label, child, note.type)
        for inner in others:
            yield from _list_errors(inner, place, content, expected)
    elif isinstance(error, cattrs.ClassValidationError):
        annotated, others = error.group_exceptions()
        for inner, note in annotated:
            label = f'{place}.{note.name}' if place else note.name
            child = _child(content, note.name)
            yield from _list_errors(inner, label, child, note.type)
        for inner in others:
            yield from _list_errors(inner, place, content, expected)
    elif isinstance(error, cattrs.ForbiddenExtraKeysError):
        for key in sorted(error.extra_fields):
            label = f'{place}.{key}' if place else key
            yield findings.Finding(
                label, 'unknown_field', 'is not a known field', 'remove it'
            )
    elif isinstance(error, KeyError):
        yield findings.Finding(place, 'missing', 'is missing', 'add it')
    else:
        message = _describe_mismatch(error, content, expected)
        yield findings.Finding(place or 'document', 'type', message)


def _describe_syntax_error(error: ValueError) -> str:
    if isinstance(error, json.JSONDecodeError):
        reason = f'{error.msg[:1].lower()}{error.msg[1:]}'
        return (
            f'is not valid JSON at line {error.lineno}, '
            f'column {error.colno}: {reason}'
        )
    # Python limits the number of digits that it converts.
    return 'contains an integer with too many digits, expected fewer digits'


def _describe_mismatch(
    error: BaseException, content: typing.Any, expected: typing.Any
) -> str:
    if isinstance(error, OverflowError):
        return 'is too large a number, expected one in the range of a float'
    if expected in _SCALARS:
        return f'is {content!r}, expected {expected.__name__}'
    if isinstance(expected, type) and issubclass(expected, enum.Enum):
        values = ', '.join(repr(member.value) for member in expected)
        return f'is {content!r}, expected one of {values}'
    is_list = typing.get_origin(expected) in (tuple, list)
    wanted = 'a list' if is_list else 'an object'
    return f'is {_JSON_TYPES[type(content)]}, expected {wanted}'


def _child(content: typing.Any, key: typing.Any) -> typing.Any:
    if isinstance(content, dict) and isinstance(key, int):
        # An object in place of a list is read as the list of its keys.
        content = list(content)
    try:
        return content[key]
    except (KeyError, IndexError, TypeError):
        return None
