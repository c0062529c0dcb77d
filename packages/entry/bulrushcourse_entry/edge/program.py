"""Start of the edge program with the settings file of the platform."""

import asyncio
import os
import sys

from returns import result

from bulrushcourse_entry import held_signals
from bulrushcourse_entry.edge import process
from bulrushcourse_entry.edge import settings as edge_settings
from bulrushcourse_entry.edge.reporting import event_log
from bulrushcourse_entry.platform import settings_file

EXIT_BAD_SETTINGS = 2


def main(path: str = '', metrics_port: int = 0) -> int:
    """Run an edge process until SIGTERM.

    Args:
        path: Path of the settings file; by default the path in the
            platform's environment variable.
        metrics_port: Port of metrics and state dump, 0 for none.

    Returns:
        Exit code.
    """
    held_signals.hold()
    path = path or os.environ.get(settings_file.PATH_VARIABLE, '')
    loaded = settings_file.load(path)
    if isinstance(loaded, result.Failure):
        for finding in loaded.failure():
            print(f'{path}: {finding}', file=sys.stderr)
        return EXIT_BAD_SETTINGS
    writer = event_log.LineWriter()
    with writer.applicationbound():
        asyncio.run(_run(loaded.unwrap(), path, metrics_port))
    writer.close()
    return 0


async def _run(
    settings: edge_settings.EdgeSettings, path: str, metrics_port: int
) -> None:
    try:
        await process.EdgeProcess(settings, path, metrics_port).run()
    finally:
        # The event loop restores the default actions when it closes.
        held_signals.hold()
