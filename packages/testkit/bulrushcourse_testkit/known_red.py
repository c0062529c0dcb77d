"""Runs pytest without the tests that are listed as known failures.

``KNOWN-RED.txt`` has one entry per test; its line ``test: ID`` names the
test. The listed tests are printed before the run.
"""

import pathlib
import sys

import pytest

KNOWN_RED_FILE = pathlib.Path('KNOWN-RED.txt')
TEST_PREFIX = 'test:'


def read_known_red(text: str) -> tuple[str, ...]:
    r"""Return the pytest identifiers of the listed tests.

    Args:
        text: Content of the file.

    Examples:
        >>> read_known_red('test: a.py::test_b\nseen: 3 of 5\n')
        ('a.py::test_b',)
    """
    return tuple(
        line.removeprefix(TEST_PREFIX).strip()
        for line in text.splitlines()
        if line.startswith(TEST_PREFIX)
    )


def main() -> int:
    """Run pytest with the command-line arguments and return its exit code."""
    listed = (
        read_known_red(KNOWN_RED_FILE.read_text())
        if KNOWN_RED_FILE.exists()
        else ()
    )
    for test in listed:
        print(f'deselected, known to fail: {test}')
    deselected = [f'--deselect={test}' for test in listed]
    return int(pytest.main(sys.argv[1:] + deselected))


if __name__ == '__main__':
    sys.exit(main())
