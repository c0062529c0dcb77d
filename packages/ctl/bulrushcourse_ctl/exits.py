"""Exit codes of commands."""

import enum
import typing

import cappa


class ExitCode(enum.IntEnum):
    """Exit codes, as listed in the help of ``bulrushctl``."""

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    UNREACHABLE = 3
    NOT_ACTIVE = 4


def fail(code: ExitCode, message: str) -> typing.NoReturn:
    """Exit with a message on standard error.

    Args:
        code: Exit code.
        message: What failed and what the operator can do about it.

    Raises:
        cappa.Exit: Always.
    """
    raise cappa.Exit(message, code=int(code))
