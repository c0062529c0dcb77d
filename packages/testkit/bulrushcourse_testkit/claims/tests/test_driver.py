"""Simulated trials of claims with random interleavings of faults."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from bulrushcourse_testkit.claims import driver as claim_driver
from bulrushcourse_testkit.claims import world as claim_world

PICKS = strategies.integers(0, (1 << 16) - 1)
CHOICES = strategies.integers(0, 7)
# 0 is a move without a fault; it is at least as likely as all faults together.
MOSTLY_ZERO_CHOICES = strategies.one_of(strategies.just(0), CHOICES)
EXAMPLES = 250
STEPS = 60
MIN_STEPS = 10_000
CHECKED_STEPS = [0]


class ClaimsMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.driver = claim_driver.Driver(claim_world.World())

    # Rules with the same effect make their move more frequent.
    @stateful.rule(pick=PICKS, choice=MOSTLY_ZERO_CHOICES)
    def step(self, pick, choice):
        self.driver.step(pick, choice)

    @stateful.rule(pick=PICKS, choice=MOSTLY_ZERO_CHOICES)
    def step_again(self, pick, choice):
        self.driver.step(pick, choice)

    @stateful.rule(pick=PICKS, choice=MOSTLY_ZERO_CHOICES)
    def step_once_more(self, pick, choice):
        self.driver.step(pick, choice)

    @stateful.rule(pick=PICKS, ask_only=strategies.booleans())
    def send(self, pick, ask_only):
        self.driver.send(pick, ask_only)

    @stateful.rule(pick=PICKS)
    def send_again(self, pick):
        self.driver.send(pick, False)

    @stateful.rule(pick=PICKS)
    def new_key(self, pick):
        self.driver.new_key(pick)

    @stateful.rule(pick=PICKS)
    def disconnect_caller(self, pick):
        self.driver.disconnect_caller(pick)

    @stateful.rule(seconds=strategies.sampled_from(claim_driver.TIME_STEPS_S))
    def advance(self, seconds):
        self.driver.world.loop.advance(seconds)

    @stateful.rule(up=strategies.sampled_from([True, True, False]))
    def set_store(self, up):
        self.driver.set_store(up)

    @stateful.rule(name=strategies.sampled_from(claim_world.ENTRIES))
    def restart(self, name):
        self.driver.world.restart(name)

    @stateful.invariant()
    def guarantees_hold(self):
        CHECKED_STEPS[0] += 1
        self.driver.check()

    def teardown(self):
        try:
            self.driver.flush()
            self.driver.check()
        finally:
            self.driver.world.close()


def test_guarantees_hold_under_any_interleaving():
    """Guards against a second run of a key and untrue outcomes."""
    CHECKED_STEPS[0] = 0
    stateful.run_state_machine_as_test(
        ClaimsMachine,
        settings=hypothesis.settings(
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
            derandomize=True,
            deadline=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )
    print(f'{CHECKED_STEPS[0]} steps')
    assert CHECKED_STEPS[0] >= MIN_STEPS


def test_random_trials_run_and_refuse():
    """Guards against trials that never run or never refuse a request."""
    reply_counts = {}
    for seed in range(12):
        world = claim_world.World()
        claim_driver.run_trial(world, seed, 300)
        for outcome, count in world.history.reply_counts.items():
            reply_counts[outcome] = reply_counts.get(outcome, 0) + count
    assert (
        min(reply_counts[name] for name in ('done', 'not-run', 'unknown'))
        >= 10
    )


def test_same_seed_gives_same_trial():
    """Guards against violations that the printed seed does not reproduce."""
    histories = []
    for _ in range(2):
        world = claim_world.World()
        claim_driver.run_trial(world, 5, 200)
        histories.append(world.history)
    assert histories[0] == histories[1]
