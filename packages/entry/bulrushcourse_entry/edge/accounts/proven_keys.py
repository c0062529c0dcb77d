"""Key permission where withdrawn keys must be out of use in time."""

import asyncio

import attrs

from bulrushcourse_entry import events
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.reporting import event_log as event_logs
from bulrushcourse_entry.edge.store import operator_reader

CHECK_INTERVAL_S = 0.25
# Another VM may serve the key at once. The spread keeps the callers of a VM
# that loses the permission from returning together.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 0.5


@attrs.define(eq=False)
class ProvenKeys:
    """Serves keys only while the active configuration is proven recent.

    Without a strict bound on the withdrawal of keys it always serves them.

    Attributes:
        state: The process state.
    """

    state: process_state.ProcessState

    def may_serve(self) -> bool:
        """Return whether the active configuration is recent enough."""
        state = self.state
        return not state.keys_must_be_current or (
            state.key_permission.may_serve(
                state.routes.version, state.settings.bounds.revoke_s
            )
        )

    def retry_after_s(self) -> float:
        """Return the Retry-After delay of a refused caller, in seconds."""
        return self.state.rng.uniform(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S)

    def proof_age_s(self) -> float:
        """Return the age of the newest proof, infinite without one."""
        return self.state.key_permission.age_s(self.state.routes.version)


@attrs.define(eq=False)
class ProofMonitor:
    """Has the store read when proofs fail to come, and logs what follows.

    Attributes:
        keys: The key permission.
        operators: Reads the store.
        event_log: Log.
        is_refusing: Whether requests with keys were refused at the last check.
    """

    keys: ProvenKeys
    operators: operator_reader.OperatorReader
    event_log: event_logs.EventLog
    is_refusing: bool = False

    async def run(self) -> None:
        """Check the age of the proof until cancelled."""
        while True:
            self.check()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def check(self) -> None:
        """Check the age of the proof once."""
        state = self.keys.state
        self.operators.prove_if_due()
        state.lacks_only_own_proof = state.keys_must_be_current and (
            state.key_permission.others_may_serve(
                state.routes.version, state.settings.bounds.revoke_s
            )
        )
        is_refusing = not self.keys.may_serve()
        if is_refusing == self.is_refusing:
            return
        self.is_refusing = is_refusing
        event = (
            events.Event.KEYS_OUTDATED
            if is_refusing
            else events.Event.KEYS_PROVEN
        )
        self.event_log.log_change(
            event,
            age_s=round(min(self.keys.proof_age_s(), 1e6), 3),
            source=state.key_permission.source.value,
            version=state.routes.version,
        )
