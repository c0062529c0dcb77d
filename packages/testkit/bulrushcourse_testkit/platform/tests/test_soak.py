"""Run the soak of real processes with a few seeds."""

import asyncio

import pytest

from bulrushcourse_testkit.platform import soak


# Guards against violated guarantees while faults overlap. With seeds 231 and
# 243, a frequent request was refused as crash-inducing. The earlier seeds are
# played with the repertoire that they failed with.
@pytest.mark.parametrize('seed', [2, 4, 231, 243])
def test_guarantees_hold_under_random_faults(seed, tmp_path):
    check_seed(seed, tmp_path, 1)


# Guards against the same with connections to the store that go silent, copies
# of earlier refusals and responses that end in their head.
@pytest.mark.parametrize('seed', [281401, 281402])
def test_guarantees_hold_under_the_latest_faults(seed, tmp_path):
    check_seed(seed, tmp_path, 2)


def check_seed(seed, folder, repertoire):
    run = soak.run_seed(seed, folder, repertoire)
    result = asyncio.run(asyncio.wait_for(run, 120))
    assert not result.findings, (result.findings, result.injector.injected)
    assert len(result.replies) > 100
