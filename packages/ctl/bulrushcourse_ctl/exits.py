"""How commands end."""

import enum
import typing

import cappa


class ExitCode(enum.IntEnum):
    """Exit codes, documented in the help of ``bulrushctl``."""

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    UNREACHABLE = 3
    NOT_IN_FORCE = 4


def fail(code: ExitCode, message: str) -> typing.NoReturn:
    """End the command with a message on standard error.

    Args:
        code: Exit code.
        message: What went wrong and what to do.

    Raises:
        cappa.Exit: Always.
    """
    raise cappa.Exit(message, code=int(code))
