"""Losses of upstreams by request, by upstream and by content."""

import collections

import attrs

from bulrushcourse_domain.quarantine import evidence as evidences
from bulrushcourse_domain.quarantine import fingerprints

Evidence = evidences.Evidence

MAX_FINGERPRINTS = 5000


@attrs.define
class LossTable:
    """The losses that have not been disproved.

    Attributes:
        by_fingerprint: Losses by fingerprint and incarnation of the upstream;
            the request that lost an upstream last is the last.
        by_upstream: Fingerprints of these losses by incarnation.
        by_content: The same fingerprints by the content of the request.
    """

    by_fingerprint: collections.OrderedDict[str, dict[str, Evidence]] = (
        attrs.field(factory=collections.OrderedDict)
    )
    by_upstream: dict[str, set[str]] = attrs.field(factory=dict)
    by_content: dict[str, set[str]] = attrs.field(factory=dict)

    def of_request(self, fingerprint: str) -> list[Evidence]:
        """Return the losses of a request.

        Args:
            fingerprint: What identifies it.
        """
        return list(self.by_fingerprint.get(fingerprint, {}).values())

    def of_upstream(self, upstream: str) -> list[Evidence]:
        """Return the losses of an upstream.

        Args:
            upstream: Its incarnation.
        """
        return [
            self.by_fingerprint[fingerprint][upstream]
            for fingerprint in self.by_upstream.get(upstream, ())
        ]

    def of_content(self, content: str) -> list[Evidence]:
        """Return the losses of all callers' requests with a content.

        Args:
            content: Hash of the content.
        """
        return [
            loss
            for fingerprint in self.by_content.get(content, ())
            for loss in self.by_fingerprint[fingerprint].values()
        ]

    def of_name(self, name: str) -> list[Evidence]:
        """Return the losses by which a name may be quarantined.

        Args:
            name: Fingerprint of a request, or a content.
        """
        return self.of_content(name) or self.of_request(name)

    def has(self, fingerprint: str, upstream: str) -> bool:
        """Return whether there is a loss of an upstream by a request.

        Args:
            fingerprint: What identifies the request.
            upstream: Incarnation of the upstream.
        """
        return upstream in self.by_fingerprint.get(fingerprint, ())

    def add(self, loss: Evidence) -> None:
        """Add a loss; of two with the same upstream the later one is kept.

        Args:
            loss: The loss.
        """
        losses = self.by_fingerprint.setdefault(loss.fingerprint, {})
        earlier = losses.get(loss.upstream)
        if earlier is None or earlier.at < loss.at:
            losses[loss.upstream] = loss
        self.by_upstream.setdefault(loss.upstream, set()).add(loss.fingerprint)
        content = fingerprints.content_of(loss.fingerprint)
        if content:
            self.by_content.setdefault(content, set()).add(loss.fingerprint)
        self.by_fingerprint.move_to_end(loss.fingerprint)
        if len(self.by_fingerprint) > MAX_FINGERPRINTS:
            self.discard(next(iter(self.by_fingerprint)))

    def remove(self, loss: Evidence) -> None:
        """Remove a loss that is in the table.

        Args:
            loss: The loss.
        """
        losses = self.by_fingerprint[loss.fingerprint]
        del losses[loss.upstream]
        _discard(self.by_upstream, loss.upstream, loss.fingerprint)
        if losses:
            return
        del self.by_fingerprint[loss.fingerprint]
        content = fingerprints.content_of(loss.fingerprint)
        if content:
            _discard(self.by_content, content, loss.fingerprint)

    def discard(self, fingerprint: str) -> list[Evidence]:
        """Remove and return all losses of a request.

        Args:
            fingerprint: What identifies it.
        """
        removed = self.of_request(fingerprint)
        for loss in removed:
            self.remove(loss)
        return removed


def _discard(index: dict[str, set[str]], key: str, fingerprint: str) -> None:
    """Remove a fingerprint from an index, and its key with the last one."""
    index[key].discard(fingerprint)
    if not index[key]:
        del index[key]
