"""Measures all slopes and prints them as JSON."""

import json
import sys

from bulrushcourse_testkit import cluster as clusters
from bulrushcourse_testkit.capacity import in_process
from bulrushcourse_testkit.capacity import processes


def main() -> None:
    """Measure and print."""
    steps = (
        lambda: [in_process.measure_lookups()],
        lambda: [in_process.measure_lookup_rebuild()],
        in_process.measure_blocks,
        lambda: [in_process.measure_grants()],
        lambda: in_process.measure_configuration(
            clusters.example_objects('filatab')
        ),
        processes.measure_entries,
    )
    found = []
    for number, step in enumerate(steps, 1):
        print(f'step {number} of {len(steps)}', file=sys.stderr)
        found += [slope.describe() for slope in step()]
    report = {'slopes': found, 'messages': in_process.measure_messages()}
    print(json.dumps(report, indent=1))


if __name__ == '__main__':
    main()
