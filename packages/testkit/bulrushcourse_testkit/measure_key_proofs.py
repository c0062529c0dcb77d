"""Measures the age of the proofs that keys hold, in fleets of several sizes.

Run it with ``python -m bulrushcourse_testkit.measure_key_proofs``. The fleets
are models without sockets, in which messages take no time; see
``fleet_model``. Calls and ages where each VM proves for itself are arithmetic.
"""

import typing

import attrs

from bulrushcourse_domain.accounts import account_table
from bulrushcourse_domain.accounts import key_permission
from bulrushcourse_domain.accounts import proof_reads
from bulrushcourse_domain.accounts import store_clock
from bulrushcourse_domain.membership import readers
from bulrushcourse_domain.routes import route as routes
from bulrushcourse_entry.edge import settings as edge_settings
from bulrushcourse_testkit import fleet_model

SIZES = (11, 60, 200, 640)
BOUND_S = 5.0
# Time of the store's answer, and that of the way to it and back.
ANSWER_S = 0.03
STORE_ORIGIN_S = 7.0
SETTLE_S = 5.0
SAMPLED_S = 10.0
CONFIGURATION = routes.RouteSet(
    version=3, accounts=account_table.build_table([])
)


@attrs.frozen
class Ages:
    """Ages of the proofs of all VMs over some time.

    Attributes:
        sorted_s: All sampled ages in seconds, in ascending order.
        proof_bytes: Bytes of proofs that each VM sends per second.
    """

    sorted_s: tuple[float, ...]
    proof_bytes: float

    def quantile(self, share: float) -> float:
        """Return the age that a share of the samples does not exceed.

        Args:
            share: The share.
        """
        last = len(self.sorted_s) - 1
        return self.sorted_s[min(last, int(share * len(self.sorted_s)))]


def poll_interval_s() -> float:
    """Return the time between two proofs of a designated reader."""
    return BOUND_S * proof_reads.READER_WAIT_SHARE + ANSWER_S


def measure(vm_count: int, reader_count: int = readers.READERS) -> Ages:
    """Return the ages of the proofs in a fleet.

    Args:
        vm_count: Number of VMs.
        reader_count: Number of designated readers that are not turned away.
    """
    with_proofs, ages = _run(vm_count, reader_count, is_strict=True)
    without, _ = _run(vm_count, reader_count, is_strict=False)
    per_vm = (with_proofs - without) / vm_count / (SETTLE_S + SAMPLED_S)
    return Ages(tuple(sorted(ages)), per_vm)


def _run(
    vm_count: int, reader_count: int, is_strict: bool
) -> tuple[int, list[float]]:
    """Return the bytes that all VMs sent, and the sampled ages."""
    model = fleet_model.build_fleet(vm_count)
    names = sorted(readers.designate_readers('upstreams', model.vms))
    polling = names[:reader_count]
    due = {
        name: model.clock.now + poll_interval_s() * model.rng.random()
        for name in polling
    }
    for vm in model.vms.values():
        _prepare(vm, is_strict)
        _prove(vm, model.clock.now)
    ages: list[float] = []
    sample_from = model.clock.now + SETTLE_S
    while model.clock.now < sample_from + SAMPLED_S:
        model.run(fleet_model.STEP_S)
        now = model.clock.now
        for name in polling:
            if due[name] <= now:
                due[name] = now + poll_interval_s()
                _prove(model.vms[name], now)
        if now >= sample_from:
            ages.extend(_ages(model.vms.values()))
    sent = sum(vm.traffic.bytes_out for vm in model.vms.values())
    return sent, ages


def _prepare(vm: fleet_model.ModelVm, is_strict: bool) -> None:
    bounds = edge_settings.Bounds(strict_revoke=is_strict, revoke_s=BOUND_S)
    vm.state.settings = attrs.evolve(vm.state.settings, bounds=bounds)
    vm.state.routes.install(CONFIGURATION)


def _prove(vm: fleet_model.ModelVm, now: float) -> None:
    """Let a VM read the store."""
    keys = vm.state.key_permission
    store_s = now - STORE_ORIGIN_S
    keys.record_time(store_clock.StoreReading(now - ANSWER_S, now, store_s))
    keys.record_read(CONFIGURATION.version, now - ANSWER_S, store_s)


def _ages(
    vms: typing.Iterable[fleet_model.ModelVm],
) -> typing.Iterator[float]:
    return (vm.state.key_permission.age_s(CONFIGURATION.version) for vm in vms)


def main() -> None:
    """Print the tables of the design note."""
    needed_s = BOUND_S * 0.4 - key_permission.MARGIN_S
    print(f'an age of at most {needed_s:.2f} s lets each VM serve for 0.6 of')
    print(f'the bound of {BOUND_S:g} s after it has lost the store\n')
    print(
        '| VMs | each VM polls: calls/s | readers poll: calls/s | median age'
        ' s | 99% | oldest | oldest, one reader | bytes/s per VM |'
    )
    print('|' + ' --- |' * 8)
    for vm_count in SIZES:
        own = vm_count / (needed_s + ANSWER_S)
        shared = readers.READERS / poll_interval_s()
        both, one = measure(vm_count), measure(vm_count, 1)
        print(
            f'| {vm_count} | {own:.1f} | {shared:.1f}'
            f' | {both.quantile(0.5):.2f} | {both.quantile(0.99):.2f}'
            f' | {both.sorted_s[-1]:.2f} | {one.sorted_s[-1]:.2f}'
            f' | {both.proof_bytes:.0f} |'
        )


if __name__ == '__main__':
    main()
