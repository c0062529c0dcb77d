"""Model of the quarantine: crashes that get through, sound requests refused.

Run ``python -m bulrushcourse_testkit.quarantine_model`` for the table of
``docs/decisions/006-what-a-broken-attempt-proves.md``. It runs the code that
decides, with a manual clock, in place of processes and sockets.
"""

import enum
import typing

import attrs

from bulrushcourse_domain.quarantine import probes
from bulrushcourse_testkit import event_model
from bulrushcourse_testkit import quarantine_policies

Verdict = probes.Verdict
Policy = quarantine_policies.Policy

VMS = quarantine_policies.VMS
UPSTREAMS = 18
DOMAINS = 3
OBJECTS = 63
REQUESTS_PER_S = 100.0
LENGTH_S = 90.0
ATTEMPTS = 2
WORK_S = 0.03
CRASH_S = 0.002
DOWN_S = 2.5
DIRECTORY_S = 0.7
REPORT_S = 0.3
CONTACT_S = 3.0
CRASHING = 'crashing'
SOUND_ACCOUNT = 'sound'
CRASHING_EVERY_S = 5.0
# Client accounts that send the crash-inducing request.
ACCOUNTS = 72
# Time between their requests, and those of one for which it is sound.
ACCOUNTS_EVERY_S = 0.5
DOMAIN_LOST_AT_S = 20.0
DOMAIN_LOST_FOR_S = 15.0
RESETS = (10.0, 50.0)
RESET_SHARE = 0.1
# Share of the attempts on reused connections; a reset of them is at once.
REUSED_SHARE = 0.8


class Senders(enum.Enum):
    """Who sends the crash-inducing request."""

    ANONYMOUS = 'anonymous'
    ONE_ACCOUNT = 'one account, sound for another'
    ALL_ACCOUNTS = 'all accounts'


@attrs.frozen
class Scenario:
    """What happens in a run.

    Attributes:
        loses_domain: Whether a failure domain is lost for some time.
        resets: Whether a tenth of the attempts is reset for some time.
        senders: Who sends the crash-inducing request.
    """

    loses_domain: bool = False
    resets: bool = False
    senders: Senders = Senders.ANONYMOUS


SCENARIOS = {
    'failure domain lost': Scenario(True, False),
    'a tenth reset': Scenario(False, True),
    'both': Scenario(True, True),
}
IDENTITY_SCENARIOS = {
    f'{senders.value}{", a tenth reset" if resets else ""}': Scenario(
        False, resets, senders
    )
    for senders in (Senders.ONE_ACCOUNT, Senders.ALL_ACCOUNTS)
    for resets in (False, True)
}


@attrs.define
class Upstream:
    """An upstream of the model.

    Attributes:
        domain: Number of its failure domain.
        born: Time of its start.
        down_until: Time until which it is down.
        visible: Start that the VMs know.
    """

    domain: int
    born: float = 0.0
    down_until: float = 0.0
    visible: float = 0.0


@attrs.define
class Result(event_model.Result):
    """What a run counts."""

    @property
    def late_crashes(self) -> int:
        """Crashes later than the contact time after the third."""
        return event_model.late_events(
            self.crashed_at, self.crashed_at, CONTACT_S
        )


def is_crashing(fingerprint: str) -> bool:
    """Return whether a request crashes the upstreams that run it.

    Args:
        fingerprint: Its fingerprint.
    """
    content, _, caller = fingerprint.partition('.')
    return content == CRASHING and caller != SOUND_ACCOUNT


class Model(event_model.EventModel):
    """A run of one policy in one scenario."""

    def __init__(self, policy: Policy, scenario: Scenario, seed: int) -> None:
        super().__init__(seed)
        self.ledgers = {vm: policy(self.clock) for vm in VMS}
        self.upstreams = [Upstream(n % DOMAINS) for n in range(UPSTREAMS)]
        self.scenario = scenario
        self.result = Result()

    def run(self) -> Result:
        """Play the scenario and return what happened."""
        self.at(0.0, self._arrive)
        self.at(CRASHING_EVERY_S, _ARRIVALS[self.scenario.senders], self)
        self.at(REPORT_S, self._report)
        if self.scenario.loses_domain:
            self.at(DOMAIN_LOST_AT_S, self._lose_domain)
        self.run_until(LENGTH_S)
        return self.result

    def _arrive(self) -> None:
        # Half of the requests carry content of their own, as orders do.
        number = next(self.numbers)
        fingerprint = f'object-{self.rng.randrange(OBJECTS)}'
        if self.rng.random() < 0.5:
            fingerprint = f'order-{number}'
        self.result.sound += 1
        self._execute(fingerprint)
        wait = self.rng.expovariate(REQUESTS_PER_S)
        self.at(self.clock.now + wait, self._arrive)

    def _arrive_crashing(self) -> None:
        self._execute(CRASHING)
        at = self.clock.now + CRASHING_EVERY_S
        self.at(at, self._arrive_crashing)

    def _arrive_of_one_account(self) -> None:
        # Half of them are those of an account for which it is sound.
        is_sound = self.rng.random() < 0.5
        self.result.sound += is_sound
        self._execute(f'{CRASHING}.{SOUND_ACCOUNT if is_sound else 0}')
        at = self.clock.now + ACCOUNTS_EVERY_S
        self.at(at, self._arrive_of_one_account)

    def _arrive_of_all_accounts(self) -> None:
        self._execute(f'{CRASHING}.{self.rng.randrange(ACCOUNTS)}')
        at = self.clock.now + ACCOUNTS_EVERY_S
        self.at(at, self._arrive_of_all_accounts)

    def _execute(self, fingerprint: str) -> None:
        vm = self.rng.choice(VMS)
        verdict = self.ledgers[vm].admit(fingerprint, vm)
        if verdict is Verdict.REFUSE:
            self.result.refused += not is_crashing(fingerprint)
            return
        attempts = 1 if verdict is Verdict.PROBE else ATTEMPTS
        self._send(vm, fingerprint, attempts, ())

    def _send(
        self, vm: str, fingerprint: str, attempts: int, tried: tuple[int, ...]
    ) -> None:
        up = [
            n
            for n, u in enumerate(self.upstreams)
            if n not in tried and u.down_until <= self.clock.now
        ]
        if not up:
            return
        number = self.rng.choice(up)
        in_resets = RESETS[0] <= self.clock.now < RESETS[1]
        is_reset = (
            self.scenario.resets
            and in_resets
            and self.rng.random() < RESET_SHARE
        )
        crashes_it = is_crashing(fingerprint)
        work_s = CRASH_S if is_reset or crashes_it else WORK_S
        self.at(
            self.clock.now + work_s,
            self._end,
            vm,
            fingerprint,
            attempts,
            (*tried, number),
            self.clock.now,
            self.upstreams[number].born,
            is_reset,
        )

    def _end(
        self,
        vm: str,
        fingerprint: str,
        attempts: int,
        tried: tuple[int, ...],
        began_at: float,
        born: float,
        is_reset: bool,
    ) -> None:
        upstream = self.upstreams[tried[-1]]
        ledger = self.ledgers[vm]
        is_alive = upstream.down_until <= self.clock.now
        is_same = upstream.born == born and is_alive
        if is_crashing(fingerprint) and is_same:
            self.result.crashed_at.append(self.clock.now)
            self._crash(upstream, DOWN_S)
            is_same = False
        incarnation = f'{tried[-1]}@{int(upstream.visible * 1000) + 1}'
        if is_same and not is_reset:
            ledger.record(fingerprint, incarnation, began_at, 'answer')
            return
        at_once = self.clock.now - began_at <= 2 * CRASH_S
        is_stale = at_once and self.rng.random() < REUSED_SHARE
        ledger.record(
            fingerprint,
            incarnation,
            began_at,
            'stale' if is_stale else 'lost',
        )
        if isinstance(ledger, quarantine_policies.EarlierLedger) and is_stale:
            # It was no attempt.
            attempts += 1
        is_refused = ledger.admit(fingerprint, vm) is Verdict.REFUSE
        if attempts > 1 and not is_refused:
            self._send(vm, fingerprint, attempts - 1, tried)

    def _crash(self, upstream: Upstream, down_s: float) -> None:
        upstream.down_until = self.clock.now + down_s
        upstream.born = upstream.down_until
        self.at(upstream.born + DIRECTORY_S, self._show, upstream)

    def _show(self, upstream: Upstream) -> None:
        upstream.visible = upstream.born

    def _lose_domain(self) -> None:
        for upstream in self.upstreams:
            if upstream.domain == 0:
                self._crash(upstream, DOMAIN_LOST_FOR_S)

    def _report(self) -> None:
        for vm, ledger in self.ledgers.items():
            for evidence in ledger.take():
                for other, receiver in self.ledgers.items():
                    if other != vm:
                        receiver.merge(evidence)
            if isinstance(ledger, quarantine_policies.PresentLedger):
                ledger.ledger.confirm_survivals(
                    self._incarnation, self.clock.now
                )
        self.at(self.clock.now + REPORT_S, self._report)

    def _incarnation(self, name: str) -> str | None:
        if not name.isdigit():
            return None
        upstream = self.upstreams[int(name)]
        return f'{name}@{int(upstream.visible * 1000) + 1}'


_ARRIVALS: typing.Mapping[Senders, typing.Callable[[Model], None]] = {
    Senders.ANONYMOUS: Model._arrive_crashing,
    Senders.ONE_ACCOUNT: Model._arrive_of_one_account,
    Senders.ALL_ACCOUNTS: Model._arrive_of_all_accounts,
}


def _print_table(
    policies: typing.Mapping[str, Policy],
    scenarios: typing.Mapping[str, Scenario],
) -> None:
    print('| choice | scenario | crashes | late | sound refused | of |')
    print('| --- | --- | --- | --- | --- | --- |')
    for name, policy in policies.items():
        for shown, scenario in scenarios.items():
            results = [Model(policy, scenario, s).run() for s in range(10)]
            cells = (
                sum(len(r.crashed_at) for r in results),
                sum(r.late_crashes for r in results),
                sum(r.refused for r in results),
                sum(r.sound for r in results),
            )
            print(f'| {name} | {shown} |', *(f'{c} |' for c in cells))


def main() -> None:
    """Print the tables, as sums over ten seeds."""
    _print_table(quarantine_policies.POLICIES, SCENARIOS)
    _print_table(quarantine_policies.IDENTITIES, IDENTITY_SCENARIOS)


if __name__ == '__main__':
    main()
