"""Which upstreams have handled an object lately."""

import collections

import attrs

# Objects that an upstream is assumed to keep. More are forgotten first.
KEPT_OBJECTS = 32


@attrs.define
class RecentObjects:
    """Objects that each upstream handled lately, for this VM's requests.

    Attributes:
        kept: Largest number of objects that an upstream is assumed to keep.
        handled: Objects by upstream, the latest last.
    """

    kept: int = KEPT_OBJECTS
    handled: dict[str, collections.OrderedDict[str, None]] = attrs.field(
        factory=dict
    )

    def record(self, upstream: str, object_key: str) -> None:
        """Note that an upstream has handled an object.

        Args:
            upstream: Name of the upstream.
            object_key: Identifier of the object.
        """
        keys = self.handled.setdefault(upstream, collections.OrderedDict())
        keys[object_key] = None
        keys.move_to_end(object_key)
        if len(keys) > self.kept:
            keys.popitem(last=False)

    def has_handled(self, upstream: str, object_key: str) -> bool:
        """Return whether an upstream has handled an object lately.

        Args:
            upstream: Name of the upstream.
            object_key: Identifier of the object.
        """
        return object_key in self.handled.get(upstream, ())

    def discard(self, upstream: str) -> None:
        """Drop what is known of an upstream that restarted or is gone.

        Args:
            upstream: Name of the upstream.
        """
        self.handled.pop(upstream, None)
