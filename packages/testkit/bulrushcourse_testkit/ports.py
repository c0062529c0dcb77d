"""Reserves ports so that no two test clusters use the same one.

A port that is free when it is chosen may be bound by another cluster before
the intended process has started. Each cluster therefore holds file locks on
blocks of ports; the kernel releases them when the cluster's process ends.
"""

import contextlib
import fcntl
import io
import pathlib
import random
import socket
import tempfile

import attrs

# Avoids the ports that the kernel chooses for outgoing connections, and those
# from 10,000 to 32,000, which test kits without these locks use.
PORTS = range(2_000, 10_000)
BLOCK_PORTS = 20
HOST = '127.0.0.1'
LOCK_DIRECTORY = pathlib.Path(tempfile.gettempdir()) / 'bulrushcourse-ports'


class NoPortsError(Exception):
    """There are not enough unreserved free ports."""


@attrs.define(eq=False)
class Reservation:
    """Ports that no other cluster uses until they are released.

    Attributes:
        ports: Reserved ports, ascending.
        locks: Lock files, one for each block.
    """

    ports: list[int] = attrs.field(factory=list)
    locks: list[io.IOBase] = attrs.field(factory=list)

    def close(self) -> None:
        """Release the ports."""
        while self.locks:
            self.locks.pop().close()


def reserve_ports(number: int) -> Reservation:
    """Reserve ports of the loopback address on which no process listens.

    Args:
        number: Number of ports.

    Raises:
        NoPortsError: If fewer ports are available.

    Examples:
        >>> one, other = reserve_ports(3), reserve_ports(3)
        >>> len(one.ports), set(one.ports) & set(other.ports)
        (3, set())
        >>> one.close()
        >>> other.close()
    """
    LOCK_DIRECTORY.mkdir(exist_ok=True)
    blocks = list(range(PORTS.start, PORTS.stop, BLOCK_PORTS))
    random.SystemRandom().shuffle(blocks)
    reservation = Reservation()
    for start in blocks:
        if len(reservation.ports) >= number:
            break
        lock = (LOCK_DIRECTORY / str(start)).open('w')
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
        raise NoPortsError(f'fewer than {number} ports are available')
    reservation.ports = sorted(reservation.ports[:number])
    return reservation


def _is_free(port: int) -> bool:
    with socket.socket() as probe, contextlib.suppress(OSError):
        probe.bind((HOST, port))
        return True
    return False
