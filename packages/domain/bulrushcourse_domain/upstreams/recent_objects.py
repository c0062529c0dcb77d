"""Objects that each upstream handled recently."""

import collections

import attrs

# Number of objects that an upstream is assumed to keep in memory. The least
# recently handled are evicted first.
DEFAULT_MAX_OBJECTS = 32


@attrs.define
class RecentObjects:
    """Objects that each upstream handled recently for requests of this VM.

    Attributes:
        max_objects: Number of objects that an upstream is assumed to keep in
            memory.
        handled: Objects by upstream, the latest last.
    """

    max_objects: int = DEFAULT_MAX_OBJECTS
    handled: dict[str, collections.OrderedDict[str, None]] = attrs.field(
        factory=dict
    )

    def record(self, upstream: str, object_key: str) -> None:
        """Record that an upstream has handled an object.

        Args:
            upstream: Name of the upstream.
            object_key: Identifier of the object.
        """
        keys = self.handled.setdefault(upstream, collections.OrderedDict())
        keys[object_key] = None
        keys.move_to_end(object_key)
        if len(keys) > self.max_objects:
            keys.popitem(last=False)

    def has_handled(self, upstream: str, object_key: str) -> bool:
        """Return whether an upstream has handled an object recently.

        Args:
            upstream: Name of the upstream.
            object_key: Identifier of the object.
        """
        return object_key in self.handled.get(upstream, ())

    def discard(self, upstream: str) -> None:
        """Discard the objects of an upstream that restarted or was removed.

        Args:
            upstream: Name of the upstream.
        """
        self.handled.pop(upstream, None)
