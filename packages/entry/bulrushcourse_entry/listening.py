"""Opening of HTTP listeners."""

from aiohttp import web

from bulrushcourse_entry import settings as entry_settings

# The graceful drain has waited for requests before a listener is closed; what
# is still at work then was given up by the limit or by a second signal.
CLOSE_LIMIT_S = 1.0


async def listen(application: web.Application, at: str) -> web.AppRunner:
    """Serve an application and return what stops it.

    A handler is cancelled when its client closes the connection.

    Args:
        application: The HTTP application.
        at: ``ip:port`` to listen on.
    """
    runner = web.AppRunner(
        application,
        handler_cancellation=True,
        access_log=None,
        shutdown_timeout=CLOSE_LIMIT_S,
    )
    await runner.setup()
    host, port = entry_settings.split_address(at)
    await web.TCPSite(runner, host, port).start()
    return runner
