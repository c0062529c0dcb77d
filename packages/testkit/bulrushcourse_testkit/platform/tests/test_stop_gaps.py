"""A planned stop between its looks at what is in progress.

Nothing else is in progress at the moment at which the VM stops accepting, and
each request is sent around that moment.
"""

import asyncio
import enum
import itertools
import time
import typing

import attrs
import pytest

from bulrushcourse_testkit.platform import cluster as clusters
from bulrushcourse_testkit.platform import documents
from bulrushcourse_testkit.platform import kept_connection

GRACE_S = 4.0
# A VM that stops accepts requests for half of that time.
ACCEPT_S = GRACE_S / 2
WORK_S = 0.5
# The first deadline passes before the stop ends, the second one after it.
DEADLINES_MS = (1200, 10_000)
OFFSETS_S = (-0.06, -0.002, 0.0, 0.001, 0.003, 0.01, 0.03, 0.06)
# The event loop runs late from the first moment to the second one.
LATE_FROM_S, LATE_TO_S = -0.03, 0.01
# Open connections without a request.
IDLE_CONNECTIONS = 3
# A first request or the first part of one is sent this long before.
LEAD_S = 0.1
# Between the stops of VMs in one event loop.
STAGGER_S = 0.015
LATE_STAGGER_S = 0.2
# More than the buffers of a connection hold.
LARGE = b'x' * (8 << 20)
LARGE_WORK_S = 0.2
RECEIVE_BUFFER_BYTES = 256 << 10
# Until a stop that waits for requests looks at them again, at most.
LOOK_INTERVAL_S = 0.06


def encode(kind, request_id, deadline_ms, *lines, body=b''):
    path = '/order/x' if kind == 'POST' else '/browse/x'
    if kind == 'POST':
        lines = (*lines, f'Content-Length: {len(body)}')
    head = [
        f'{kind} {path} HTTP/1.1',
        f'Host: {documents.HOST}',
        f'X-Request-Id: {request_id}',
        f'X-Request-Deadline-Ms: {deadline_ms}',
        *lines,
    ]
    return '\r\n'.join(head).encode() + b'\r\n\r\n' + body


class Condition(enum.Enum):
    """State of the VM at the moment at which it stops accepting."""

    IDLE = 'idle'
    # Closing the listener of the directory takes some time.
    SLOW_LOOK_UP = 'slow look-up'
    LATE = 'late event loop'


@attrs.define
class Sent:
    """A request that was sent in a planned stop.

    Attributes:
        request_id: Identifier of the request.
        connection: Its connection.
        sent_at: When it was sent.
        crossed: Whether the connection had been closed before that.
        ending: End of the body of its answer.
        position: Number of the earlier requests without a response on the
            connection.
    """

    request_id: str
    connection: kept_connection.KeptConnection
    sent_at: float
    crossed: bool
    ending: bytes = b''
    position: int = 0


@attrs.define(eq=False)
class Stop:
    """A planned stop of the VM of a cluster, and the moment of a request.

    Attributes:
        cluster: The cluster.
        offset_s: When the request is sent, from the end of accepting.
        deadline_ms: Deadline of the request in milliseconds.
        condition: State of the VM.
        accept_until: When the VM stops accepting.
        began: When the stop began.
        numbers: Source of identifiers.
        connections: Connections of callers.
    """

    cluster: clusters.EdgeCluster
    offset_s: float
    deadline_ms: int
    condition: Condition
    accept_until: float = 0.0
    began: float = 0.0
    numbers: typing.Iterator[int] = attrs.field(factory=itertools.count)
    connections: list[kept_connection.KeptConnection] = attrs.field(
        factory=list
    )

    @property
    def late(self):
        return self.condition is Condition.LATE

    @property
    def vm(self):
        return self.cluster.vms[0]

    def connect(self, listener='front', receive_bytes=0):
        connection = kept_connection.KeptConnection.open(
            self.vm.listen[listener], receive_bytes
        )
        self.connections.append(connection)
        return connection

    async def connect_kept(self):
        """Return an idle connection that has served a request."""
        connection = self.connect()
        connection.send(encode('GET', f'warm{next(self.numbers)}', 5000))
        await connection.read_response()
        connection.received = b''
        return connection

    def begin(self):
        self.vm.process.stopping.set()
        self.began = time.monotonic()
        self.accept_until = self.began + ACCEPT_S

    async def wait_until(self, offset_s):
        """Wait until a time relative to the end of accepting."""
        await asyncio.sleep(self.accept_until + offset_s - time.monotonic())

    async def reach_moment(self):
        await self.wait_until(LATE_FROM_S if self.late else self.offset_s)

    def pass_moment(self):
        self.run_late_until(self.accept_until + LATE_TO_S)

    def run_late_until(self, until):
        """Let the event loop run late after a request was sent."""
        if self.late:
            time.sleep(max(0.0, until - time.monotonic()))

    def send(self, connection, kind='GET', position=0, **fields):
        request_id, data = self.encode(kind, **fields)
        ending = f':{request_id}'.encode()
        sent = connection.send(data)
        return Sent(request_id, connection, *sent, ending, position)

    def encode(self, kind='GET', *lines, body=b'', deadline_ms=0):
        """Return the identifier and the bytes of a new request."""
        request_id = f'{kind.lower()}{next(self.numbers)}'
        deadline_ms = deadline_ms or self.deadline_ms
        return request_id, encode(
            kind, request_id, deadline_ms, *lines, body=body
        )

    def find_fault(self, sent):
        """Return what is wrong about the end of a request, or nothing."""
        runs = self.cluster.run_count(sent.request_id)
        responses = sent.connection.responses
        if len(responses) > sent.position:
            return self._find_wrong_answer(sent, responses[sent.position])
        if runs:
            return f'{runs} run, no answer'
        if sent.position:
            # It may stay unread if the response before it says so.
            last = dict(responses[-1].fields()) if responses else {}
            if last.get('connection', b'').lower() == b'close':
                return ''
        if sent.connection.is_cut_off:
            return 'incomplete answer'
        return '' if self._may_stay_unread(sent) else 'read, no answer'

    def _may_stay_unread(self, sent):
        if sent.crossed:
            return True
        if sent.connection.end is not kept_connection.End.RESET:
            return False
        return sent.sent_at > self.accept_until

    def _find_wrong_answer(self, sent, response):
        runs = self.cluster.run_count(sent.request_id)
        if response.status in (503, 408):
            return f'{response.status}, {runs} run' if runs else ''
        if response.status == 200 and response.body.endswith(sent.ending):
            return ''
        return f'{response.status}, {runs} run'

    def describe(self, sent):
        """Return a line about a request with a fault, or nothing."""
        fault = self.find_fault(sent)
        if not fault:
            return ''
        moment = (sent.sent_at - self.accept_until) * 1000
        end = sent.connection.end.value
        return (
            f'{self.condition.value}: {sent.request_id} sent at '
            f'{moment:+.1f} ms, deadline {self.deadline_ms} ms: '
            f'{fault}, connection {end}'
        )


async def stop_beside(way, offset_s, deadline_ms, condition, delay_s):
    """Return the faults of one planned stop beside a way to send."""
    bounds = {'grace': f'{GRACE_S:.0f}s'}
    async with clusters.EdgeCluster(bounds=bounds) as cluster:
        cluster.configure()
        await cluster.add_upstream('u1', work_s=WORK_S, slots=20)
        await cluster.start()
        stop = Stop(cluster, offset_s, deadline_ms, condition)
        for _ in range(IDLE_CONNECTIONS):
            stop.connect()
        if condition is Condition.SLOW_LOOK_UP:
            # The body of this look-up never arrives.
            stop.connect('directory').send(
                b'POST /resolve HTTP/1.1\r\nHost: x\r\n'
                b'Content-Length: 9\r\n\r\n'
            )
        await asyncio.sleep(delay_s)
        requests = await way(stop)
        await asyncio.gather(
            *(c.read_until_end(stop.vm.task) for c in stop.connections),
            asyncio.wait({stop.vm.task}, timeout=2 * GRACE_S),
        )
        took_s = time.monotonic() - stop.began
        # Nothing may run later on either.
        await asyncio.sleep(WORK_S / 2)
        faults = [stop.describe(sent) for sent in requests]
        if took_s >= GRACE_S:
            faults.append(f'the stop took {took_s:.2f} s')
        else:
            stop.vm.task.result()
        return [fault for fault in faults if fault]


def check(way, deadlines_ms=DEADLINES_MS, offsets_s=OFFSETS_S):
    """Check the stops beside one way to send, for all moments."""
    calm = (Condition.IDLE, Condition.SLOW_LOOK_UP)
    moments = [
        *itertools.product(offsets_s, deadlines_ms, calm),
        *itertools.product((0.0,), deadlines_ms, (Condition.LATE,)),
    ]
    faults = asyncio.run(asyncio.wait_for(play(way, moments), 60))
    assert not faults, '\n'.join(['', *faults])


async def play(way, moments):
    """Return the faults of several stops, of one VM each."""
    delay_s = 0.0
    stops = []
    for moment in moments:
        # VMs in one event loop run late at the same time.
        late = Condition.LATE in moment
        delay_s += LATE_STAGGER_S if late else STAGGER_S
        stops.append(stop_beside(way, *moment, delay_s))
    return list(itertools.chain.from_iterable(await asyncio.gather(*stops)))


async def send_on_kept(stop, kind, body=b''):
    connection = await stop.connect_kept()
    stop.begin()
    await stop.reach_moment()
    sent = stop.send(connection, kind, body=body)
    stop.pass_moment()
    return [sent]


def test_repeatable_request_on_a_kept_connection_is_not_cut_off():
    # Guards against a GET that is read after the stop found nothing open.
    check(lambda stop: send_on_kept(stop, 'GET'))


def test_order_on_a_kept_connection_is_not_cut_off():
    # Guards against an order that is read after the stop found nothing open:
    # it may have run, and its caller can't send it again.
    check(lambda stop: send_on_kept(stop, 'POST', b'tabs'))


def test_request_at_the_end_of_the_last_one_in_progress_is_not_cut_off():
    # Guards against a request that is read after the stop's last look, when
    # all requests that it waited for have been answered.
    async def send(stop):
        first, second = [await stop.connect_kept() for _ in range(2)]
        stop.begin()
        await stop.wait_until(-3 * LEAD_S)
        last = stop.send(first, deadline_ms=2000)
        await first.read_response()
        await asyncio.sleep(stop.offset_s)
        sent = stop.send(second)
        stop.run_late_until(time.monotonic() + LOOK_INTERVAL_S)
        return [last, sent]

    check(send, deadlines_ms=(1000, 10_000), offsets_s=(0.0, 0.02, 0.05, 0.06))


def test_request_whose_head_comes_in_two_parts_is_not_cut_off():
    # Guards against a request whose head is completed after the stop found
    # nothing open.
    async def send(stop):
        connection = await stop.connect_kept()
        stop.begin()
        await stop.wait_until(-LEAD_S)
        request_id, data = stop.encode()
        connection.send(data[:-20])
        await stop.reach_moment()
        ending = f':{request_id}'.encode()
        sent = connection.send(data[-20:])
        stop.pass_moment()
        return [Sent(request_id, connection, *sent, ending)]

    check(send)


@pytest.mark.parametrize('line', ['X-Part: 1', 'Expect: 100-continue'])
def test_upload_that_is_completed_late_is_not_cut_off(line):
    # Guards against an upload that is begun before the end of accepting, and
    # whose body is completed after it.
    async def send(stop):
        connection = await stop.connect_kept()
        stop.begin()
        await stop.wait_until(-LEAD_S)
        request_id, data = stop.encode('POST', line, body=b'ab' * 4000)
        part = data.index(b'abab') if 'Expect' in line else len(data) // 2
        ending = f':{request_id}'.encode()
        sent = connection.send(data[:part])
        await stop.reach_moment()
        connection.send(data[part:])
        stop.pass_moment()
        return [Sent(request_id, connection, *sent, ending)]

    check(send)


def test_upload_that_begins_late_is_not_cut_off():
    # Guards against an upload whose head is read after the stop found nothing
    # open.
    async def send(stop):
        connection = await stop.connect_kept()
        stop.begin()
        request_id, data = stop.encode('POST', body=b'ab' * 4000)
        ending = f':{request_id}'.encode()
        await stop.reach_moment()
        sent = connection.send(data[:4000])
        stop.pass_moment()
        await asyncio.sleep(LEAD_S)
        connection.send(data[4000:])
        return [Sent(request_id, connection, *sent, ending)]

    check(send)


@pytest.mark.parametrize('lead_s', [0.0, LEAD_S])
def test_pipelined_request_is_answered_or_not_begun(lead_s):
    # Guards against pipelined requests that are begun and cut off, with the
    # first one sent at the same time or before.
    async def send(stop):
        connection = await stop.connect_kept()
        stop.begin()
        if lead_s:
            await stop.wait_until(-lead_s)
            first = stop.send(connection)
            await stop.reach_moment()
        else:
            await stop.reach_moment()
            first = stop.send(connection)
        second = stop.send(connection, position=1)
        stop.pass_moment()
        return [first, second]

    check(send)


@pytest.mark.parametrize('lead_s', [0.0, LEAD_S])
def test_first_request_of_a_new_connection_is_not_cut_off(lead_s):
    # Guards against a connection that is accepted before the end of accepting
    # and whose request is read after it.
    async def send(stop):
        stop.begin()
        if lead_s:
            await stop.wait_until(-lead_s)
            connection = stop.connect()
            await stop.reach_moment()
        else:
            await stop.reach_moment()
            try:
                connection = stop.connect()
            except ConnectionRefusedError:
                return []
        sent = stop.send(connection)
        stop.pass_moment()
        return [sent]

    check(send)


@pytest.mark.parametrize('pipelines', [False, True])
def test_response_that_is_read_late_is_complete(pipelines):
    # Guards against a response that is written but not sent when the stop
    # ends, also if unread bytes of the caller would reset the connection.
    async def send(stop):
        upstream = stop.cluster.upstreams['u1']
        upstream.content, upstream.work_s = LARGE, LARGE_WORK_S
        connection = stop.connect(receive_bytes=RECEIVE_BUFFER_BYTES)
        stop.begin()
        await stop.wait_until(-8 * LEAD_S)
        sent = attrs.evolve(stop.send(connection), ending=LARGE)
        await stop.reach_moment()
        if not pipelines:
            return [sent]
        return [sent, stop.send(connection, position=1)]

    check(send, offsets_s=(0.0, 0.1, 0.3), deadlines_ms=(2000,))


def test_look_up_on_a_kept_connection_is_answered():
    # Guards against a look-up that is read while the directory closes.
    data = (
        f'GET /resolve?name={documents.HOST}&region=a&zone=z HTTP/1.1\r\n'
        'Host: directory\r\n\r\n'
    ).encode()

    async def send(stop):
        connection = stop.connect('directory')
        connection.send(data)
        await connection.read_response()
        connection.received = b''
        stop.begin()
        await stop.reach_moment()
        sent = Sent('look-up', connection, *connection.send(data))
        stop.pass_moment()
        return [sent]

    check(send, deadlines_ms=(0,))
