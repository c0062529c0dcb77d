"""Searches for bytes of a body that a VM takes for a request.

Run it with ``python -m bulrushcourse_testkit.platform.framing_fuzz SEED
SECONDS``. It sends random requests to a real VM and compares what a stand-in
of an upstream gets with what its clients have sent.
"""

import asyncio
import random
import sys
import time

import attrs

from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import documents
from bulrushcourse_testkit.platform import framing_requests
from bulrushcourse_testkit.platform import upstream as upstream_standin

CONNECTIONS_IN_FLIGHT = 8
# A client reads until this long after the last byte.
QUIET_S = 0.15
MAX_PAUSE_S = 0.01
# Some bodies are longer, and are refused while they are being sent.
MAX_BODY_BYTES = 4000
RULES = (
    documents.rule('/browse/', max_attempts=2),
    documents.rule('/order/', kind='non_idempotent'),
)


@attrs.define(eq=False)
class FramingFuzzer:
    """Clients of one VM and what they have sent.

    Attributes:
        cluster: The VM and its upstream.
        upstream: The upstream.
        rng: Source of randomness.
        connections: Number of connections so far.
        sent: Requests by identifier.
        findings: What an upstream got though nobody had sent it.
        checked: Number of arrivals that were compared.
        served: Number of requests that reached the upstream.
        written: Pieces written on each connection of the last round.
    """

    cluster: clusters.EdgeCluster
    upstream: upstream_standin.UpstreamStandIn
    rng: random.Random
    connections: int = 0
    sent: dict[str, framing_requests.Sent] = attrs.field(factory=dict)
    findings: list[str] = attrs.field(factory=list)
    checked: int = 0
    served: int = 0
    written: dict[str, list[bytes]] = attrs.field(factory=dict)

    async def run_round(self) -> None:
        """Use some connections at the same time and check what arrived."""
        self.written.clear()
        await asyncio.gather(
            *(self._use_connection() for _ in range(CONNECTIONS_IN_FLIGHT))
        )
        self._check()

    async def _use_connection(self) -> None:
        self.connections += 1
        name = str(self.connections)
        generator = framing_requests.RequestGenerator(
            random.Random(self.rng.getrandbits(64)), name
        )
        pieces, sent = generator.connection()
        self.written[name] = pieces
        self.sent.update({request.request_id: request for request in sent})
        host, _, port = self.cluster.vms[0].listen['front'].rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(generator.rng.uniform(0.0, MAX_PAUSE_S))
            while await asyncio.wait_for(reader.read(1 << 16), QUIET_S):
                pass
        except (OSError, TimeoutError):
            # The VM has closed the connection, or waits for more.
            pass
        finally:
            writer.close()

    def _check(self) -> None:
        arrivals = self.upstream.arrivals
        for arrival in arrivals[self.checked :]:
            sent = self.sent.get(arrival.request_id)
            if sent is None:
                self._record(arrival.request_id, 'was sent by nobody')
            elif arrival.target != sent.target:
                self._record(arrival.request_id, f'target {arrival.target!r}')
            elif sent.body is not None and arrival.body != sent.body:
                self._record(arrival.request_id, f'body {arrival.body[:60]!r}')
            else:
                self.served += 1
        self.checked = len(arrivals)

    def _record(self, request_id: str, text: str) -> None:
        connection = request_id.split('-')[1]
        written = self.written.get(connection, [])
        self.findings.append(f'{request_id}: {text}; written: {written}')


async def fuzz(
    seed: int, seconds: float = 0.0, rounds: int = 0
) -> FramingFuzzer:
    """Send random requests until a time or a number of rounds is over.

    Args:
        seed: Seed of the requests.
        seconds: Time to run, 0 for no limit.
        rounds: Rounds to run, 0 for no limit.
    """
    ends = time.monotonic() + seconds
    async with clusters.EdgeCluster() as cluster:
        document = documents.configuration(1, *RULES)
        document['limits']['max_body_bytes'] = MAX_BODY_BYTES
        cluster.store.put('op', 'config', document)
        upstream = await cluster.add_upstream('u1', slots=50, work_s=0.02)
        await cluster.start()
        fuzzer = FramingFuzzer(cluster, upstream, random.Random(seed))
        done = 0
        while not (
            fuzzer.findings
            or (rounds and done >= rounds)
            or (seconds and time.monotonic() > ends)
        ):
            await fuzzer.run_round()
            done += 1
        return fuzzer


def main() -> int:
    """Run one seed; return 1 if there are findings."""
    seed, seconds = int(sys.argv[1]), float(sys.argv[2])
    began = time.monotonic()
    fuzzer = asyncio.run(fuzz(seed, seconds))
    print(
        f'seed {seed}: {fuzzer.connections} connections, {len(fuzzer.sent)}'
        f' requests, {fuzzer.served} of them reached the upstream as sent,'
        f' {time.monotonic() - began:.1f} s'
    )
    for finding in fuzzer.findings:
        print(finding)
    return 1 if fuzzer.findings else 0


if __name__ == '__main__':
    sys.exit(main())
