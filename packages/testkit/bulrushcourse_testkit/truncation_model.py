"""Model of truncated responses: crashes that get through, sound refusals.

Run ``python -m bulrushcourse_testkit.truncation_model`` for the table of
truncated responses in ``docs/decisions/006-what-a-broken-attempt-proves.md``.
It runs the code that decides, with a manual clock.
"""

import enum
import typing

import attrs

from bulrushcourse_domain.attempts import broken
from bulrushcourse_domain.quarantine import crashes
from bulrushcourse_domain.quarantine import probes
from bulrushcourse_testkit import event_model

VMS = ('vm-0', 'vm-1', 'vm-2')
UPSTREAMS = 6
FAULTY = 4
ATTEMPTS = 2
LENGTH_S = 40.0
REPORT_S = 0.3
CHECK_S = 0.3
CRASH_S = 0.02
WORK_S = 0.03
DOWN_S = 2.5
# Time until a restarted upstream's row is known.
DIRECTORY_S = 0.7
CONTACT_S = 3.0
CRASHING, SOUND = 'c.crashing', 'c.sound'
CRASHING_EVERY_S = 2.0
SOUND_EVERY_S = 30.0 / 185.0


class Load(enum.Enum):
    """What arrives.

    Attributes:
        CRASHING: A request that crashes upstreams behind the first bytes of
            the response, beside others.
        CRASHING_ALONE: The same, and nothing else.
        TRUNCATED: A sound request, every second response to which four of six
            upstreams truncate, and nothing else.
        TRUNCATED_BESIDE: The same, beside other requests.
    """

    CRASHING = 'crashes behind the first bytes, beside others'
    CRASHING_ALONE = 'crashes behind the first bytes, alone'
    TRUNCATED = 'sound and truncated, alone'
    TRUNCATED_BESIDE = 'sound and truncated, beside others'


# Time between arrivals in seconds: crashing, sound and truncated, others.
_INTERVALS: typing.Mapping[Load, tuple[float, float, float]] = {
    Load.CRASHING: (CRASHING_EVERY_S, 0.0, 1 / 45),
    Load.CRASHING_ALONE: (CRASHING_EVERY_S, 0.0, 0.0),
    Load.TRUNCATED: (0.0, SOUND_EVERY_S, 0.0),
    Load.TRUNCATED_BESIDE: (0.0, SOUND_EVERY_S, 1 / 45),
}


@attrs.define
class Upstream:
    """An upstream of the model.

    Attributes:
        born: Start of its process.
        down_until: Time until which no process listens.
        shown: Start that the VMs know.
        responses: Number of responses that it may truncate.
    """

    born: int = 1
    down_until: float = 0.0
    shown: int = 1
    responses: int = 0


@attrs.define
class Result(event_model.Result):
    """What a run counts.

    Attributes:
        retried_at: Time of each crash by a retry.
        checks: Connections that check an upstream.
    """

    retried_at: list[float] = attrs.field(factory=list)
    checks: int = 0

    @property
    def late_retries(self) -> int:
        """Retries later than the contact time after the third crash."""
        return event_model.late_events(
            self.crashed_at, self.retried_at, CONTACT_S
        )


class Model(event_model.EventModel):
    """A run with one suspicion of truncated responses."""

    def __init__(
        self, suspicion: broken.Suspicion, load: Load, seed: int
    ) -> None:
        super().__init__(seed)
        self.suspicion = suspicion
        self.ledgers = {vm: crashes.CrashLedger(self.clock) for vm in VMS}
        self.upstreams = [Upstream() for _ in range(UPSTREAMS)]
        self.result = Result()
        for content, every_s in zip(
            (CRASHING, SOUND, ''), _INTERVALS[load], strict=True
        ):
            if every_s:
                self.at(every_s, self._arrive, content, every_s)
        self.at(REPORT_S, self._report)

    def run(self) -> Result:
        """Play the load and return what happened."""
        self.run_until(LENGTH_S)
        return self.result

    def _arrive(self, content: str, every_s: float) -> None:
        self.at(self.clock.now + every_s, self._arrive, content, every_s)
        fingerprint = content or f'c{next(self.numbers)}.other'
        vm = self.rng.choice(VMS)
        is_sound = fingerprint != CRASHING
        self.result.sound += is_sound
        ledger = self.ledgers[vm]
        verdict = ledger.admit(fingerprint, vm, lambda: VMS)
        if verdict is probes.Verdict.REFUSE:
            self.result.refused += is_sound
            return
        attempts = ATTEMPTS
        if verdict is probes.Verdict.PROBE:
            ledger.begin_probe(fingerprint)
            ledger.end_probe(fingerprint)
            attempts = 1
        self._send(vm, fingerprint, attempts, ())

    def _incarnation(self, number: int) -> str:
        return f'u{number}@{self.upstreams[number].shown}'

    def _send(
        self, vm: str, fingerprint: str, attempts: int, tried: tuple[int, ...]
    ) -> None:
        left = [n for n in range(UPSTREAMS) if n not in tried]
        self.rng.shuffle(left)
        for number in left:
            upstream = self.upstreams[number]
            if upstream.down_until <= self.clock.now:
                break
            self.ledgers[vm].record_end(self._incarnation(number))
            tried = (*tried, number)
        else:
            return
        took_s = CRASH_S if fingerprint == CRASHING else WORK_S
        self.at(
            self.clock.now + took_s,
            self._end,
            vm,
            fingerprint,
            attempts - 1,
            (*tried, number),
            upstream.born,
        )

    def _end(
        self,
        vm: str,
        fingerprint: str,
        attempts: int,
        tried: tuple[int, ...],
        born: int,
    ) -> None:
        number = tried[-1]
        upstream = self.upstreams[number]
        ledger = self.ledgers[vm]
        incarnation = self._incarnation(number)
        if upstream.born != born:
            # The process crashed meanwhile by another request.
            ledger.record_loss(fingerprint, incarnation)
        elif fingerprint == CRASHING:
            self._crash(upstream)
            self.result.crashed_at.append(self.clock.now)
            if attempts < ATTEMPTS - 1:
                self.result.retried_at.append(self.clock.now)
            self._record_truncated(ledger, fingerprint, number)
        elif fingerprint == SOUND and self._truncates(number):
            self._record_truncated(ledger, fingerprint, number)
        else:
            ledger.record_answer(
                fingerprint, incarnation, self.clock.now - WORK_S
            )
            return
        if attempts and not ledger.is_quarantined(fingerprint):
            self._send(vm, fingerprint, attempts, tried)

    def _truncates(self, number: int) -> bool:
        self.upstreams[number].responses += 1
        return number < FAULTY and self.upstreams[number].responses % 2 == 1

    def _crash(self, upstream: Upstream) -> None:
        upstream.born += 1
        upstream.down_until = self.clock.now + DOWN_S
        self.at(upstream.down_until + DIRECTORY_S, self._show, upstream)

    def _show(self, upstream: Upstream) -> None:
        upstream.shown = upstream.born
        number = self.upstreams.index(upstream)
        for ledger in self.ledgers.values():
            ledger.record_restart(f'u{number}', self._incarnation(number))

    def _record_truncated(
        self, ledger: crashes.CrashLedger, fingerprint: str, number: int
    ) -> None:
        incarnation = self._incarnation(number)
        if self.suspicion is broken.Suspicion.PRESUMED:
            ledger.record_loss(fingerprint, incarnation)
        elif self.suspicion is broken.Suspicion.POSSIBLE and (
            ledger.record_possible_loss(fingerprint, incarnation)
        ):
            self.at(
                self.clock.now + CHECK_S,
                self._check,
                ledger,
                number,
                incarnation,
            )

    def _check(
        self, ledger: crashes.CrashLedger, number: int, incarnation: str
    ) -> None:
        if not ledger.unconfirmed.table.of_upstream(incarnation):
            return
        self.result.checks += 1
        if self.upstreams[number].down_until > self.clock.now:
            ledger.record_end(incarnation)
        else:
            ledger.record_alive(incarnation, self.clock.now)

    def _report(self) -> None:
        self.at(self.clock.now + REPORT_S, self._report)
        for vm, ledger in self.ledgers.items():
            for evidence in ledger.outbox.take(self.clock.now):
                for other, receiver in self.ledgers.items():
                    if other != vm:
                        receiver.merge(attrs.evolve(evidence, is_own=False))


def main() -> None:
    """Print the table, as sums over ten seeds."""
    print(
        '| suspicion | load | crashes | late retries | sound refused |', end=''
    )
    print(' of | checks |\n| --- | --- | --- | --- | --- | --- | --- |')
    for suspicion in broken.Suspicion:
        for load in Load:
            results = [Model(suspicion, load, s).run() for s in range(10)]
            cells = (
                sum(len(r.crashed_at) for r in results),
                sum(r.late_retries for r in results),
                sum(r.refused for r in results),
                sum(r.sound for r in results),
                sum(r.checks for r in results),
            )
            print(
                f'| {suspicion.value} | {load.value} |',
                *(f'{c} |' for c in cells),
            )


if __name__ == '__main__':
    main()
