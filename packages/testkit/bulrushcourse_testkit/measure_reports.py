"""Measures the cost of reports between VMs at several fleet sizes.

Run it with ``python -m bulrushcourse_testkit.measure_reports``. Messages and
bytes are exact counts of the fleet model. Times are processor time of this
machine for building, encoding, decoding and applying, without sockets.
"""

import statistics
import time

import attrs

from bulrushcourse_testkit import fleet_model

FLEET_SIZES = (11, 76, 195, 643)
UPSTREAMS_PER_VM = 2
# Upstreams that each VM has requests at.
BUSY_UPSTREAMS = 4
MEASURED_S = 3.0
SETTLING_S = 4.0


@attrs.frozen
class Cost:
    """Cost of reports for the VMs of a fleet.

    Attributes:
        size: Number of VMs in the fleet.
        median_messages_per_s: Reports sent and received by the median VM.
        most_messages_per_s: The same for the VM with most of them.
        mean_bytes_per_s: Bytes sent by a VM on average.
        most_bytes_per_s: The same for the VM with most of them.
        region_bytes_per_s: Bytes sent from one region to the others.
        core_share: Processor time per VM as a share of a core.
    """

    size: int
    median_messages_per_s: float
    most_messages_per_s: float
    mean_bytes_per_s: float
    most_bytes_per_s: float
    region_bytes_per_s: float
    core_share: float


def measure(size: int) -> Cost:
    """Measure the cost of reports in a fleet.

    Args:
        size: Number of VMs in the fleet.
    """
    model = fleet_model.build_fleet(size)
    model.run(SETTLING_S)
    reader = model.vms['vm-0']
    fleet_model.read_upstreams(reader, 1, UPSTREAMS_PER_VM * size)
    model.run(SETTLING_S)
    names = list(reader.state.upstreams.by_name)
    for vm in model.vms.values():
        for name in model.rng.sample(names, BUSY_UPSTREAMS):
            vm.state.load.begin_request(name)
        vm.state.demand.record_request('s0', 1.0)
        vm.traffic = fleet_model.Traffic()
    started = time.process_time()
    model.run(MEASURED_S)
    elapsed = time.process_time() - started
    traffic = [vm.traffic for vm in model.vms.values()]
    messages = [(t.messages_in + t.messages_out) / MEASURED_S for t in traffic]
    sent = [t.bytes_out / MEASURED_S for t in traffic]
    region = reader.vm.region
    return Cost(
        size,
        statistics.median(messages),
        max(messages),
        statistics.mean(sent),
        max(sent),
        sum(
            count
            for vm in model.vms.values()
            if vm.vm.region == region
            for receiver, count in vm.traffic.bytes_out_by_region.items()
            if receiver != region
        )
        / MEASURED_S,
        elapsed / MEASURED_S / size,
    )


def main() -> None:
    """Print the costs as a table."""
    print('          reports per s    KB/s sent         KB/s from')
    print('    VMs   median   most    mean   most       a region    core')
    for cost in map(measure, FLEET_SIZES):
        print(
            f'{cost.size:7}  {cost.median_messages_per_s:7.1f}'
            f'  {cost.most_messages_per_s:5.1f}'
            f'  {cost.mean_bytes_per_s / 1000:6.1f}'
            f'  {cost.most_bytes_per_s / 1000:5.1f}'
            f'  {cost.region_bytes_per_s / 1000:13.1f}'
            f'  {cost.core_share:6.2%}'
        )


if __name__ == '__main__':
    main()
