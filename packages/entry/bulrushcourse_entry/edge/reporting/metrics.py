"""Counters and latency histograms in the Prometheus text format."""

import typing

import prometheus_client

from bulrushcourse_domain.resources import memory as memories
from bulrushcourse_domain.waiting import waiting_room
from bulrushcourse_entry.edge.callers import outcomes
from bulrushcourse_entry.edge.reporting import memory_monitor

# Client accounts with a counter of their own, the first ones seen. All others
# are counted together.
MAX_ACCOUNTS = 100
OTHER_ACCOUNTS = 'other'
BUCKETS_S = (0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 1.5, 2.5, 4.0, 8.0)


class Metrics:
    """Metrics of one process.

    Attributes:
        registry: Registry of the metrics.
        requests: Finished requests by service and outcome.
        latency: Time from arrival to response by service.
        refusals: Refused requests by reason.
        rejections: Requests with an error status of this VM that must not be
            retried, by status and reason.
        misdirected: Attempts that another upstream answered.
        identity_checks: Health requests that were sent to prove the identity
            of an upstream, by finding.
        closed_connections: Connections of clients that were closed or refused
            for being outside the limits, by reason.
        waits: Requests that found no room at once, by what became of them.
        quota_requests: Requests of client accounts with a quota by account
            and result.
        accounts: Accounts with a counter of their own.
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
        self.rejections = prometheus_client.Counter(
            'bulrushcourse_rejections',
            'Requests with an error status that must not be retried',
            ('status', 'reason'),
            registry=self.registry,
        )
        self.misdirected = prometheus_client.Counter(
            'bulrushcourse_misdirected',
            'Attempts at an address that another upstream uses',
            registry=self.registry,
        )
        self.identity_checks = prometheus_client.Counter(
            'bulrushcourse_identity_checks',
            'Health requests for a proof that an upstream has its address',
            ('finding',),
            registry=self.registry,
        )
        self.quota_requests = prometheus_client.Counter(
            'bulrushcourse_quota_requests',
            'Requests of client accounts with a quota',
            ('account', 'result'),
            registry=self.registry,
        )
        self.accounts: set[str] = set()

        self.closed_connections = prometheus_client.Counter(
            'bulrushcourse_closed_connections',
            'Connections of clients outside the limits',
            ('reason',),
            registry=self.registry,
        )

        self.waits = prometheus_client.Counter(
            'bulrushcourse_waits',
            'Requests that found no room at once, by the end of their wait',
            ('end',),
            registry=self.registry,
        )

    def record_wait(self, end: waiting_room.End) -> None:
        """Count a request that found no room at once.

        Args:
            end: How its wait ended.
        """
        self.waits.labels(end.value).inc()

    def record_request(
        self, service: str, outcome: outcomes.Outcome, elapsed_s: float
    ) -> None:
        """Record a finished request.

        Args:
            service: Service of the request.
            outcome: Outcome of the request.
            elapsed_s: Time since its arrival in seconds.
        """
        label = type(outcome).__name__.lower()
        self.requests.labels(service, label).inc()
        self.latency.labels(service).observe(elapsed_s)

    def record_refusal(self, reason: str) -> None:
        """Count a refused request.

        Args:
            reason: Reason of the refusal.
        """
        self.refusals.labels(reason).inc()

    def record_rejection(self, status: int, reason: str) -> None:
        """Count a request with an error status that must not be retried.

        Args:
            status: HTTP status.
            reason: Why the request is rejected.
        """
        self.rejections.labels(str(status), reason).inc()

    def record_misdirected(self) -> None:
        """Count an attempt that another upstream answered."""
        self.misdirected.inc()

    def record_identity_check(self, finding: str) -> None:
        """Count a check of the identity of an upstream.

        Args:
            finding: What was found.
        """
        self.identity_checks.labels(finding).inc()

    def record_closed_connection(self, reason: str) -> None:
        """Count a connection that was closed for being outside the limits.

        Args:
            reason: Reason.
        """
        self.closed_connections.labels(reason).inc()

    def record_quota(self, account: str, result: str) -> None:
        """Count a request of a client account with a quota.

        Args:
            account: Name of the account.
            result: Whether it was admitted, or the reason of the refusal.
        """
        if account not in self.accounts:
            if len(self.accounts) >= MAX_ACCOUNTS:
                account = OTHER_ACCOUNTS
            self.accounts.add(account)
        self.quota_requests.labels(account, result).inc()

    def add_memory(self, budget: memories.MemoryBudget) -> None:
        """Add gauges of the memory in use, by use and of the process.

        Args:
            budget: Memory of the VM's traffic.
        """
        gauge = prometheus_client.Gauge(
            'bulrushcourse_memory_bytes',
            'Memory in use',
            ('use',),
            registry=self.registry,
        )
        for name in memory_monitor.dump(budget):
            gauge.labels(name.removesuffix('_bytes')).set_function(
                lambda name=name: float(memory_monitor.dump(budget)[name])
            )

    def add_gauge(
        self, name: str, text: str, read: typing.Callable[[], float]
    ) -> None:
        """Add a gauge whose value is computed at each scrape.

        Args:
            name: Name of the gauge.
            text: Help text.
            read: Returns the value.
        """
        gauge = prometheus_client.Gauge(name, text, registry=self.registry)
        gauge.set_function(read)

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        return prometheus_client.generate_latest(self.registry)
