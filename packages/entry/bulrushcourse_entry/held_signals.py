"""Signals that wait while a process has no handlers for them.

By default they end a process. Before it has set its handlers, and after its
event loop has removed them again, they are blocked instead: the system keeps
them until they are delivered, or until the process has ended.

This module imports nothing that takes time, since it is used before the other
modules are imported.
"""

import signal

SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT, signal.SIGHUP})


def hold() -> None:
    """Block the signals of the calling thread, and of threads it starts."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


def deliver() -> None:
    """Let the signals through, first those that came in the meantime."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
