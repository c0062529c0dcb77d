"""Measures the cost of reports between VMs at several fleet sizes.

Run it with ``python -m bulrushcourse_testkit.measure_reports``. Times are CPU
time on this machine; sizes are exact.
"""

import time
import typing

import attrs

from bulrushcourse_domain.fleet import fleet
from bulrushcourse_domain.upstreams import upstream as upstreams
from bulrushcourse_entry.edge import reports
from bulrushcourse_wire import fleet_messages

FLEET_SIZES = (11, 76, 640)
ROUNDS = 300
UPSTREAMS_PER_VM = 4


@attrs.frozen
class Cost:
    """Cost of reports for one VM of a fleet.

    Attributes:
        size: Number of VMs in the fleet.
        report_bytes: Size of a typical report.
        encode_us: CPU time to encode a report, in microseconds.
        decode_us: CPU time to decode a report, in microseconds.
        interval_s: Time between reports to the same VM, in seconds.
    """

    size: int
    report_bytes: int
    encode_us: float
    decode_us: float
    interval_s: float

    @property
    def core_share(self) -> float:
        """Share of a core to exchange reports with all other VMs."""
        per_report_s = (self.encode_us + self.decode_us) / 1e6
        return per_report_s * (self.size - 1) / self.interval_s

    @property
    def bytes_per_s(self) -> float:
        """Bytes that one VM sends per second."""
        return self.report_bytes * (self.size - 1) / self.interval_s


def typical_report(size: int) -> fleet_messages.Report:
    """Return a typical report of a busy VM.

    Args:
        size: Number of VMs in the fleet.
    """
    names = [f'i-{number:010x}' for number in range(UPSTREAMS_PER_VM)]
    return fleet_messages.Report(
        vm=None,
        phase=fleet.Phase.READY,
        configuration_version=7,
        in_flight=dict.fromkeys(names, 2),
        slowness=dict.fromkeys(names, (1.1, 0.12)),
        demand={'catalog': 3.2, 'orders': 1.1, 'artwork': 0.7},
        operators_version=1000,
        directory_delta=upstreams.DirectoryDelta(1000, 1001, (), (), 0.2),
    )


def measure(size: int) -> Cost:
    """Measure the cost of reports in a fleet.

    Args:
        size: Number of VMs in the fleet.
    """
    report = typical_report(size)
    content = fleet_messages.encode(report)
    return Cost(
        size,
        len(content),
        _mean_us(lambda: fleet_messages.encode(report)),
        _mean_us(lambda: fleet_messages.decode(content)),
        reports.report_interval_s(size),
    )


def _mean_us(function: typing.Callable[[], typing.Any]) -> float:
    started = time.process_time()
    for _ in range(ROUNDS):
        function()
    return (time.process_time() - started) / ROUNDS * 1e6


def main() -> None:
    """Print the costs as a table."""
    print('VMs  bytes  encode us  decode us  every s  core    KB/s')
    for cost in map(measure, FLEET_SIZES):
        print(
            f'{cost.size:3}  {cost.report_bytes:5}  {cost.encode_us:9.1f}'
            f'  {cost.decode_us:9.1f}  {cost.interval_s:7.2f}'
            f'  {cost.core_share:5.1%}  {cost.bytes_per_s / 1000:6.1f}'
        )


if __name__ == '__main__':
    main()
