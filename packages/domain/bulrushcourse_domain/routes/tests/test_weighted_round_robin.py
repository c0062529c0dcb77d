"""Weighted round robin keeps the shares at any number of requests."""

from hypothesis import given
from hypothesis import strategies

from bulrushcourse_domain.routes import weighted_round_robin

WEIGHTS = strategies.dictionaries(
    strategies.sampled_from('abcd'), strategies.integers(1, 9), min_size=1
)


@given(WEIGHTS, strategies.integers(1, 200))
def test_shares_are_kept_within_one_request_per_choice(weights, number):
    round_robin = weighted_round_robin.WeightedRoundRobin()
    choices = [round_robin.next_choice(weights) for _ in range(number)]
    total = sum(weights.values())
    for name, weight in weights.items():
        expected = number * weight / total
        assert abs(choices.count(name) - expected) <= len(weights)


@given(WEIGHTS, strategies.integers(1, 300), strategies.integers(0, 5))
def test_preferred_choice_exceeds_its_share_by_its_slack_at_most(
    weights, number, slack
):
    # Guards against a hot object whose requests all go to one region.
    round_robin = weighted_round_robin.WeightedRoundRobin()
    preferred = min(weights)
    choices = [
        round_robin.next_choice(weights, preferred, slack)
        for _ in range(number)
    ]
    expected = number * weights[preferred] / sum(weights.values())
    assert choices.count(preferred) <= expected + slack + 1
