"""The aggregate that runs the keys of one incarnation at most once."""

import enum
import itertools

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.claims import claim as claims
from bulrushcourse_domain.claims import keys
from bulrushcourse_domain.claims import outcomes

KEY_LIFETIME_S = 900.0

# 20,000 keys of about 0.5 kB are 10 MB; over 900 s of lifetime and 900 s of
# retention one entry sustains 11 keys/s, nine entries 100 keys/s.
MAX_KEYS = 20_000
MAX_ANSWER_BYTES = 32 << 20


class KeyCheck(enum.Enum):
    """What an incarnation finds when it is asked to run a key."""

    FIRST = 'first'
    RUNNING = 'running'
    FINAL = 'final'
    OTHER_REQUEST = 'other-request'
    OTHER_SERVICE = 'other-service'
    FOREIGN = 'foreign'
    FORGOTTEN = 'forgotten'
    INVALID = 'invalid'


@attrs.define
class KeyRecord:
    """State of a key that was sent at least once.

    Attributes:
        digest: Digest of the first request with the key.
        reply: The outcome, ``None`` while the run is under way.
    """

    digest: str
    reply: outcomes.Reply | None = None


@attrs.define
class IssuedKeys:
    """Keys of one incarnation.

    A key can start a run only while it is in ``unused``, which it leaves for
    good at its first use or at the end of its lifetime. A key found neither
    there nor in ``records`` may have run and been forgotten.

    Attributes:
        entry: Name of this entry.
        incarnation: Identifier of this process.
        secret: The secret that entries share.
        clock: Source of time.
        max_keys: Largest number of keys that are kept.
        max_answer_bytes: Largest size of all kept answers.
        unused: End of lifetime by key that was never sent.
        records: State by key that was sent, oldest first.
        ended: End of retention by key with an outcome, oldest first.
        answer_bytes: Size of all kept answers.
        number: Number of keys issued.
    """

    entry: str
    incarnation: str
    secret: bytes
    clock: clocks.Clock
    max_keys: int = MAX_KEYS
    max_answer_bytes: int = MAX_ANSWER_BYTES
    unused: dict[str, float] = attrs.field(factory=dict)
    records: dict[str, KeyRecord] = attrs.field(factory=dict)
    ended: dict[str, float] = attrs.field(factory=dict)
    answer_bytes: int = 0
    number: int = 0

    def issue(self, service: str, count: int) -> tuple[str, ...]:
        """Return new keys, fewer than asked for if memory is short.

        Args:
            service: Service that the keys are for.
            count: Number of keys wanted.

        Examples:
            >>> issued = IssuedKeys('e', 'i', b's', clocks.ManualClock())
            >>> (key,) = issued.issue('orders', 1)
            >>> issued.check_request(key, 'orders', 'd')
            <KeyCheck.FIRST: 'first'>
        """
        self._forget()
        now = self.clock.monotonic()
        free = self.max_keys - len(self.unused) - len(self.records)
        made = []
        for _ in range(min(count, free)):
            self.number += 1
            key = keys.IssuedKey(
                self.entry,
                self.incarnation,
                service,
                int(now * 1000),
                self.number,
            )
            text = keys.sign_key(self.secret, key)
            self.unused[text] = now + KEY_LIFETIME_S
            made.append(text)
        return tuple(made)

    def check_request(self, text: str, service: str, digest: str) -> KeyCheck:
        """Return what a request with a key means, and note its first use.

        Args:
            text: The key.
            service: Service of the request.
            digest: Digest of the request.
        """
        key = keys.read_key(self.secret, text)
        if key is None:
            return KeyCheck.INVALID
        if key.service != service:
            return KeyCheck.OTHER_SERVICE
        if not self.may_run(key):
            return KeyCheck.FOREIGN
        self._forget()
        record = self.records.get(text)
        if record is not None:
            return _meet_record(record, digest)
        if self.unused.pop(text, None) is None:
            return KeyCheck.FORGOTTEN
        self.records[text] = KeyRecord(digest)
        return KeyCheck.FIRST

    def may_run(self, key: keys.IssuedKey) -> bool:
        """Return whether this process is the one that issued a key.

        Args:
            key: An authentic key.
        """
        mine = (self.entry, self.incarnation)
        return (key.entry, key.incarnation) == mine

    def finish(self, text: str, reply: outcomes.Reply) -> None:
        """Record the outcome of the only run of a key.

        Args:
            text: The key.
            reply: What its callers are told.

        Raises:
            claims.ClaimError: If the key has an outcome or was never sent.
        """
        record = self.records.get(text)
        if record is None or record.reply is not None:
            raise claims.ClaimError('no run of this key is under way')
        record.reply = reply
        self.ended[text] = self.clock.monotonic() + claims.RETENTION_S
        self.answer_bytes += _size(reply)
        self._drop_answers()

    def reply(self, text: str) -> outcomes.Reply:
        """Return what may be said of a key of this incarnation.

        Args:
            text: The key.
        """
        record = self.records.get(text)
        if record is None:
            reason = 'not-sent' if text in self.unused else 'forgotten'
            return outcomes.Reply(outcomes.Outcome.UNKNOWN, reason)
        if record.reply is None:
            return outcomes.Reply(outcomes.Outcome.UNKNOWN, 'under-way')
        return record.reply

    def _forget(self) -> None:
        now = self.clock.monotonic()
        for text in _due(self.unused, now):
            del self.unused[text]
        for text in _due(self.ended, now):
            del self.ended[text]
            self.answer_bytes -= _size(self.records.pop(text).reply)

    def _drop_answers(self) -> None:
        for text in self.ended:
            if self.answer_bytes <= self.max_answer_bytes:
                return
            record = self.records[text]
            if record.reply is not None and record.reply.answer is not None:
                self.answer_bytes -= _size(record.reply)
                record.reply = outcomes.Reply(
                    outcomes.Outcome.UNKNOWN, 'answer-not-kept'
                )


def _meet_record(record: KeyRecord, digest: str) -> KeyCheck:
    if record.digest != digest:
        return KeyCheck.OTHER_REQUEST
    return KeyCheck.RUNNING if record.reply is None else KeyCheck.FINAL


def _due(ends: dict[str, float], now: float) -> list[str]:
    """Return the keys whose time has come; times grow along the dict."""
    return list(itertools.takewhile(lambda text: ends[text] <= now, ends))


def _size(reply: outcomes.Reply | None) -> int:
    if reply is None or reply.answer is None:
        return 0
    return len(reply.answer.body)
