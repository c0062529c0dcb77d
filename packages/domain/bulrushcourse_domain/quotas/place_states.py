"""Where a VM asks for the tokens of an account, and when it refuses.

Load: requests that arrive at a VM whose region has used up its share of the
quota, or whose owner cannot be reached, while other places have tokens left.
"""

import random
import typing

import attrs

# A place without tokens is not asked again for at least this long, which
# bounds the messages for an account that sends many times its quota.
MIN_DRY_S = 0.1
MAX_DRY_S = 5.0
# A place that could not tell is asked again after this time.
UNKNOWN_S = 0.1
# Refused requests return within this time after there are tokens, so that
# they do not all meet.
RETURN_SPREAD_S = 2.0


@attrs.define
class PlaceStates:
    """Places that had no tokens for an account, or could not tell.

    Attributes:
        dry_until: Time until which a place has no tokens, by place.
        unknown_until: Time until which a place is not asked because it could
            not tell, by place.
    """

    dry_until: dict[str, float] = attrs.field(factory=dict)
    unknown_until: dict[str, float] = attrs.field(factory=dict)

    def record_dry(self, place: str, wait_s: float, now: float) -> None:
        """Record that a place has no tokens.

        Args:
            place: The place.
            wait_s: Time until it has some, in seconds.
            now: Monotonic seconds.
        """
        self.dry_until[place] = now + min(MAX_DRY_S, max(MIN_DRY_S, wait_s))

    def record_unknown(self, place: str, now: float) -> None:
        """Record that a place could not tell or could not be reached.

        Args:
            place: The place.
            now: Monotonic seconds.
        """
        self.unknown_until[place] = now + UNKNOWN_S

    def record_granted(self, place: str) -> None:
        """Record that a place granted tokens.

        Args:
            place: The place.
        """
        self.dry_until.pop(place, None)
        self.unknown_until.pop(place, None)

    def usable(
        self, places: typing.Iterable[str], now: float
    ) -> tuple[str, ...]:
        """Return the places that may have tokens, in the given order.

        Args:
            places: Places that grant shares of the account's quota.
            now: Monotonic seconds.

        Examples:
            >>> states = PlaceStates()
            >>> states.record_dry('a', 1.0, 10.0)
            >>> states.usable(['a', 'b'], 10.5), states.usable(['a'], 11.0)
            (('b',), ('a',))
        """
        return tuple(
            place
            for place in places
            if self.dry_until.get(place, now) <= now
            and self.unknown_until.get(place, now) <= now
        )

    def is_unknown(self, places: typing.Iterable[str], since: float) -> bool:
        """Return whether no place has said that it has no tokens.

        Args:
            places: Places that grant shares of the account's quota.
            since: Time when a request arrived; a place may have tokens again
                by the time when the last one answers.
        """
        return all(
            self.dry_until.get(place, since) <= since for place in places
        )

    def is_over_quota(
        self, places: typing.Iterable[str], since: float
    ) -> bool:
        """Return whether every place has said that it has no tokens.

        Args:
            places: Places that grant shares of the account's quota.
            since: Time when a request arrived.
        """
        return all(
            self.dry_until.get(place, since) > since for place in places
        )

    def retry_after_s(
        self,
        places: typing.Iterable[str],
        now: float,
        rng: random.Random,
    ) -> float:
        """Return when a refused request should return, in seconds.

        Args:
            places: Places that grant shares of the account's quota.
            now: Monotonic seconds.
            rng: Source of randomness.
        """
        known = (
            max(
                self.dry_until.get(place, now),
                self.unknown_until.get(place, now),
            )
            for place in places
        )
        wait_s = max(MIN_DRY_S, min(known, default=now) - now)
        return wait_s + rng.uniform(0.0, RETURN_SPREAD_S)
