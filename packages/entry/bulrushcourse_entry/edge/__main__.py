"""Run the edge program as ``python -m bulrushcourse_entry.edge PORT``.

The command ``bulrushcourse edge`` does the same. This entry point does not
import the command line library, which takes a third of the process's memory.
The argument is the port that serves metrics and the state dump; without it
neither is served.
"""

import sys

from bulrushcourse_entry.edge import program

if __name__ == '__main__':
    port = int(sys.argv[1]) if sys.argv[1:] else 0
    sys.exit(program.main(metrics_port=port))
