"""VMs of the quota model: their clock, heartbeats, faults and messages."""

import heapq
import itertools
import random
import typing

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.accounts import account as accounts
from bulrushcourse_domain.accounts import account_table
from bulrushcourse_domain.fleet import fleet
from bulrushcourse_domain.quotas import token_stock
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge import settings as edge_settings
from bulrushcourse_entry.edge.accounts import token_admission
from bulrushcourse_entry.edge.accounts import token_exchange
from bulrushcourse_entry.edge.accounts import token_granter
from bulrushcourse_entry.edge.accounts import token_streams
from bulrushcourse_entry.edge.reporting import event_log as event_logs

HEARTBEAT_INTERVAL_S = 0.4
# One way, within a region and between two.
LOCAL_DELAY_S = 0.0005
REMOTE_DELAY_S = 0.012
BOUNDS = edge_settings.Bounds(quota_excess=0.1, quota_margin=20.0)


@attrs.define(eq=False)
class Request:
    """A request that waits for a token.

    Attributes:
        account: Its account.
        arrived: Time of its arrival.
        asked: Places that were asked.
        result: The token or ``None``, once it no longer waits.
        waits: Whether it waits.
    """

    account: accounts.ClientAccount
    arrived: float
    asked: set[str] = attrs.field(factory=set)
    result: token_stock.Token | None = None
    waits: bool = False

    def done(self) -> bool:
        """Return whether it no longer waits."""
        return not self.waits

    def set_result(self, result: token_stock.Token | None) -> None:
        """Let it go on.

        Args:
            result: Its token, ``None`` if there is none.
        """
        self.result, self.waits = result, False


@attrs.define(eq=False)
class Stream:
    """Stream of a VM to an owner.

    Attributes:
        place: Place of the owner.
        waiting: Requests for the next message.
        asked: Requests of the message under way, ``None`` if there is none.
    """

    place: str
    waiting: dict[str, list[Request]] = attrs.field(factory=dict)
    asked: dict[str, list[Request]] | None = None


@attrs.define(eq=False)
class ModelVm:
    """A VM of the model.

    Attributes:
        state: State of its process.
        granter: Grants tokens.
        exchange: Builds messages and applies answers.
        admission: Refuses requests.
        streams: Streams by the name of the owner.
        unavailable_until: Owners that did not answer.
        frozen_until: Time until which it is suspended.
    """

    state: process_state.ProcessState
    granter: token_granter.TokenGranter
    exchange: token_exchange.TokenExchange
    admission: token_admission.TokenAdmission
    streams: dict[str, Stream] = attrs.field(factory=dict)
    unavailable_until: dict[str, float] = attrs.field(factory=dict)
    frozen_until: float = float('-inf')

    @property
    def name(self) -> str:
        """Name of the VM."""
        return self.state.settings.vm


@attrs.define(eq=False)
class ModelFleet:
    """VMs that hear each other and exchange messages.

    Attributes:
        rng: Source of randomness.
        regions: Region of each failure domain.
        heartbeat_interval_s: Time between the heartbeats of a VM.
        clock: The clock of all VMs.
        vms: Running VMs by name.
        sides: Side of each VM in a partition, 0 by default; messages pass
            only between VMs of one side.
        hears_until: Time until which a VM that was cut off still gets the
            messages of others.
        loss: Share of the messages that are lost.
        extra_delay_s: Longest additional delay of a message.
        table: Accounts of the active configuration.
        version: Its version.
        messages: Number of messages.
        message_bytes: Their total size, frames included.
        remote_bytes: Size of those between regions.
    """

    rng: random.Random
    regions: typing.Mapping[str, str]
    heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S
    clock: clocks.ManualClock = attrs.field(
        factory=lambda: clocks.ManualClock(1000.0)
    )
    vms: dict[str, ModelVm] = attrs.field(factory=dict)
    sides: dict[str, int] = attrs.field(factory=dict)
    hears_until: dict[str, float] = attrs.field(factory=dict)
    loss: float = 0.0
    extra_delay_s: float = 0.0
    table: account_table.AccountTable = account_table.AccountTable()
    version: int = 0
    messages: int = 0
    message_bytes: int = 0
    remote_bytes: int = 0
    _due: list[typing.Any] = attrs.field(factory=list)
    _order: typing.Iterator[int] = attrs.field(factory=itertools.count)

    def start_vm(self, name: str, domain: str) -> ModelVm:
        """Start a VM, or start it again after it was killed.

        Args:
            name: Name of the VM.
            domain: Its failure domain.
        """
        settings = edge_settings.EdgeSettings(
            name,
            self.regions[domain],
            domain,
            '10.0.0.1:1',
            '10.0.0.1:2',
            peers='10.0.0.1:3',
            regions=self.regions,
            bounds=BOUNDS,
        )
        state = process_state.build_state(settings, self.clock, self.rng)
        state.fleet.phase = fleet.Phase.READY
        event_log = event_logs.EventLog(self.clock)
        granter = token_granter.TokenGranter(state, event_log)
        exchange = token_exchange.TokenExchange(state)
        streams = token_streams.TokenStreams(
            state, event_log, granter, exchange
        )
        vm = ModelVm(
            state,
            granter,
            exchange,
            token_admission.TokenAdmission(
                state, event_log, streams, lambda account, result: None
            ),
        )
        for other in self.vms.values():
            state.fleet.add_vm(other.state.fleet.local_vm)
            other.state.fleet.add_vm(state.fleet.local_vm)
        self.vms[name] = vm
        self._install(vm)
        self.schedule(self.rng.random() * 0.2, self._observe, vm)
        self.schedule(self.rng.random() * 0.2, self._send_heartbeats, vm)
        return vm

    def configure(self, *listed: accounts.ClientAccount) -> None:
        """Activate a configuration at all VMs.

        Args:
            *listed: Its accounts.
        """
        self.table = account_table.build_table(listed)
        self.version += 1
        for vm in self.vms.values():
            self._install(vm)

    def _install(self, vm: ModelVm) -> None:
        vm.state.routes.install(
            routes.RouteSet(self.version + 1, accounts=self.table)
        )

    def schedule(
        self,
        delay_s: float,
        act: typing.Callable[..., None],
        *arguments: typing.Any,
    ) -> None:
        """Call a function after a delay.

        Args:
            delay_s: The delay in seconds.
            act: The function.
            *arguments: Its arguments.
        """
        at = self.clock.now + delay_s
        heapq.heappush(self._due, (at, next(self._order), act, arguments))

    def run(self, seconds: float) -> None:
        """Advance the clock and call what falls due.

        Args:
            seconds: Time to run.
        """
        end = self.clock.now + seconds
        while self._due and self._due[0][0] <= end:
            at, _, act, arguments = heapq.heappop(self._due)
            self.clock.now = max(at, self.clock.now)
            act(*arguments)
        self.clock.now = end

    def connected(self, sender: str, receiver: str) -> bool:
        """Return whether messages pass from one VM to another.

        Args:
            sender: Name of the sender.
            receiver: Name of the receiver.
        """
        if self.sides.get(sender, 0) == self.sides.get(receiver, 0):
            return True
        return self.hears_until.get(receiver, 0.0) > self.clock.now

    def is_running(self, vm: ModelVm) -> bool:
        """Return whether a VM was not killed.

        Args:
            vm: The VM.
        """
        return self.vms.get(vm.name) is vm

    def is_awake(
        self,
        vm: ModelVm,
        act: typing.Callable[..., None],
        *arguments: typing.Any,
    ) -> bool:
        """Return whether a VM can act now; a frozen one acts later.

        Args:
            vm: The VM.
            act: Called with the VM when it is no longer frozen.
            *arguments: Further arguments.
        """
        if not self.is_running(vm):
            return False
        if vm.frozen_until > self.clock.now:
            delay_s = vm.frozen_until - self.clock.now
            self.schedule(delay_s, act, vm, *arguments)
            return False
        return True

    def transmit(
        self,
        sender: str,
        receiver: str,
        content: bytes,
        act: typing.Callable[..., None],
        *arguments: typing.Any,
    ) -> None:
        """Send a message and count it.

        Args:
            sender: Name of the sender.
            receiver: Name of the receiver.
            content: The message.
            act: Called with the receiver and the message when it arrives.
            *arguments: Further arguments.
        """
        self.messages += 1
        self.message_bytes += len(content) + 4
        target = self.vms.get(receiver)
        if target is None or sender not in self.vms:
            return
        region = self.vms[sender].state.settings.region
        delay_s = LOCAL_DELAY_S
        if target.state.settings.region != region:
            delay_s = REMOTE_DELAY_S
            self.remote_bytes += len(content) + 4
        delay_s += self.rng.random() * self.extra_delay_s
        is_lost = self.rng.random() < self.loss
        if self.connected(sender, receiver) and not is_lost:
            self.schedule(delay_s, act, target, content, *arguments)

    def _observe(self, vm: ModelVm) -> None:
        if self.is_awake(vm, self._observe):
            vm.state.token_ledger.ownership.observe()
            vm.state.holdings.expire()
            self.send_returns(vm)
            self.schedule(
                token_admission.OBSERVATION_INTERVAL_S, self._observe, vm
            )

    def send_returns(self, vm: ModelVm) -> None:
        """Send unused tokens back to their owners.

        Args:
            vm: The VM that holds them.
        """

    def _send_heartbeats(self, vm: ModelVm) -> None:
        if not self.is_awake(vm, self._send_heartbeats):
            return
        for other in self.vms.values():
            if other is not vm and self.connected(vm.name, other.name):
                delay_s = self.rng.random() * HEARTBEAT_INTERVAL_S
                self.schedule(delay_s, self._hear, other, vm, self.clock.now)
        self.schedule(self.heartbeat_interval_s, self._send_heartbeats, vm)

    def _hear(self, vm: ModelVm, sender: ModelVm, sent_at: float) -> None:
        if not self.is_awake(vm, self._hear, sender, sent_at):
            return
        local = sender.state.fleet.local_vm
        vm.state.fleet.add_vm(local, self_reported=True)
        vm.state.fleet.record_relayed_heartbeats(
            [(local.name, local.incarnation)],
            [self.clock.now - sent_at],
            [fleet.Phase.READY],
        )
