"""Ports for test clusters, so that no two clusters take the same one.

A port that is free when it is chosen may be bound by another cluster before
the process that it is meant for has started. Each cluster therefore holds file
locks on blocks of ports; the kernel frees them when the process ends.
"""

import contextlib
import fcntl
import io
import pathlib
import random
import socket
import tempfile

import attrs

# Below the range that the kernel takes ports of outgoing connections from, and
# apart from 10,000 to 32,000, where test kits without these locks took theirs.
PORTS = range(2_000, 10_000)
BLOCK_PORTS = 50
HOST = '127.0.0.1'
LOCKS = pathlib.Path(tempfile.gettempdir()) / 'bulrushcourse-ports'


class NoPortsError(Exception):
    """All blocks of ports are taken."""


@attrs.define(eq=False)
class Reservation:
    """Ports that no other cluster uses until they are given back.

    Attributes:
        ports: The ports, ascending.
        locks: Locked files, one for each block.
    """

    ports: list[int] = attrs.field(factory=list)
    locks: list[io.IOBase] = attrs.field(factory=list)

    def close(self) -> None:
        """Give the ports back."""
        while self.locks:
            self.locks.pop().close()


def reserve_ports(number: int) -> Reservation:
    """Return ports of the loopback address that nobody listens on.

    Args:
        number: How many ports are needed.

    Raises:
        NoPortsError: If there are not enough.

    Examples:
        >>> one, other = reserve_ports(3), reserve_ports(3)
        >>> len(one.ports), set(one.ports) & set(other.ports)
        (3, set())
        >>> one.close()
        >>> other.close()
    """
    LOCKS.mkdir(exist_ok=True)
    blocks = list(range(PORTS.start, PORTS.stop, BLOCK_PORTS))
    random.SystemRandom().shuffle(blocks)
    reservation = Reservation()
    for start in blocks:
        if len(reservation.ports) >= number:
            break
        lock = (LOCKS / str(start)).open('w')
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            continue
        reservation.locks.append(lock)
        reservation.ports += filter(
            _is_free, range(start, start + BLOCK_PORTS)
        )
    if len(reservation.ports) < number:
        reservation.close()
        raise NoPortsError(f'{number} ports wanted')
    reservation.ports = sorted(reservation.ports[:number])
    return reservation


def _is_free(port: int) -> bool:
    with socket.socket() as probe, contextlib.suppress(OSError):
        probe.bind((HOST, port))
        return True
    return False
