"""Messages about the load of pools."""

import attrs

from bulrushcourse_wire import messages


@attrs.frozen
class PoolLoad:
    """Load of one pool, as its owner counts it.

    Attributes:
        pool: Name of the pool.
        slots: Slots that may be granted.
        in_flight: Slots in use.
        waiting: Requests that wait for a slot.
        healthy: Those of the slots whose instances look healthy.
    """

    pool: str
    slots: int
    in_flight: int
    waiting: int
    healthy: int


@messages.message('pool_loads')
class PoolLoads:
    """Load of the pools that the sender owns.

    Attributes:
        loads: One load for each pool.
    """

    loads: tuple[PoolLoad, ...]
