"""Log lines of requests name what decided them."""

from bulrushcourse_domain.placement import placement
from bulrushcourse_domain.placement import service_times
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_entry.edge import endings


def test_refusal_names_the_estimate_behind_it():
    # Guards against a refusal that nobody can check afterwards.
    upstream = upstreams.Upstream('u1', 's', 'u1:1', 'a1', 'a', 4)
    choice = placement.Choice(
        upstream, 1.31, 0.402, service_times.Affinity.FIRST, 9
    )
    assert endings.describe_refusal(choice, 'too-late') == (
        'too-late at u1 (expected 1310, 402 of it work, first keeper,'
        ' 9 over its slots)'
    )
    assert endings.describe_refusal(None, 'no-upstream') == 'no-upstream'
