"""A VM stays within its memory while clients leave their uploads."""

import asyncio

import pytest

from bulrushcourse_testkit.platform import memory_trial

pytestmark = pytest.mark.alone

MEMORY_MB = 128
UPLOAD_MB = 8
UPLOADERS = 12
SECONDS = 6.0


def test_crowd_of_uploads_stays_within_the_memory_and_loses_no_order():
    # Guards against a process that is ended with the orders of others, since
    # its budget has forgotten uploads that were finished or left.
    trial = asyncio.run(
        memory_trial.run_trial(MEMORY_MB, UPLOAD_MB, UPLOADERS, SECONDS)
    )
    print('measured', trial)
    assert trial.peak_mb < MEMORY_MB
    assert trial.lost == 0
    assert trial.orders['200']
    assert f'{MEMORY_MB} MB' in memory_trial.plot([trial])
