"""Commands and help of ``bulrushctl``."""

import attrs
import cappa

from bulrushcourse_ctl import explaining
from bulrushcourse_ctl import files
from bulrushcourse_ctl import inspecting
from bulrushcourse_ctl import plans
from bulrushcourse_ctl import publishing

DESCRIPTION = """\
Exit codes: 0 success; 1 refused or conflict; 2 invalid input; 3 no entry
reachable, or store unavailable; 4 published, but not in force on every entry
within the time limit.

Example: export BULRUSHCTL_ENTRIES=10.0.0.1:9002,10.0.0.2:9002;
export BULRUSHCTL_TOKEN_FILE=token; bulrushctl status"""


@cappa.command(
    name='bulrushctl',
    help='Operate a global traffic steering system.',
    description=DESCRIPTION,
)
@attrs.define
class Bulrushctl:
    """Arguments of ``bulrushctl``.

    Attributes:
        command: Selected subcommand.
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
        | explaining.ExplainRequest
    ]


def main() -> None:
    """Parse the arguments and run the selected subcommand."""
    cappa.invoke(Bulrushctl)
