"""Runs the tests and passes over exactly those listed as known to fail.

``KNOWN-RED.txt`` holds one entry per test; the line that begins with
``test:`` names it. Listed tests are printed before the run.
"""

import pathlib
import sys

import pytest

LIST = pathlib.Path('KNOWN-RED.txt')
PREFIX = 'test:'


def read_known_red(text: str) -> tuple[str, ...]:
    r"""Return the identifiers of the listed tests.

    Args:
        text: Content of the list.

    Examples:
        >>> read_known_red('test: a.py::test_b\nseen: 3 of 5\n')
        ('a.py::test_b',)
    """
    return tuple(
        line.removeprefix(PREFIX).strip()
        for line in text.splitlines()
        if line.startswith(PREFIX)
    )


def main() -> int:
    """Run pytest with the given arguments and return its exit code."""
    listed = read_known_red(LIST.read_text()) if LIST.exists() else ()
    for test in listed:
        print(f'known red, passed over: {test}')
    deselected = [f'--deselect={test}' for test in listed]
    return int(pytest.main(sys.argv[1:] + deselected))


if __name__ == '__main__':
    sys.exit(main())
