"""Which decisions the knowledge of the active configuration supports.

Some decisions cannot be taken back: a request that ran outside its home
regions has left them, and callers do not repeat a request after 404 or 401.
They need evidence that the active configuration is not an outdated one.
"""

import enum
import math

import attrs

from bulrushcourse_domain import clock as clocks

# A process that did not run for this share of the time in which
# configurations must be active may have missed one.
PAUSE_SHARE = 0.5


class Source(enum.Enum):
    """What confirmed the active configuration."""

    NONE = 'none'
    STORE = 'store'
    PEERS = 'peers'


@attrs.frozen
class Terms:
    """Agreed times behind the decisions.

    Attributes:
        contact_s: Time without contact after which a VM counts as cut off.
            A configuration that cannot be confirmed for this long is used.
        apply_s: Time in which a configuration must be active.
    """

    contact_s: float
    apply_s: float


@attrs.define
class Freshness:
    """What a VM knows about the age of its active configuration.

    A process that has started, or that did not run for a while, holds its
    configuration unconfirmed until it has read the store, or until another VM
    has answered a question that was asked since.

    Attributes:
        clock: Source of time, which counts suspended time.
        observed_at: Time when the process last showed that it runs.
        doubted_at: Time since when the configuration is to be confirmed.
        confirmed_at: Time at which the configuration certainly was the newest
            one that its source knew.
        source: The source.
        contact_at: Time of the last answer of the store, or of the last
            report of a VM whose configuration is not older.
        newest_heard: Newest version that another VM has reported.
        heard_at: Time of the first report of that version.
        unreadable: Why the configuration that is stored now cannot be read,
            so that the active one is an earlier one; empty if it can.

    Examples:
        >>> clock = clocks.ManualClock(10.0)
        >>> terms = Terms(contact_s=3.0, apply_s=2.0)
        >>> freshness = start(clock)
        >>> freshness.may_send_home_bound(terms)
        False
        >>> freshness.confirm(10.0, Source.STORE)
        >>> freshness.may_send_home_bound(terms)
        True
        >>> clock.advance(5.0)
        >>> freshness.observe(terms), freshness.may_send_home_bound(terms)
        (True, False)
    """

    clock: clocks.Clock
    observed_at: float
    doubted_at: float
    confirmed_at: float = -math.inf
    source: Source = Source.NONE
    contact_at: float = -math.inf
    newest_heard: int = 0
    heard_at: float = -math.inf
    unreadable: str = ''

    def observe(self, terms: Terms) -> bool:
        """Record that the process runs.

        Args:
            terms: The agreed times.

        Returns:
            Whether it did not run for so long that its configuration has to
            be confirmed.
        """
        now = self.clock.monotonic()
        pause_s, self.observed_at = now - self.observed_at, now
        if pause_s <= terms.apply_s * PAUSE_SHARE:
            return False
        silent_s = now - pause_s - self.contact_at
        if pause_s < terms.contact_s <= silent_s:
            # Without contact before the pause it has missed nothing by it.
            return False
        self.doubted_at = now
        return True

    def doubt(self) -> None:
        """Record that the active configuration has to be confirmed."""
        self.doubted_at = self.clock.monotonic()

    def confirm(self, at: float, source: Source) -> None:
        """Record that a source was asked and that its answer was applied.

        Args:
            at: Time before the question was sent.
            source: The source.
        """
        if at > self.confirmed_at:
            self.confirmed_at, self.source = at, source
        self.record_contact()

    def record_contact(self) -> None:
        """Record an answer of the store."""
        self.contact_at = self.clock.monotonic()

    def record_stored(self, unreadable: str) -> None:
        """Record whether the stored configuration can be read.

        Args:
            unreadable: Why not, empty if it can.
        """
        self.unreadable = unreadable

    def record_report(self, version: int, active_version: int) -> None:
        """Record a report of another VM.

        Args:
            version: Version of its configuration.
            active_version: Version of the active configuration.
        """
        if version >= active_version:
            self.record_contact()
        if version > self.newest_heard:
            self.newest_heard = version
            self.heard_at = self.clock.monotonic()

    def is_unconfirmed(self, terms: Terms) -> bool:
        """Return whether the configuration has to be confirmed before use.

        Args:
            terms: The agreed times.
        """
        return (
            self.confirmed_at < self.doubted_at
            and self.clock.monotonic() - self.doubted_at < terms.contact_s
        )

    def is_behind(self, active_version: int, terms: Terms) -> bool:
        """Return whether another VM has just reported a newer version.

        One that does not arrive in time is invalid here.

        Args:
            active_version: Version of the active configuration.
            terms: The agreed times.
        """
        return (
            self.newest_heard > active_version
            and self.clock.monotonic() - self.heard_at < terms.contact_s
        )

    def may_send_home_bound(self, terms: Terms) -> bool:
        """Return whether requests with home regions may be sent.

        Args:
            terms: The agreed times.
        """
        return not self.is_unconfirmed(terms)

    def may_deny(self, active_version: int, terms: Terms) -> bool:
        """Return whether callers may be told that something does not exist.

        Args:
            active_version: Version of the active configuration.
            terms: The agreed times.
        """
        return (
            not self.is_unconfirmed(terms)
            and not self.is_behind(active_version, terms)
            and self.contact_age_s() <= terms.contact_s
            and not self.unreadable
        )

    def contact_age_s(self) -> float:
        """Return the time since the last contact, infinite without one."""
        return self.clock.monotonic() - self.contact_at

    def age_s(self) -> float:
        """Return the time since the confirmation, infinite without one."""
        return self.clock.monotonic() - self.confirmed_at


def start(clock: clocks.Clock) -> Freshness:
    """Return what a process knows that has just started.

    Args:
        clock: Source of time.
    """
    now = clock.monotonic()
    return Freshness(clock, observed_at=now, doubted_at=now)
