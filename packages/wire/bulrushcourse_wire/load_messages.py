"""Messages that report the load of pools."""

import attrs

from bulrushcourse_wire import messages


@attrs.frozen
class PoolLoad:
    """Load of one pool, as its owner counts it.

    Attributes:
        pool: Name of the pool.
        slots: Number of slots that may be granted.
        in_flight: Number of slots in use.
        waiting: Number of requests that wait for a slot.
        healthy: Number of the ``slots`` whose instances appear healthy.
    """

    pool: str
    slots: int
    in_flight: int
    waiting: int
    healthy: int


@messages.message('pool_loads')
class PoolLoads:
    """Loads of the pools that the sender owns.

    Attributes:
        loads: One load per pool.
    """

    loads: tuple[PoolLoad, ...]
