"""Starting of HTTP listeners."""

from aiohttp import web

from bulrushcourse_entry import settings as entry_settings

# A listener is closed after the graceful drain. Requests that are still in
# flight then have exceeded the stop limit, or a second signal forced the stop.
CLOSE_TIMEOUT_S = 1.0


async def listen(application: web.Application, address: str) -> web.AppRunner:
    """Serve an application and return its runner, whose cleanup stops it.

    A handler is cancelled when its client closes the connection.

    Args:
        application: The HTTP application.
        address: ``ip:port`` to listen on.
    """
    runner = web.AppRunner(
        application,
        handler_cancellation=True,
        access_log=None,
        shutdown_timeout=CLOSE_TIMEOUT_S,
    )
    await runner.setup()
    host, port = entry_settings.split_address(address)
    await web.TCPSite(runner, host, port).start()
    return runner
