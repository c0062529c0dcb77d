"""Counters and latency histograms, served as text."""

import typing

import prometheus_client

from bulrushcourse_entry.edge import endings

BUCKETS_S = (0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 1.5, 2.5, 4.0, 8.0)


class Meters:
    """Metrics of one process.

    Attributes:
        registry: Where the metrics are registered.
        requests: Ended requests by service and outcome.
        latency: Time from arrival to answer by service.
        refusals: Refused requests by reason.
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = prometheus_client.Counter(
            'bulrushcourse_requests',
            'Ended requests',
            ('service', 'outcome'),
            registry=self.registry,
        )
        self.latency = prometheus_client.Histogram(
            'bulrushcourse_latency_seconds',
            'Time from arrival to answer',
            ('service',),
            buckets=BUCKETS_S,
            registry=self.registry,
        )
        self.refusals = prometheus_client.Counter(
            'bulrushcourse_refusals',
            'Refused requests',
            ('reason',),
            registry=self.registry,
        )

    def ended(
        self, service: str, ending: endings.Ending, took_s: float
    ) -> None:
        """Count a request that has ended.

        Args:
            service: Service that it was for.
            ending: How it ended.
            took_s: Time since its arrival in seconds.
        """
        outcome = type(ending).__name__.lower()
        self.requests.labels(service, outcome).inc()
        self.latency.labels(service).observe(took_s)

    def refused(self, reason: str) -> None:
        """Count a refused request.

        Args:
            reason: Why.
        """
        self.refusals.labels(reason).inc()

    def gauge(
        self, name: str, text: str, read: typing.Callable[[], float]
    ) -> None:
        """Add a gauge that is read when the metrics are asked for.

        Args:
            name: Name of the gauge.
            text: What it shows.
            read: Returns its value.
        """
        made = prometheus_client.Gauge(name, text, registry=self.registry)
        made.set_function(read)

    def render(self) -> bytes:
        """Return all metrics as text."""
        return prometheus_client.generate_latest(self.registry)
