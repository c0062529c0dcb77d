"""Answers to callers that ask which VMs to use."""

import attrs

from bulrushcourse_domain.fleet import fleet

# Look-ups come hundreds of times a second, and the VMs that serve change
# seldom. Callers keep an answer far longer than this.
ANSWER_AGE_S = 0.1


@attrs.define
class LookupAnswers:
    """Addresses for callers, kept for a moment.

    Attributes:
        members: The VMs.
        made_at: When the kept answers were made.
        kept: Addresses by region of the caller and home regions of the host.
    """

    members: fleet.Fleet
    made_at: float = float('-inf')
    kept: dict[tuple[str, frozenset[str]], tuple[str, ...]] = attrs.field(
        factory=dict
    )

    def addresses(self, region: str, homes: frozenset[str]) -> tuple[str, ...]:
        """Return the addresses that a caller of a region shall use.

        Args:
            region: Region of the caller.
            homes: Home regions of the host, empty if it has none.
        """
        now = self.members.clock.monotonic()
        if now - self.made_at > ANSWER_AGE_S:
            self.kept.clear()
            self.made_at = now
        key = region, homes
        if key not in self.kept:
            self.kept[key] = fleet.select_addresses(
                self.members.serving(), region, homes
            )
        return self.kept[key]
