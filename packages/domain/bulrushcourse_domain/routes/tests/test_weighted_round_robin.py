"""Weighted turns keep the shares at any number of requests."""

from hypothesis import given
from hypothesis import strategies

from bulrushcourse_domain.routes import weighted_round_robin

WEIGHTS = strategies.dictionaries(
    strategies.sampled_from('abcd'), strategies.integers(1, 9), min_size=1
)


@given(WEIGHTS, strategies.integers(1, 200))
def test_shares_are_kept_within_a_request_a_choice(weights, number):
    turns = weighted_round_robin.WeightedRoundRobin()
    taken = [turns.next_choice(weights) for _ in range(number)]
    total = sum(weights.values())
    for name, weight in weights.items():
        due = number * weight / total
        assert abs(taken.count(name) - due) <= len(weights)


@given(WEIGHTS, strategies.integers(1, 300), strategies.integers(0, 5))
def test_wanted_choice_is_ahead_by_its_slack_at_most(weights, number, slack):
    # Guards against a popular object that pulls all requests to one region.
    turns = weighted_round_robin.WeightedRoundRobin()
    wanted = min(weights)
    taken = [turns.next_choice(weights, wanted, slack) for _ in range(number)]
    due = number * weights[wanted] / sum(weights.values())
    assert taken.count(wanted) <= due + slack + 1
