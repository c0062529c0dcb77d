"""Model of a fleet that enforces quotas, without processes or sockets.

It runs the code that grants, asks for and uses tokens, and the encoding of
the messages, with a manual clock. VMs can be frozen, cut off or restarted,
and messages are delayed or lost. It records when requests run, and counts
messages and bytes.
"""

import collections
import typing

import attrs

from bulrushcourse_domain.accounts import account as accounts
from bulrushcourse_domain.quotas import token_stock
from bulrushcourse_entry.edge.accounts import token_streams
from bulrushcourse_testkit import quota_fleet
from bulrushcourse_wire import quota_messages


@attrs.define(eq=False)
class QuotaModel(quota_fleet.ModelFleet):
    """VMs that admit requests of accounts.

    Attributes:
        returned: Share of the admitted requests that do not run and return
            their token.
        ran: Times when requests of each account ran.
        refused: Refused requests by account and reason.
        asked: Requests by account.
    """

    returned: float = 0.0
    ran: dict[str, list[float]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    refused: collections.Counter[tuple[str, str]] = attrs.field(
        factory=collections.Counter
    )
    asked: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def request(
        self, vm: quota_fleet.ModelVm, account: accounts.ClientAccount
    ) -> None:
        """Let a request arrive at a VM.

        Args:
            vm: The VM.
            account: Its account.
        """
        if not self.is_awake(vm, self.request, account):
            return
        now = self.clock.now
        self.asked[account.name] += 1
        stock = vm.state.holdings.of(account.name).stock
        stock.record_request(now)
        self._go_on(
            vm, quota_fleet.Request(account, now, result=stock.take(now))
        )

    def _go_on(
        self, vm: quota_fleet.ModelVm, request: quota_fleet.Request
    ) -> None:
        """Run a request with a token, ask the next place or refuse it."""
        account, now = request.account, self.clock.now
        holding = vm.state.holdings.of(account.name)
        places = vm.admission.places(account)
        while True:
            token = request.result or holding.stock.take(now)
            if token is not None and token.expires_at > now:
                self._admit(vm, account, token)
                return
            usable = holding.places.usable(places, now)
            place = next((p for p in usable if p not in request.asked), None)
            if place is None:
                refusal = vm.admission.refuse(
                    account, holding, places, request.arrived
                )
                self.refused[account.name, refusal.reason] += 1
                return
            request.asked.add(place)
            request.result = None
            if self._ask(vm, request, place):
                return

    def _admit(
        self,
        vm: quota_fleet.ModelVm,
        account: accounts.ClientAccount,
        token: token_stock.Token,
    ) -> None:
        if self.rng.random() < self.returned:
            delay_s = self.rng.random() * 2.0
            self.schedule(delay_s, self._give_back, vm, account, token)
        else:
            self.ran[account.name].append(self.clock.now)

    def _give_back(
        self,
        vm: quota_fleet.ModelVm,
        account: accounts.ClientAccount,
        token: token_stock.Token,
    ) -> None:
        if self.is_awake(vm, self._give_back, account, token):
            vm.admission.give_back(account, token)

    def _ask(
        self, vm: quota_fleet.ModelVm, request: quota_fleet.Request, place: str
    ) -> bool:
        """Ask the owner in a place; return whether the request waits."""
        name, now = request.account.name, self.clock.now
        owner = vm.state.token_ledger.ownership.owner(place, name)
        request.waits = True
        if owner == vm.name:
            waiting = {name: [request]}
            answer = vm.granter.answer(vm.exchange.message(owner, waiting))
            vm.exchange.apply(owner, place, waiting, answer, now)
            return False
        if not owner or vm.unavailable_until.get(owner, now) > now:
            vm.exchange.fail(place, {name: [request]})
            return False
        stream = vm.streams.setdefault(owner, quota_fleet.Stream(place))
        stream.waiting.setdefault(name, []).append(request)
        if stream.asked is None:
            self._send(vm, owner, stream)
        return True

    def _send(
        self, vm: quota_fleet.ModelVm, owner: str, stream: quota_fleet.Stream
    ) -> None:
        asked, stream.waiting = stream.waiting, {}
        stream.asked = asked
        content = quota_messages.encode_ask(vm.exchange.message(owner, asked))
        sent_at = self.clock.now
        self.transmit(
            vm.name, owner, content, self._answer, vm, stream, asked, sent_at
        )
        self.schedule(
            token_streams.ANSWER_TIMEOUT_S,
            self._give_up,
            vm,
            owner,
            stream,
            asked,
        )

    def _answer(
        self,
        owner: quota_fleet.ModelVm,
        content: bytes,
        vm: quota_fleet.ModelVm,
        *arguments: typing.Any,
    ) -> None:
        if self.is_awake(owner, self._answer, content, vm, *arguments):
            answer = owner.granter.answer(quota_messages.decode_ask(content))
            self.transmit(
                owner.name,
                vm.name,
                quota_messages.encode_answer(answer),
                self._apply,
                owner.name,
                *arguments,
            )

    def _apply(
        self,
        vm: quota_fleet.ModelVm,
        content: bytes,
        owner: str,
        stream: quota_fleet.Stream,
        asked: dict[str, list[quota_fleet.Request]],
        sent_at: float,
    ) -> None:
        # A message that was given up, or one to the former process.
        if vm.streams.get(owner) is not stream or stream.asked is not asked:
            return
        arguments = content, owner, stream, asked, sent_at
        if self.is_awake(vm, self._apply, *arguments):
            requests = [r for listed in asked.values() for r in listed]
            answer = quota_messages.decode_answer(content)
            vm.exchange.apply(owner, stream.place, asked, answer, sent_at)
            self._end_exchange(vm, owner, stream, requests)

    def _give_up(
        self,
        vm: quota_fleet.ModelVm,
        owner: str,
        stream: quota_fleet.Stream,
        asked: dict[str, list[quota_fleet.Request]],
    ) -> None:
        if stream.asked is not asked:
            return
        if self.is_awake(vm, self._give_up, owner, stream, asked):
            until = self.clock.now + token_streams.UNAVAILABLE_S
            vm.unavailable_until[owner] = until
            requests = [r for listed in asked.values() for r in listed]
            vm.exchange.fail(stream.place, asked)
            self._end_exchange(vm, owner, stream, requests)

    def _end_exchange(
        self,
        vm: quota_fleet.ModelVm,
        owner: str,
        stream: quota_fleet.Stream,
        requests: list[quota_fleet.Request],
    ) -> None:
        stream.asked = None
        for request in requests:
            self._go_on(vm, request)
        if stream.waiting and stream.asked is None:
            self._send(vm, owner, stream)

    def send_returns(self, vm: quota_fleet.ModelVm) -> None:
        """Send unused tokens back to their owners.

        Args:
            vm: The VM that holds them.
        """
        for owner in vm.exchange.owners_to_tell():
            if owner == vm.name:
                vm.granter.answer(vm.exchange.message(owner, {}))
                continue
            place = vm.state.token_ledger.ownership.place_of(
                vm.state.fleet.peers[owner]
            )
            stream = vm.streams.setdefault(owner, quota_fleet.Stream(place))
            if stream.asked is None:
                self._send(vm, owner, stream)


def most_in_window(times: list[float], window_s: float) -> int:
    """Return the most times that lie in one window.

    Args:
        times: The times, ascending.
        window_s: Length of the window in seconds.

    Examples:
        >>> most_in_window([0.0, 1.0, 5.5, 6.0], 5.0)
        3
    """
    most = first = 0
    for last, at in enumerate(times):
        while times[first] < at - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most
