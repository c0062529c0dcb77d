"""A short seeded soak of real processes; longer ones are run by hand."""

import asyncio

import pytest

from bulrushcourse_testkit.platform import soak


# Seeds 231 and 243 found a popular request refused as a crash request.
@pytest.mark.parametrize('seed', [2, 4, 231, 243])
def test_promises_hold_under_random_faults(seed, tmp_path):
    played = asyncio.run(asyncio.wait_for(soak.play(seed, tmp_path), 120))
    assert not played.findings, (played.findings, played.faults.steps)
    assert len(played.replies) > 100
