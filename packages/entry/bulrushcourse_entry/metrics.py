"""Metrics, sent by the statsd protocol."""

import typing

import statsd

from bulrushcourse_entry import settings as entry_settings

PREFIX = 'bulrushcourse'


class Metrics(typing.Protocol):
    """Receiver of counters, timings and gauges."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""
        ...

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration in milliseconds."""
        ...

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""
        ...


class NoMetrics:
    """Drops all metrics."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Drop a counter."""

    def timing(self, stat: str, delta: float) -> None:
        """Drop a duration."""

    def gauge(self, stat: str, value: float) -> None:
        """Drop a gauge."""


def open_metrics(address: str, entry: str) -> Metrics:
    """Return a client that sends metrics to a statsd server over UDP.

    Args:
        address: ``ip:port``; empty to drop all metrics.
        entry: Name of the entry, part of each metric's name.
    """
    if not address:
        return NoMetrics()
    host, port = entry_settings.split_address(address)
    return statsd.StatsClient(host, port, prefix=f'{PREFIX}.{entry}')
