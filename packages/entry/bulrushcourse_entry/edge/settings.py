"""Settings of the edge program, in this project's own terms."""

import typing

import attrs


@attrs.frozen
class Bounds:
    """Times and limits that the users' agreement states.

    Defaults serve deployments whose settings leave a bound out.

    Attributes:
        drain_s: Longest time until a leaving upstream gets nothing new.
        stop_limit_s: Longest time that a graceful shutdown may take.
        answer_max_age_s: Longest time that callers keep a look-up answer.
        retry_ratio: Second sends per request.
        retry_window_s: Window of the budget for second sends.
        retry_extra: Second sends per window besides, over all VMs.
        warmup_excess: Factor on the rate of cold upstreams.
        warmup_margin: Requests in a second on top of it.
        shift_share: Largest share of requests that may change region.
    """

    drain_s: float = 2.0
    stop_limit_s: float = 6.0
    answer_max_age_s: float = 5.0
    retry_ratio: float = 0.1
    retry_window_s: float = 10.0
    retry_extra: float = 10.0
    warmup_excess: float = 1.0
    warmup_margin: float = 0.0
    shift_share: float = 0.15


@attrs.frozen
class EdgeSettings:
    """What one edge process is told when it starts.

    Attributes:
        vm: Name of this VM.
        region: Region of this VM.
        failure_domain: Failure domain of this VM.
        callers: ``ip:port`` of the listener for callers' requests.
        store: ``ip:port`` of the platform's store.
        readiness: ``ip:port`` of the readiness check, empty for none.
        lookups: ``ip:port`` of the look-ups, empty for none.
        peers: ``ip:port`` of the listener for other VMs, empty for none.
        seeds: ``ip:port`` of some VMs' peer listeners, perhaps stale.
        regions: Region of each failure domain.
        bounds: Agreed times and limits.
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
