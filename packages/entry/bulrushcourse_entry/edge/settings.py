"""Settings of the edge program, in this project's terms."""

import typing

import attrs

from bulrushcourse_domain.quotas import shares
from bulrushcourse_domain.routes import freshness


@attrs.frozen
class Bounds:
    """Times and limits that are agreed with the users.

    The defaults apply to bounds that the settings file omits.

    Attributes:
        reconnect_s: Longest time until a VM whose connections broke or went
            silent must meet all other bounds again.
        drain_s: Longest time until a leaving upstream gets no new requests.
        apply_s: Longest time until a configuration is active everywhere.
        stop_limit_s: Longest time that a graceful shutdown may take.
        address_reuse_s: Shortest time from the end of an upstream until
            another one may have its address.
        answer_max_age_s: Longest time that callers may cache a look-up.
        retry_ratio: Allowed retries and hedges per request.
        retry_window_s: Window of the retry budget in seconds.
        retry_extra: Additional retries and hedges per window, over all VMs.
        warmup_excess: Tolerated factor on the warm-up rate of a cold
            upstream.
        warmup_margin: Additional requests tolerated in any second.
        shift_share: Largest share of a route's requests that may change
            region between two windows of two seconds.
        strict_revoke: Whether a withdrawn key must be out of use at every VM,
            also at one that is cut off.
        revoke_s: Longest time after its withdrawal until it is.
        quota_window_s: Window in which the requests of an account are counted,
            in seconds.
        quota_excess: Tolerated part beyond the quota of an account.
        quota_margin: Additional requests tolerated in each window.
    """

    reconnect_s: float = 3.0
    drain_s: float = 2.0
    apply_s: float = 2.0
    stop_limit_s: float = 6.0
    address_reuse_s: float = 2.0
    answer_max_age_s: float = 5.0
    retry_ratio: float = 0.1
    retry_window_s: float = 10.0
    retry_extra: float = 10.0
    warmup_excess: float = 1.0
    warmup_margin: float = 0.0
    shift_share: float = 0.15
    strict_revoke: bool = False
    revoke_s: float = 5.0
    quota_window_s: float = 5.0
    quota_excess: float = 0.0
    quota_margin: float = 0.0

    @property
    def freshness_terms(self) -> freshness.Terms:
        """What was agreed on the age of configurations."""
        return freshness.Terms(self.reconnect_s, self.apply_s)

    @property
    def quota_terms(self) -> shares.QuotaTerms:
        """What was agreed on quotas."""
        return shares.QuotaTerms(
            self.quota_window_s, self.quota_excess, self.quota_margin
        )


@attrs.frozen
class EdgeSettings:
    """Settings of one edge process.

    Attributes:
        vm: Name of this VM.
        region: Region of this VM.
        failure_domain: Failure domain of this VM.
        callers: ``ip:port`` of the listener for callers' requests.
        store: ``ip:port`` of the platform's store.
        readiness: ``ip:port`` of the readiness listener, empty for none.
        lookups: ``ip:port`` of the look-up listener, empty for none.
        peers: ``ip:port`` of the listener for other VMs, empty for none.
        seeds: ``ip:port`` of the peer listeners of some VMs; may be outdated.
        regions: Region of each failure domain.
        bounds: Agreed times and limits.
        cores: Share of cores that the process may use, 0 if unknown.
        memory_bytes: Memory of the VM, 0 if unknown.
        max_descriptors: Largest number of open descriptors, 0 if unknown.
    """

    vm: str
    region: str
    failure_domain: str
    callers: str
    store: str
    readiness: str = ''
    lookups: str = ''
    peers: str = ''
    seeds: tuple[str, ...] = ()
    regions: typing.Mapping[str, str] = attrs.field(factory=dict)
    bounds: Bounds = Bounds()
    cores: float = 0.0
    memory_bytes: int = 0
    max_descriptors: int = 0
