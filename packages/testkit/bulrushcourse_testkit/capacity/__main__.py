"""Runs all capacity measurements and prints them as JSON."""

import json
import sys

from bulrushcourse_testkit import cluster as clusters
from bulrushcourse_testkit.capacity import in_process
from bulrushcourse_testkit.capacity import processes


def main() -> None:
    """Run the measurements; print progress to stderr and results to stdout."""
    measurements = (
        lambda: [in_process.measure_lookups()],
        lambda: [in_process.measure_lookup_rebuild()],
        in_process.measure_blocks,
        lambda: [in_process.measure_grants()],
        lambda: in_process.measure_configuration(
            clusters.example_objects('filatab')
        ),
        processes.measure_entries,
    )
    described = []
    for number, measure in enumerate(measurements, 1):
        print(f'measurement {number} of {len(measurements)}', file=sys.stderr)
        described += [slope.describe() for slope in measure()]
    report = {'slopes': described, 'messages': in_process.measure_messages()}
    print(json.dumps(report, indent=1))


if __name__ == '__main__':
    main()
