"""Aggregate that lets each key of one incarnation start at most one run."""

import enum
import itertools

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.claims import claim as claims
from bulrushcourse_domain.claims import keys
from bulrushcourse_domain.claims import outcomes

KEY_LIFETIME_S = 900.0

# 20,000 keys of about 0.5 kB take 10 MB. A key is kept for up to 900 s of
# lifetime and 900 s of retention, so one entry sustains 11 keys/s and nine
# entries sustain 100 keys/s.
MAX_KEYS = 20_000
MAX_ANSWER_BYTES = 32 << 20


class KeyCheck(enum.Enum):
    """What the issuing incarnation knows about a key in a request."""

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
    """State of a key that a caller has used at least once.

    Attributes:
        digest: Digest of the first request with the key.
        reply: Reply with the outcome, ``None`` while the request runs.
    """

    digest: str
    reply: outcomes.Reply | None = None


@attrs.define
class IssuedKeys:
    """Keys issued by one incarnation of an entry.

    A key can start a run only while it is in ``unused``. It is removed from
    there for good at its first use or when its lifetime ends. A key that is
    neither in ``unused`` nor in ``records`` may have run before its record
    expired.

    Attributes:
        entry: Name of this entry.
        incarnation: Identifier of this process.
        secret: Secret shared by all entries.
        clock: Source of time.
        max_keys: Maximum number of keys in ``unused`` and ``records``.
        max_answer_bytes: Maximum total size of the stored answer bodies.
        unused: End of lifetime of each unused key, in clock seconds, oldest
            first.
        records: State of each used key, oldest first.
        retention_ends: End of retention of each key with an outcome, in clock
            seconds, oldest first.
        answer_bytes: Total size of the stored answer bodies.
        number: Number of keys issued so far.
    """

    entry: str
    incarnation: str
    secret: bytes
    clock: clocks.Clock
    max_keys: int = MAX_KEYS
    max_answer_bytes: int = MAX_ANSWER_BYTES
    unused: dict[str, float] = attrs.field(factory=dict)
    records: dict[str, KeyRecord] = attrs.field(factory=dict)
    retention_ends: dict[str, float] = attrs.field(factory=dict)
    answer_bytes: int = 0
    number: int = 0

    def issue(self, service: str, count: int) -> tuple[str, ...]:
        """Issue keys, fewer than requested once ``max_keys`` is reached.

        Args:
            service: Service that the keys are for.
            count: Number of keys requested.

        Examples:
            >>> keys = IssuedKeys('e', 'i', b's', clocks.ManualClock())
            >>> (key,) = keys.issue('orders', 1)
            >>> keys.check_request(key, 'orders', 'd')
            <KeyCheck.FIRST: 'first'>
        """
        self._remove_expired()
        now = self.clock.monotonic()
        free = self.max_keys - len(self.unused) - len(self.records)
        issued = []
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
            issued.append(text)
        return tuple(issued)

    def check_request(self, text: str, service: str, digest: str) -> KeyCheck:
        """Check a request with a key; the first use is recorded.

        Args:
            text: The key.
            service: Service of the request.
            digest: Digest of the request.
        """
        key = keys.verify_key(self.secret, text)
        if key is None:
            return KeyCheck.INVALID
        if key.service != service:
            return KeyCheck.OTHER_SERVICE
        if not self.may_run(key):
            return KeyCheck.FOREIGN
        self._remove_expired()
        record = self.records.get(text)
        if record is not None:
            return _meet_record(record, digest)
        if self.unused.pop(text, None) is None:
            return KeyCheck.FORGOTTEN
        self.records[text] = KeyRecord(digest)
        return KeyCheck.FIRST

    def may_run(self, key: keys.IssuedKey) -> bool:
        """Return whether this process issued a key and so may run it.

        Args:
            key: A key whose signature is valid.
        """
        issuer = (self.entry, self.incarnation)
        return (key.entry, key.incarnation) == issuer

    def finish(self, text: str, reply: outcomes.Reply) -> None:
        """Record the outcome of the run of a key.

        Args:
            text: The key.
            reply: Reply to all requests with the key.

        Raises:
            claims.ClaimError: If the key is unused, expired or has an outcome.
        """
        record = self.records.get(text)
        if record is None or record.reply is not None:
            raise claims.ClaimError('no request with this key is running')
        record.reply = reply
        self.retention_ends[text] = self.clock.monotonic() + claims.RETENTION_S
        self.answer_bytes += _body_bytes(reply)
        self._evict_answers()

    def reply(self, text: str) -> outcomes.Reply:
        """Return the current reply for a key of this incarnation.

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

    def _remove_expired(self) -> None:
        now = self.clock.monotonic()
        for text in _expired_keys(self.unused, now):
            del self.unused[text]
        for text in _expired_keys(self.retention_ends, now):
            del self.retention_ends[text]
            self.answer_bytes -= _body_bytes(self.records.pop(text).reply)

    def _evict_answers(self) -> None:
        for text in self.retention_ends:
            if self.answer_bytes <= self.max_answer_bytes:
                return
            record = self.records[text]
            if record.reply is not None and record.reply.answer is not None:
                self.answer_bytes -= _body_bytes(record.reply)
                record.reply = outcomes.Reply(
                    outcomes.Outcome.UNKNOWN, 'answer-not-kept'
                )


def _meet_record(record: KeyRecord, digest: str) -> KeyCheck:
    if record.digest != digest:
        return KeyCheck.OTHER_REQUEST
    return KeyCheck.RUNNING if record.reply is None else KeyCheck.FINAL


def _expired_keys(ends: dict[str, float], now: float) -> list[str]:
    """Return the keys that have expired; the dict is ordered by end time."""
    return list(itertools.takewhile(lambda text: ends[text] <= now, ends))


def _body_bytes(reply: outcomes.Reply | None) -> int:
    if reply is None or reply.answer is None:
        return 0
    return len(reply.answer.body)
