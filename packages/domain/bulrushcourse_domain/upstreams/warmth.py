"""Which upstreams have handled an object lately."""

import collections
import typing

import attrs
import xxhash

# Objects that an upstream is assumed to keep. More are forgotten first.
KEPT_OBJECTS = 32


@attrs.define
class Warmth:
    """Objects that each upstream handled lately, for this VM's requests.

    Attributes:
        kept: Largest number of objects that an upstream is assumed to keep.
        handled: Objects by upstream, the latest last.
    """

    kept: int = KEPT_OBJECTS
    handled: dict[str, collections.OrderedDict[str, None]] = attrs.field(
        factory=dict
    )

    def note(self, upstream: str, thing: str) -> None:
        """Note that an upstream has handled an object.

        Args:
            upstream: Name of the upstream.
            thing: Identifier of the object.
        """
        things = self.handled.setdefault(upstream, collections.OrderedDict())
        things[thing] = None
        things.move_to_end(thing)
        if len(things) > self.kept:
            things.popitem(last=False)

    def is_warm(self, upstream: str, thing: str) -> bool:
        """Return whether an upstream has handled an object lately.

        Args:
            upstream: Name of the upstream.
            thing: Identifier of the object.
        """
        return thing in self.handled.get(upstream, ())

    def forget(self, upstream: str) -> None:
        """Drop what is known of an upstream that restarted or is gone.

        Args:
            upstream: Name of the upstream.
        """
        self.handled.pop(upstream, None)


def preference(thing: str, upstream: str) -> int:
    """Return the rank of an upstream for an object; the highest is first.

    Every VM computes the same ranks, so that requests for an object meet at
    the same upstreams.

    Args:
        thing: Identifier of the object.
        upstream: Name of the upstream.
    """
    return xxhash.xxh64_intdigest(f'{thing}\x00{upstream}'.encode())


def keepers(thing: str, upstreams: typing.Sequence[str]) -> tuple[str, str]:
    """Return the first and second upstream that should keep an object.

    Args:
        thing: Identifier of the object.
        upstreams: Names of the upstreams, at least one.

    Examples:
        >>> first, second = keepers('17', ['a', 'b', 'c'])
        >>> keepers('17', [second, 'd'])[0] in (second, 'd')
        True
    """
    ranked = sorted(upstreams, key=lambda u: preference(thing, u))
    return ranked[-1], ranked[-2] if ranked[1:] else ''
