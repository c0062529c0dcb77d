"""Upstreams whose health responses name nobody."""

import asyncio

from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import documents


def test_nameless_upstream_shows_with_the_first_request_that_it_misses():
    # Guards against a service that gets no request with home regions while
    # neither the dump nor a gauge shows why.
    async def scenario():
        async with clusters.EdgeCluster() as cluster:
            cluster.configure(
                1,
                documents.rule('/home/', home_regions=['a']),
                documents.rule('/order/', kind='non_idempotent'),
            )
            await cluster.add_upstream('u1', names_itself=False)
            await cluster.start()
            assert (await cluster.send('/home/x')).status == 503
            state = cluster.vms[0].process.state
            assert state.upstreams.addresses.nameless() == {'u1'}
            # Other requests need no proof.
            assert (await cluster.send('/order/x', body=b'x')).is_own_answer

    asyncio.run(asyncio.wait_for(scenario(), 30))
