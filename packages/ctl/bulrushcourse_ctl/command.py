"""Command line of the binary ``bulrushctl``."""

import attrs
import cappa

from bulrushcourse_ctl import files
from bulrushcourse_ctl import inspecting
from bulrushcourse_ctl import plans
from bulrushcourse_ctl import publishing

EXIT_CODES = """\
Exit codes: 0 done; 1 refused or conflict; 2 bad input; 3 no entry or store
can be reached; 4 published, but not in force everywhere in time.

Example: export BULRUSHCTL_ENTRIES=10.0.0.1:9002,10.0.0.2:9002;
export BULRUSHCTL_TOKEN_FILE=token; bulrushctl status"""


@cappa.command(
    name='bulrushctl',
    help="Global traffic steering: the operators' tool.",
    description=EXIT_CODES,
)
@attrs.define
class Bulrushctl:
    """The command line.

    Attributes:
        command: The chosen command.
    """

    command: cappa.Subcommands[
        files.Check
        | files.Show
        | files.Diff
        | publishing.Publish
        | inspecting.History
        | publishing.Rollback
        | inspecting.Status
        | plans.Drain
        | plans.Undrain
        | plans.Plan
        | inspecting.Dump
        | inspecting.Explain
    ]


def main() -> None:
    """Run the command line."""
    cappa.invoke(Bulrushctl)
