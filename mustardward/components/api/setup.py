"""Set up the operators' listener."""

from __future__ import annotations

from ...core import Core, Unload
from ...helpers.listener import HttpListener, ListenerOptions
from ...helpers.logging import get_logger
from ..keys import API
from .auth import TokenCheck, read_token
from .routes import API_ROUTES
from .server import OperatorServer

_LOGGER = get_logger(__name__)


async def async_setup_api(core: Core) -> Unload:
    """Serve the routes registered so far on the operators' listener."""
    settings = core.settings.operators
    token = read_token(settings.token_file)
    server = OperatorServer(core, tuple(API_ROUTES), TokenCheck(token))
    options = ListenerOptions(tls=settings.tls)
    listener = HttpListener(server.application(), settings.listen, options)
    listener.start(core.tasks)
    core.put(API, listener)
    if token is None and settings.tls is None:
        _LOGGER.warning("operators_unguarded", host=listener.host, port=listener.port)
    _LOGGER.info(
        "operators_listening",
        host=listener.host,
        port=listener.port,
        token=token is not None,
        tls=settings.tls is not None,
        routes=len(API_ROUTES),
    )

    async def async_unload() -> None:
        core.remove(API)
        await listener.async_stop()

    return async_unload
