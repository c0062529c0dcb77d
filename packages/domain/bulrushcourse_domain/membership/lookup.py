"""Answers to "which entry": near regions first, spread by hashing.

Callers fall into a fixed number of buckets. In each bucket the entries are
ordered by rendezvous hashing, so that an entry that goes moves only the
callers that it had, and they spread over all the others. A bucket is ordered
when it is first asked for and kept until the members change: ordering 160
entries for each look-up would by itself use up the control budget.
"""

import typing

import attrs
import xxhash

from bulrushcourse_domain.membership import member

# With 160 entries in a region each has about 100 buckets, so that its part of
# the callers is within about a tenth of the mean.
BUCKETS = 1 << 14
# Alternatives in the first region that has entries, and in each later one. A
# caller tries the next after at most 2 s, so a long answer is of no use.
NEAR_ALTERNATIVES = 3
FAR_ALTERNATIVES = 1
ANSWER_LIMIT = 5

Answer = tuple[member.MemberInfo, ...]


@attrs.define
class Lookup:
    """Look-up answers for one set of members.

    Attributes:
        members: Entries that answers may name.
        nearness: Regions by region of the caller, nearest first; a region
            that is not listed comes last, in order of name.
        by_region: Members by their region.
        answers: Answers by caller's region, then by bucket.
    """

    members: tuple[member.MemberInfo, ...] = ()
    nearness: typing.Mapping[str, tuple[str, ...]] = attrs.field(factory=dict)
    by_region: dict[str, list[member.MemberInfo]] = attrs.field(init=False)
    answers: dict[str, list[Answer | None]] = attrs.field(
        init=False, factory=dict
    )

    def __attrs_post_init__(self) -> None:
        self.by_region = {}
        for found in sorted(self.members, key=lambda m: m.entry):
            self.by_region.setdefault(found.region, []).append(found)

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
        bucket = xxhash.xxh3_64_intdigest(caller.encode()) % BUCKETS
        kept = self.answers.get(region)
        if kept is None:
            kept = self.answers[region] = [None] * BUCKETS
        found = kept[bucket]
        if found is None:
            found = kept[bucket] = self._order(bucket, region)
        return found

    def regions(self, region: str) -> list[str]:
        """Return the regions that have entries, nearest to a region first.

        Args:
            region: Region of the caller.
        """
        order = (region, *self.nearness.get(region, ()))
        rank = {
            name: index for index, name in reversed(list(enumerate(order)))
        }
        return sorted(
            self.by_region, key=lambda name: (rank.get(name, len(order)), name)
        )

    def _order(self, bucket: int, region: str) -> Answer:
        chosen: list[member.MemberInfo] = []
        for name in self.regions(region):
            number = FAR_ALTERNATIVES if chosen else NEAR_ALTERNATIVES
            ranked = sorted(
                self.by_region[name],
                key=lambda m: _score(bucket, m.entry),
                reverse=True,
            )
            chosen += _spread_domains(ranked)[:number]
        return tuple(chosen[:ANSWER_LIMIT])


def _score(bucket: int, entry: str) -> int:
    return xxhash.xxh3_64_intdigest(entry.encode(), seed=bucket)


def _spread_domains(
    ranked: list[member.MemberInfo],
) -> list[member.MemberInfo]:
    """Return members in order, the second from another failure domain.

    A caller whose first entry fell with its failure domain must not wait for
    a second one of the same domain.
    """
    for index, found in enumerate(ranked):
        if found.failure_domain != ranked[0].failure_domain:
            return [ranked[0], found, *ranked[1:index], *ranked[index + 1 :]]
    return ranked
