"""Quarantine of crash-inducing requests by entries that share losses."""

import collections
import enum

import attrs

from bulrushcourse_domain import clock as clocks
from bulrushcourse_domain.quarantine import losses
from bulrushcourse_domain.slots import requests

QUARANTINE_S = 600.0
REPEATABLE_LOSS_LIMIT = 2
NON_REPEATABLE_LOSS_LIMIT = 1
# Limits the memory to about 10 MB.
MAX_PROVEN_FINGERPRINTS = 50_000


class Admission(enum.Enum):
    """Decision whether a request may run now."""

    RUN = 'run'
    WAIT = 'wait'
    REFUSE = 'refuse'


@attrs.frozen
class ActiveRun:
    """A run that is still active.

    Attributes:
        repeatable: Whether the request may run more than once.
        proven: Whether the request was known to be harmless when it started.
    """

    repeatable: bool
    proven: bool


@attrs.define
class Quarantine:
    """Limits the number of instances that one request can crash.

    A request that crashes every instance never gets a complete response.
    Until a request got one, its losses and its active runs together stay
    within the limit, so that no order of arrivals loses more instances. A
    request that got a response before is proven harmless and runs without
    that limit; the runs that are active when it loses its first instance
    count as one loss, since an outage ends many harmless runs together.

    Attributes:
        clock: Source of time.
        losses_by_fingerprint: Losses by fingerprint and identifier.
        cleared: Expiry of cleared losses by identifier.
        proven: Expiry of fingerprints that got a complete response, oldest
            first.
        active: Active runs by fingerprint and identifier.
    """

    clock: clocks.Clock
    losses_by_fingerprint: dict[str, dict[str, losses.Loss]] = attrs.field(
        factory=dict
    )
    cleared: dict[str, float] = attrs.field(factory=dict)
    proven: collections.OrderedDict[str, float] = attrs.field(
        factory=collections.OrderedDict
    )
    active: dict[str, dict[str, ActiveRun]] = attrs.field(factory=dict)

    def admit(
        self, fingerprint: str, run_id: str, repeatable: bool
    ) -> Admission:
        """Decide whether a request may run; if so, count an active run.

        Args:
            fingerprint: Hash of the request's content.
            run_id: Identifier of the run.
            repeatable: Whether the request may run more than once.

        Examples:
            >>> quarantine = Quarantine(clocks.ManualClock())
            >>> quarantine.admit('f', 'run-1', False)
            <Admission.RUN: 'run'>
            >>> quarantine.admit('f', 'run-2', False)
            <Admission.WAIT: 'wait'>
        """
        proven = self._is_proven(fingerprint)
        if not proven:
            limit = self._limit(fingerprint, repeatable)
            counted = len(self.counted_losses(fingerprint))
            if counted >= limit:
                return Admission.REFUSE
            running = len(self.active.get(fingerprint, ()))
            if counted + running >= limit:
                return Admission.WAIT
        runs = self.active.setdefault(fingerprint, {})
        runs[run_id] = ActiveRun(repeatable, proven)
        return Admission.RUN

    def adopt(self, fingerprint: str, run_id: str, repeatable: bool) -> None:
        """Add an active run that a former owner of the pool admitted.

        Args:
            fingerprint: Hash of the request's content.
            run_id: Identifier of the run.
            repeatable: Whether the request may run more than once.
        """
        run = ActiveRun(repeatable, self._is_proven(fingerprint))
        self.active.setdefault(fingerprint, {})[run_id] = run

    def finish(
        self,
        fingerprint: str,
        run_id: str,
        instance: str,
        outcome: requests.ReleaseOutcome,
    ) -> losses.LossUpdate | None:
        """End a run and return the update to send to the other entries.

        Args:
            fingerprint: Hash of the request's content.
            run_id: Identifier of the run.
            instance: Name of the instance that ran it.
            outcome: How the run ended.
        """
        runs = self.active.get(fingerprint, {})
        run = runs.pop(run_id, None)
        if not runs:
            self.active.pop(fingerprint, None)
        if run is None:
            return None
        if outcome is requests.ReleaseOutcome.DONE:
            return self._mark_proven(fingerprint)
        if outcome is not requests.ReleaseOutcome.LOST:
            return None
        if run.proven and self.counted_losses(fingerprint):
            return None
        loss = losses.Loss(
            fingerprint, run_id, instance, self._expiry_s(), run.repeatable
        )
        self.merge(loss)
        return loss

    def merge(self, update: losses.LossUpdate) -> None:
        """Apply an update; order and repetition make no difference.

        Args:
            update: A loss or a clearance, from this entry or a peer.
        """
        if isinstance(update, losses.LossClearance):
            for loss_id in update.loss_ids:
                until = max(update.expires, self.cleared.get(loss_id, 0.0))
                self.cleared[loss_id] = until
            return
        self.losses_by_fingerprint.setdefault(update.fingerprint, {})[
            update.loss_id
        ] = update
        self.proven.pop(update.fingerprint, None)

    def counted_losses(self, fingerprint: str) -> tuple[losses.Loss, ...]:
        """Return the losses that count against a request.

        Args:
            fingerprint: Hash of the request's content.
        """
        now = self._wall_time_s()
        return tuple(
            loss
            for loss in self.losses_by_fingerprint.get(
                fingerprint, {}
            ).values()
            if loss.expires > now and loss.loss_id not in self.cleared
        )

    def is_quarantined(self, fingerprint: str, repeatable: bool) -> bool:
        """Return whether a request is quarantined and must not run.

        Args:
            fingerprint: Hash of the request's content.
            repeatable: Whether the request may run more than once.
        """
        limit = self._limit(fingerprint, repeatable)
        return len(self.counted_losses(fingerprint)) >= limit

    def remove_expired(self) -> None:
        """Discard expired losses and clearances; to be called periodically."""
        now = self._wall_time_s()
        for fingerprint, lost in list(self.losses_by_fingerprint.items()):
            kept = {i: loss for i, loss in lost.items() if loss.expires > now}
            if kept:
                self.losses_by_fingerprint[fingerprint] = kept
            else:
                del self.losses_by_fingerprint[fingerprint]
        self.cleared = {i: t for i, t in self.cleared.items() if t > now}

    def _mark_proven(self, fingerprint: str) -> losses.LossClearance | None:
        counted = self.counted_losses(fingerprint)
        self.proven[fingerprint] = self._expiry_s()
        self.proven.move_to_end(fingerprint)
        if len(self.proven) > MAX_PROVEN_FINGERPRINTS:
            self.proven.popitem(last=False)
        if not counted:
            return None
        # A loss expires later at a peer whose clock is behind, so the
        # clearance is kept for longer than the loss.
        expires = self._expiry_s() + QUARANTINE_S
        cleared = frozenset(loss.loss_id for loss in counted)
        clearance = losses.LossClearance(fingerprint, cleared, expires)
        self.merge(clearance)
        return clearance

    def _limit(self, fingerprint: str, repeatable: bool) -> int:
        counted = self.counted_losses(fingerprint)
        if repeatable and all(loss.repeatable for loss in counted):
            return REPEATABLE_LOSS_LIMIT
        return NON_REPEATABLE_LOSS_LIMIT

    def _is_proven(self, fingerprint: str) -> bool:
        return self.proven.get(fingerprint, 0.0) > self._wall_time_s()

    def _expiry_s(self) -> float:
        return self._wall_time_s() + QUARANTINE_S

    def _wall_time_s(self) -> float:
        return self.clock.wall().timestamp()
