"""Run the edge program with a log line for each request.

``python -m bulrushcourse_testkit.platform.soak_edge PORT`` takes the arguments
of ``bulrushcourse_entry.edge``. A finding of the soak is traced by the lines
of its request, which the limits of a program in use would omit.
"""

import sys

from bulrushcourse_entry.edge import program
from bulrushcourse_entry.edge.reporting import event_log

LINES_PER_S = 1e6


def main() -> int:
    """Run the edge program until it is stopped; return its exit status."""
    event_log.FAILURE_LINES_PER_S = LINES_PER_S
    event_log.SUCCESS_LINES_PER_S = LINES_PER_S
    event_log.CHANGE_LINES_PER_S = LINES_PER_S
    return program.main(metrics_port=int(sys.argv[1]))


if __name__ == '__main__':
    sys.exit(main())
