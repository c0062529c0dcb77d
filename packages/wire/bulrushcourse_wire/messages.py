"""Messages that entries exchange over peer streams.

A message is a frozen attrs class that is registered under a type name. Unknown
fields are ignored when decoding, so that newer entries can add fields.
"""

import typing

import attrs

PROTOCOL_VERSION = 1

_REGISTRY: dict[str, type] = {}


class Message(typing.Protocol):
    """Any registered message class."""

    type_name: typing.ClassVar[str]


def message(type_name: str) -> typing.Callable[[type], type]:
    """Register a frozen attrs class as a message.

    Args:
        type_name: Name of the message on the wire.

    Raises:
        ValueError: If the name is already registered.
    """

    def register(cls: type) -> type:
        if type_name in _REGISTRY:
            raise ValueError(f'message type {type_name!r} is registered twice')
        cls.type_name = type_name
        decorated = attrs.frozen(cls)
        _REGISTRY[type_name] = decorated
        return decorated

    return register


def message_class(type_name: str) -> type | None:
    """Return the class registered under a type name, or ``None``.

    Args:
        type_name: Name of the message on the wire.

    Examples:
        >>> message_class('heartbeat').__name__
        'Heartbeat'
    """
    return _REGISTRY.get(type_name)


@message('hello')
class Hello:
    """First message of each side of a stream.

    Attributes:
        protocol: Protocol version of the sender.
        entry: Name of the sending entry.
        incarnation: Random identifier of the sending process.
        vm_id: The platform's identifier of the sender's VM.
        nonce: 16 random bytes.
    """

    protocol: int
    entry: str
    incarnation: str
    vm_id: str
    nonce: bytes


@message('proof')
class Proof:
    """Proof that the sender knows the shared secret.

    Attributes:
        digest: HMAC-SHA256 over the sender's role and both nonces, 32 bytes.
    """

    digest: bytes


@message('heartbeat')
class Heartbeat:
    """State of an entry, sent to each peer at a fixed interval.

    Attributes:
        state: ``starting``, ``serving`` or ``leaving``.
        configuration_version: Version of the active configuration, 0 for none.
        store_reachable: Whether the sender's last store call was answered.
        region: Region of the sender.
        callers_address: ``ip:port`` of the sender's listener for callers.
        in_flight: Number of requests in flight at the sender.
        held_version: Newest configuration version of the sender, whether
            active or staged.
        failure_domain: Failure domain of the sender.
    """

    state: str
    configuration_version: int
    store_reachable: bool
    region: str = ''
    callers_address: str = ''
    in_flight: int = 0
    held_version: int = 0
    failure_domain: str = ''


@message('configuration')
class Configuration:
    """A configuration that is relayed to a peer.

    Attributes:
        version: Version of the document.
        document: JSON text of the objects.
    """

    version: int
    document: str
