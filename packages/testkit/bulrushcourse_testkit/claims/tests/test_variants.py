"""The trials find a violation in each deliberately broken variant."""

import pytest

from bulrushcourse_testkit.claims import driver
from bulrushcourse_testkit.claims import variants
from bulrushcourse_testkit.claims import world as claim_world

MAX_TRIALS = 200
MOVES = 300


@pytest.mark.parametrize('variant', variants.VARIANTS)
def test_trials_find_a_violation_in_each_variant(variant, monkeypatch):
    """Guards against trials that would miss a violation of a rule."""
    for seed in range(MAX_TRIALS):
        world = variant(monkeypatch.setattr)
        try:
            driver.run_trial(world, seed, MOVES)
        except claim_world.Violation:
            return
    pytest.fail(f'no violation in {MAX_TRIALS} trials of {MOVES} moves')
