"""Opening of HTTP listeners."""

from aiohttp import web

from bulrushcourse_entry import settings as entry_settings


async def listen(application: web.Application, at: str) -> web.AppRunner:
    """Serve an application and return what stops it.

    A handler is cancelled when its client closes the connection.

    Args:
        application: The HTTP application.
        at: ``ip:port`` to listen on.
    """
    runner = web.AppRunner(
        application, handler_cancellation=True, access_log=None
    )
    await runner.setup()
    host, port = entry_settings.split_address(at)
    await web.TCPSite(runner, host, port).start()
    return runner
