"""Assembly of the parts of an edge process."""

import contextlib

import attrs

from bulrushcourse_domain.resources import descriptors
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_entry import events
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.accounts import account_gate
from bulrushcourse_entry.edge.accounts import proven_keys
from bulrushcourse_entry.edge.accounts import token_admission
from bulrushcourse_entry.edge.accounts import token_exchange
from bulrushcourse_entry.edge.accounts import token_granter
from bulrushcourse_entry.edge.accounts import token_streams
from bulrushcourse_entry.edge.callers import attempt_records
from bulrushcourse_entry.edge.callers import attempts
from bulrushcourse_entry.edge.callers import caller_request
from bulrushcourse_entry.edge.callers import configuration_gate
from bulrushcourse_entry.edge.callers import connection_guard
from bulrushcourse_entry.edge.callers import handlers as request_handlers
from bulrushcourse_entry.edge.callers import request_executor
from bulrushcourse_entry.edge.callers import responses
from bulrushcourse_entry.edge.callers import target_lookup
from bulrushcourse_entry.edge.callers import unsent_requests
from bulrushcourse_entry.edge.fleet import configuration_queries
from bulrushcourse_entry.edge.fleet import peers
from bulrushcourse_entry.edge.fleet import reports
from bulrushcourse_entry.edge.reporting import event_log as event_logs
from bulrushcourse_entry.edge.reporting import metrics as edge_metrics
from bulrushcourse_entry.edge.store import store_monitor
from bulrushcourse_entry.edge.upstreams import crash_checks
from bulrushcourse_entry.edge.upstreams import destinations
from bulrushcourse_entry.edge.upstreams import identity_checks
from bulrushcourse_entry.edge.upstreams import upstream_client
from bulrushcourse_entry.edge.waiting import waiting_admission
from bulrushcourse_entry.platform import rows


@attrs.frozen
class Parts:
    """The parts of a process.

    Attributes:
        store: Client of the platform's store.
        streams: Streams of reports between the VMs.
        keys: Whether keys may be served.
        quotas: Admission within quotas.
        store_monitor: Log of the store's returns.
        guard: Limits over all connections of clients.
        handlers: Handlers of callers' requests.
        metrics: Counters and histograms.
    """

    store: rows.RowStore
    streams: peers.PeerStreams
    keys: proven_keys.ProvenKeys
    quotas: token_admission.TokenAdmission
    store_monitor: store_monitor.StoreMonitor
    guard: connection_guard.ConnectionGuard
    handlers: request_handlers.Handlers
    metrics: edge_metrics.Metrics


async def assemble(
    state: process_state.ProcessState,
    event_log: event_logs.EventLog,
    stack: contextlib.AsyncExitStack,
) -> Parts:
    """Return the parts of a process, which are closed with the stack.

    Args:
        state: The process state.
        event_log: Log.
        stack: What is closed when the process ends.
    """
    metrics = edge_metrics.Metrics()
    granter = token_granter.TokenGranter(state, event_log)
    streams = peers.PeerStreams(
        state,
        event_log,
        reports.Reports(state, event_log),
        granter.serve,
        configuration_queries.ConfigurationQueries(state, event_log),
    )
    client = await _open_client(state, event_log, metrics, streams, stack)
    store = await stack.enter_async_context(
        rows.open_store(state.settings.store, state.clock, state.store_era)
    )
    store_era_log = store_monitor.StoreMonitor(state, event_log)
    store.verdicts.subscribe(store_era_log.record_verdict)
    store.readings.subscribe(state.key_permission.record_time)
    store.readings.subscribe(lambda _: state.freshness.record_contact())
    keys = proven_keys.ProvenKeys(state)
    _add_gauges(metrics, store, keys)
    _add_store_gauges(metrics, state, store_era_log)
    _add_configuration_gauges(metrics, state)
    metrics.add_memory(state.memory)
    metrics.add_gauge(
        'bulrushcourse_nameless_upstreams',
        'Upstreams whose last health response named no upstream',
        lambda: float(len(state.upstreams.addresses.nameless())),
    )
    quotas = token_admission.TokenAdmission(
        state,
        event_log,
        token_streams.TokenStreams(
            state, event_log, granter, token_exchange.TokenExchange(state)
        ),
        metrics.record_quota,
    )
    stack.push_async_callback(quotas.streams.close)
    handlers = _make_handlers(
        state,
        event_log,
        metrics,
        client,
        account_gate.AccountGate(keys, quotas),
    )
    stack.push_async_callback(handlers.executor.close)
    guard = connection_guard.build_guard(
        state.memory,
        descriptors.plan(state.settings.max_descriptors).connections,
        lambda: state.request_limits,
        lambda: state.may_deny,
        event_log,
        metrics,
    )
    return Parts(
        store,
        streams,
        keys,
        quotas,
        store_era_log,
        guard,
        handlers,
        metrics,
    )


async def _open_client(
    state: process_state.ProcessState,
    event_log: event_logs.EventLog,
    metrics: edge_metrics.Metrics,
    streams: peers.PeerStreams,
    stack: contextlib.AsyncExitStack,
) -> upstream_client.UpstreamClient:
    def on_banned(upstream: upstreams.Upstream, pause_s: float) -> None:
        event_log.log_ban(upstream, pause_s)
        if not pause_s:
            streams.reports.queue_leaving(upstream.incarnation)

    def on_checked(
        upstream: upstreams.Upstream,
        finding: identity_checks.Finding,
        answered_by: str,
    ) -> None:
        metrics.record_identity_check(finding.value)
        if finding is not identity_checks.Finding.PROVEN:
            event_log.log_unproven(upstream, finding.value, answered_by)

    client = upstream_client.open_client(state, on_banned, on_checked)
    for session in (client.pooled, client.fresh):
        await stack.enter_async_context(session)
    stack.push_async_callback(client.identities.close)
    checks = crash_checks.CrashChecks(state, event_log.log_crash_check)
    stack.push_async_callback(checks.close)
    return client


def _add_configuration_gauges(
    metrics: edge_metrics.Metrics, state: process_state.ProcessState
) -> None:
    metrics.add_gauge(
        'bulrushcourse_configuration_version',
        'Version of the active configuration',
        lambda: float(state.routes.version),
    )
    metrics.add_gauge(
        'bulrushcourse_configuration_unreadable',
        'Whether the stored configuration cannot be read',
        lambda: float(bool(state.freshness.unreadable)),
    )
    metrics.add_gauge(
        'bulrushcourse_configuration_findings',
        'Malformed parts of the active configuration',
        lambda: float(len(state.routes.findings)),
    )


def _add_store_gauges(
    metrics: edge_metrics.Metrics,
    state: process_state.ProcessState,
    monitor: store_monitor.StoreMonitor,
) -> None:
    store_era = state.store_era
    for name, text, read in (
        ('era', 'Era of the store', lambda: store_era.era),
        (
            'returns',
            'Returns of the store from an earlier copy',
            lambda: store_era.returns,
        ),
        (
            'settling_seconds',
            'Time in which rows that the store lost may still be missing',
            store_era.settling_s,
        ),
        (
            'answers_unused',
            'Answers of the store that state no usable era',
            lambda: monitor.unused,
        ),
    ):
        metrics.add_gauge(
            f'bulrushcourse_store_{name}', text, lambda r=read: float(r())
        )


def _add_gauges(
    metrics: edge_metrics.Metrics,
    store: rows.RowStore,
    keys: proven_keys.ProvenKeys,
) -> None:
    metrics.add_gauge(
        'bulrushcourse_store_calls',
        'Calls to the store',
        lambda: float(store.calls),
    )
    metrics.add_gauge(
        'bulrushcourse_key_proof_age_seconds',
        'Age of the newest proof that the keys of accounts hold',
        keys.proof_age_s,
    )


def _make_handlers(
    state: process_state.ProcessState,
    event_log: event_logs.EventLog,
    metrics: edge_metrics.Metrics,
    client: upstream_client.UpstreamClient,
    gate: account_gate.AccountGate,
) -> request_handlers.Handlers:
    def on_misdirected(record: attempt_records.AttemptRecord) -> None:
        metrics.record_misdirected()
        event_log.log_change(
            events.Event.UPSTREAM_MISDIRECTED, **record.fields()
        )

    selector = destinations.DestinationSelector(state)
    configuration = configuration_gate.ConfigurationGate(state, selector)
    unsent = unsent_requests.UnsentRequests(state)

    def may_send(request: caller_request.CallerRequest, region: str) -> bool:
        return configuration.may_still_send(
            request, region
        ) and unsent.begin_send(request)

    executor = request_executor.RequestExecutor(
        state,
        attempts.AttemptRunner(
            state,
            client,
            lambda name: event_log.log_change(
                events.Event.UPSTREAM_SET_ASIDE, upstream=name
            ),
            on_misdirected,
            may_send,
        ),
        waiting_admission.WaitingRoomAdmission(
            state,
            on_end=metrics.record_wait,
            on_room=event_log.log_room,
        ),
        gate,
        configuration,
    )
    return request_handlers.Handlers(
        state,
        selector,
        executor,
        gate,
        target_lookup.TargetLookup(state, configuration),
        responses.Responder(state, event_log, metrics),
        unsent,
    )
