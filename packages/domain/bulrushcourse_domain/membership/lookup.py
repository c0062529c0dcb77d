"""Look-up of entries for a caller: near regions first, spread by hashing.

Callers are hashed into a fixed number of buckets. In each bucket the entries
are ordered by rendezvous hashing, so the loss of an entry moves only the
callers that it had, and spreads them over all others. The order of a bucket is
computed when it is first needed and cached until the members change: ordering
160 entries for each look-up would by itself exhaust the control-plane budget.
"""

import typing

import attrs
import xxhash

from bulrushcourse_domain.membership import member

# With 160 entries in a region each is first in about 100 buckets, so that its
# share of the callers is within about 10 % of the mean.
BUCKET_COUNT = 1 << 14
# Number of entries that an answer names in the nearest region that has any,
# and in each other region. A caller tries the next entry after at most 2 s, so
# it would hardly reach the end of a longer answer.
ENTRIES_IN_NEAREST_REGION = 3
ENTRIES_IN_OTHER_REGION = 1
MAX_ENTRIES = 5

Answer = tuple[member.MemberInfo, ...]


@attrs.define
class Lookup:
    """Look-up answers for a fixed set of members.

    Attributes:
        members: Entries that answers may name.
        nearest_regions: Other regions, nearest first, by region of the caller;
            regions that are not listed come last, in order of name.
        by_region: Members by region, in order of name.
        answers: Cached answers by region of the caller, then by bucket.
    """

    members: tuple[member.MemberInfo, ...] = ()
    nearest_regions: typing.Mapping[str, tuple[str, ...]] = attrs.field(
        factory=dict
    )
    by_region: dict[str, list[member.MemberInfo]] = attrs.field(init=False)
    answers: dict[str, list[Answer | None]] = attrs.field(
        init=False, factory=dict
    )

    def __attrs_post_init__(self) -> None:
        self.by_region = {}
        for entry in sorted(self.members, key=lambda m: m.entry):
            self.by_region.setdefault(entry.region, []).append(entry)

    def answer(self, caller: str, region: str) -> Answer:
        """Return entries for a caller, in order of preference.

        Args:
            caller: The caller's address or another stable name.
            region: Region nearest to the caller.

        Examples:
            >>> north = member.MemberInfo('a', 'a1', 'vm-a', 'north')
            >>> south = member.MemberInfo('b', 'b1', 'vm-b', 'south')
            >>> lookup = Lookup((south, north))
            >>> [m.entry for m in lookup.answer('10.0.0.1', 'north')]
            ['a', 'b']
        """
        bucket = xxhash.xxh3_64_intdigest(caller.encode()) % BUCKET_COUNT
        cached = self.answers.get(region)
        if cached is None:
            cached = self.answers[region] = [None] * BUCKET_COUNT
        answer = cached[bucket]
        if answer is None:
            answer = cached[bucket] = self._rank_entries(bucket, region)
        return answer

    def regions_by_distance(self, region: str) -> list[str]:
        """Return the regions that have entries, nearest to a region first.

        Args:
            region: Region of the caller.
        """
        order = (region, *self.nearest_regions.get(region, ()))
        rank = {
            name: index for index, name in reversed(list(enumerate(order)))
        }
        return sorted(
            self.by_region, key=lambda name: (rank.get(name, len(order)), name)
        )

    def _rank_entries(self, bucket: int, region: str) -> Answer:
        chosen: list[member.MemberInfo] = []
        for name in self.regions_by_distance(region):
            count = (
                ENTRIES_IN_OTHER_REGION
                if chosen
                else ENTRIES_IN_NEAREST_REGION
            )
            ranked = sorted(
                self.by_region[name],
                key=lambda m: _score(bucket, m.entry),
                reverse=True,
            )
            chosen += _spread_domains(ranked)[:count]
        return tuple(chosen[:MAX_ENTRIES])


def _score(bucket: int, entry: str) -> int:
    return xxhash.xxh3_64_intdigest(entry.encode(), seed=bucket)


def _spread_domains(
    ranked: list[member.MemberInfo],
) -> list[member.MemberInfo]:
    """Move the first member of another failure domain to the second place.

    A caller whose first entry was lost with its failure domain should not
    waste its second try on the same domain.
    """
    for index, other in enumerate(ranked):
        if other.failure_domain != ranked[0].failure_domain:
            return [ranked[0], other, *ranked[1:index], *ranked[index + 1 :]]
    return ranked
