"""What becomes of the configurations and evacuations that operators write."""

from bulrushcourse_domain import findings as finding_lists
from bulrushcourse_domain.accounts import account_table
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_entry import events
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.reporting import event_log as event_logs
from bulrushcourse_entry.platform import operator_rows
from bulrushcourse_entry.platform import units
from bulrushcourse_wire import packing

# Findings that one event lists.
MAX_LOGGED_FINDINGS = 10


def apply_configuration(
    state: process_state.ProcessState,
    event_log: event_logs.EventLog,
    value: bytes,
) -> str:
    """Install a configuration if it is readable and newer than the active one.

    Args:
        state: The process state.
        event_log: Log.
        value: Content from the store or from another VM.

    Returns:
        Why it cannot be read, empty if it can.
    """
    try:
        route_set = operator_rows.decode_configuration(value)
    except units.MalformedValue as error:
        event_log.log_change(
            events.Event.CONFIGURATION_REFUSED, reason=str(error)
        )
        return str(error)
    if state.routes.install(route_set):
        state.configuration_since = state.clock.monotonic()
        state.discard_removed_routes()
        state.packed_configuration = packing.pack_content(value)
        event_log.log_change(
            events.Event.CONFIGURATION_IN_FORCE,
            version=route_set.version,
            routes=len(route_set.routes),
            accounts=len(route_set.accounts.by_name),
        )
        state.configuration_updates.on_next(None)
        _log_findings(state, event_log, route_set)
    return ''


def _log_findings(
    state: process_state.ProcessState,
    event_log: event_logs.EventLog,
    route_set: routes.RouteSet,
) -> None:
    """Log the defects of a configuration, if any."""
    accounts = finding_lists.sort_findings(
        (
            *route_set.accounts.findings,
            *account_table.check_regions(
                route_set.accounts, set(state.settings.regions.values())
            ),
        )
    )
    for event, found in (
        (events.Event.CONFIGURATION_DEFECTIVE, route_set.findings),
        (events.Event.ACCOUNTS_DEFECTIVE, accounts),
    ):
        if found:
            event_log.log_change(
                event,
                version=route_set.version,
                count=len(found),
                findings=[str(f) for f in found[:MAX_LOGGED_FINDINGS]],
            )


def apply_evacuations(
    state: process_state.ProcessState, event_log: event_logs.EventLog
) -> None:
    """Let the evacuations that are in force take effect.

    Args:
        state: The process state.
        event_log: Log.
    """
    domains = state.evacuations.in_force()
    previous = state.upstreams.candidates.evacuated
    if domains == previous:
        return
    services = state.routes.active.services if state.routes.active else {}
    warmup = max((s.warmup_s for s in services.values()), default=0.0)
    state.upstreams.evacuate(domains, warmup)
    event_log.log_change(
        events.Event.EVACUATION_CHANGED,
        domains=sorted(domains),
        before=sorted(previous),
        version=state.operators_position.version,
        era=state.operators_position.era,
    )
