"""Room at an upstream, taken when a request chooses it.

Answers many decisions in one pass of the event loop: a VM that wakes from a
pause, a burst of pipelined requests, or waits that end together. Each of them
must see the ones before it, though none has been sent yet.
"""

import types
import typing

import attrs

from bulrushcourse_domain.placement import placement
from bulrushcourse_domain.upstreams import loads
from bulrushcourse_domain.upstreams import outlier_detection
from bulrushcourse_domain.upstreams import warmup


@attrs.define(eq=False)
class Reservation:
    """One attempt at an upstream, counted from its choice until its end.

    As a context manager it returns the room of an attempt that ends in any
    way.

    Attributes:
        choice: The upstream with its estimates.
        load: Counts the attempt as in flight.
        outliers: Counts it as the probe of an upstream that was ejected.
        on_end: Called when the room is returned.
        is_open: Whether the room is still taken.
    """

    choice: placement.Choice
    load: loads.LoadView
    outliers: outlier_detection.OutlierDetector
    on_end: typing.Callable[[], None] = lambda: None
    is_open: bool = True

    def end(self) -> None:
        """Return the room of an attempt whose outcome is known."""
        if self.is_open:
            self.is_open = False
            self.load.end_request(self.choice.upstream.name)
            self.on_end()

    def cancel(self) -> None:
        """Return the room of an attempt that has shown nothing."""
        if self.is_open:
            self.outliers.abandon_request(self.choice.upstream.name)
            self.end()

    def __enter__(self) -> 'Reservation':
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self.cancel()


@attrs.frozen
class Reservations:
    """Takes room at upstreams.

    Attributes:
        load: Load of the upstreams.
        outliers: Failures of the upstreams.
        warmup_limiter: Rate limits of cold upstreams.
        on_end: Called when room is returned.

    Examples:
        >>> from bulrushcourse_domain import clock as clocks
        >>> from bulrushcourse_domain.upstreams import upstream
        >>> clock = clocks.ManualClock()
        >>> load = loads.LoadView(clock)
        >>> reservations = Reservations(
        ...     load,
        ...     outlier_detection.OutlierDetector(clock),
        ...     warmup.WarmupLimiter(clock, 'vm-1'),
        ... )
        >>> chosen = placement.Choice(
        ...     upstream.Upstream('u', 's', 'u:1', 'd', 'r', 4),
        ...     0.1,
        ...     0.1,
        ...     placement.Affinity.NONE,
        ...     0,
        ... )
        >>> with reservations.reserve(chosen):
        ...     load.in_flight('u')
        1
        >>> load.in_flight('u')
        0
    """

    load: loads.LoadView
    outliers: outlier_detection.OutlierDetector
    warmup_limiter: warmup.WarmupLimiter
    on_end: typing.Callable[[], None] = lambda: None

    def reserve(self, choice: placement.Choice) -> Reservation:
        """Take the room of an attempt before anything else is decided.

        The rate of a cold upstream stays charged if the attempt is cancelled.

        Args:
            choice: The chosen upstream.
        """
        name = choice.upstream.name
        self.load.begin_request(name)
        self.outliers.begin_request(name)
        if choice.cold:
            self.warmup_limiter.record_chosen(name)
        return Reservation(choice, self.load, self.outliers, self.on_end)
