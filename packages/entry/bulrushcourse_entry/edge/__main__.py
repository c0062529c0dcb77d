"""Run the edge program as ``python -m bulrushcourse_entry.edge PORT``.

The command ``bulrushcourse edge`` does the same. This entry point does not
import the command line library, which takes a third of the process's memory.
The argument is the port that serves metrics and the state dump; without it
neither is served.
"""

import sys

from bulrushcourse_entry import held_signals


def main() -> int:
    """Run the program and return its exit code."""
    held_signals.hold()
    # Its imports take most of the start, and a signal may come meanwhile.
    from bulrushcourse_entry.edge import program

    port = int(sys.argv[1]) if sys.argv[1:] else 0
    return program.main(metrics_port=port)


if __name__ == '__main__':
    sys.exit(main())
