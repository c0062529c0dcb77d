"""The platform's own terms are used only in folders named ``platform``."""

import pathlib
import re

import pytest

PACKAGES = pathlib.Path(__file__).parents[4]
WORDS = re.compile(
    r'rows-(tx|get|feed)|X-Expect-Instance|X-Server-\w+|X-Not-Executed'
    r'|X-Affinity-Key|X-Request-Deadline|X-Warmup|warmup_left\b|ready_addr'
    r'|traffic_split|home_regions\b.*\[\'|target_latency|session_affinity'
    r'|non_idempotent|op/config|/resolve\b'
)


def sources():
    return [
        path
        for path in PACKAGES.rglob('*.py')
        if 'platform' not in path.parts and 'tests' not in path.parts
    ]


def test_there_are_sources_to_check():
    assert len(sources()) > 100


@pytest.mark.parametrize('path', sources(), ids=lambda path: path.name)
def test_source_uses_none_of_the_platforms_terms(path):
    # Guards against decisions that depend on the platform's wire formats.
    assert not WORDS.search(path.read_text())
