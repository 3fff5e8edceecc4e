"""Serve HTTP with hypercorn's asyncio server."""

from __future__ import annotations

import asyncio
import socket
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from ssl import CERT_REQUIRED, SSLContext
from typing import Any, Final

import anyio
from anyio.abc import TaskGroup
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.logging import Logger

from ..exceptions import SettingsError
from ..settings.models import Listener, TlsSettings
from .connection import HttpConnection
from .logging import get_logger

_LOGGER = get_logger(__name__)

BACKLOG: Final = 1024

AsgiApp = Callable[..., Awaitable[None]]


class EventLog(Logger):
    """Log hypercorn's messages as events and drop its access log."""

    def __init__(self, config: Config) -> None:
        self.access_logger = None
        self.error_logger = None

    async def access(self, request: Any, response: Any, request_time: float) -> None:
        """Do nothing: the application logs each request itself."""

    async def info(self, message: str, *args: Any, **kwargs: Any) -> None:
        """Log an ordinary message."""
        _LOGGER.debug("http_server", message=message)

    async def warning(self, message: str, *args: Any, **kwargs: Any) -> None:
        """Log a warning."""
        _LOGGER.warning("http_server", message=message)

    async def error(self, message: str, *args: Any, **kwargs: Any) -> None:
        """Log an error."""
        _LOGGER.error("http_server", message=message)

    async def exception(self, message: str, *args: Any, **kwargs: Any) -> None:
        """Log the exception being handled."""
        error = sys.exc_info()[1]
        _LOGGER.error(
            "http_application_failed",
            error=type(error).__name__,
            detail=str(error),
        )


@dataclass(frozen=True, slots=True)
class ListenerOptions:
    """Options of a listener.

    :param graceful_seconds: time limit for requests in progress after a stop.
    """

    header_bytes: int = 65_536
    keepalive_seconds: float = 75.0
    graceful_seconds: float = 30.0
    tls: TlsSettings | None = None


class HttpListener:
    """Serve one ASGI application on one address.

    :param app: the application.
    :param address: address to listen on; port 0 selects a free port.
    :raises SettingsError: if a file of the TLS settings is unusable.
    """

    def __init__(
        self, app: AsgiApp, address: Listener, options: ListenerOptions
    ) -> None:
        self._app = app
        self._options = options
        self._stop = anyio.Event()
        self._stopped = anyio.Event()
        self._connections: set[asyncio.Task[Any]] = set()
        self._http = _http_config(options)
        self._tls = None if options.tls is None else _tls_context(self._http)
        self._socket = _bind(address)
        self._host, self._port = self._socket.getsockname()[:2]

    @property
    def host(self) -> str:
        """Return the IP address of the listening socket."""
        return str(self._host)

    @property
    def port(self) -> int:
        """Return the port of the listening socket."""
        return int(self._port)

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def start(self, tasks: TaskGroup) -> None:
        """Start to accept connections."""
        tasks.start_soon(self._async_serve)

    async def async_stop(self) -> None:
        """Stop accepting connections and wait until requests in progress are done."""
        self._stop.set()
        await self._stopped.wait()

    async def _async_serve(self) -> None:
        context = WorkerContext(None)

        async def async_handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            task = asyncio.current_task()
            assert task is not None
            self._connections.add(task)
            task.add_done_callback(self._connections.discard)
            connection = HttpConnection(self._app, self._http, context, reader, writer)
            await _async_run(connection)

        server = await asyncio.start_server(
            async_handle,
            sock=self._socket,
            backlog=BACKLOG,
            ssl=self._tls,
        )
        try:
            await self._stop.wait()
        finally:
            with anyio.CancelScope(shield=True):
                server.close()
                await context.terminated.set()
                await _async_finish_connections(
                    self._connections, self._options.graceful_seconds
                )
            self._stopped.set()


async def _async_run(connection: HttpConnection) -> None:
    # asyncio prints a traceback for a failed handler; a broken connection only needs
    # one log line.
    try:
        await connection
    except Exception as error:
        _LOGGER.warning("connection_failed", error=type(error).__name__)


async def _async_finish_connections(
    connections: set[asyncio.Task[Any]], seconds: float
) -> None:
    """Wait until all connections are closed; cancel those that exceed the limit."""
    if not connections:
        return
    _, overdue = await asyncio.wait(set(connections), timeout=seconds)
    for task in overdue:
        task.cancel()
    if overdue:
        _LOGGER.warning("connections_cancelled", connections=len(overdue))
        await asyncio.gather(*overdue, return_exceptions=True)


def _http_config(options: ListenerOptions) -> Config:
    config = Config()
    config.logger_class = EventLog
    config.include_server_header = False
    config.include_date_header = False
    config.keep_alive_timeout = options.keepalive_seconds
    config.keep_alive_max_requests = 1_000_000
    # Twice the limit: the application rejects requests over the limit with a problem
    # response, and the server closes connections only far beyond it.
    config.h11_max_incomplete_size = 2 * options.header_bytes
    config.h2_max_header_list_size = 2 * options.header_bytes
    if options.tls is not None:
        config.certfile = str(options.tls.certificate)
        config.keyfile = str(options.tls.key)
        config.ca_certs = str(options.tls.authority)
        config.verify_mode = CERT_REQUIRED
    return config


def _tls_context(config: Config) -> SSLContext:
    try:
        context = config.create_ssl_context()
    except OSError as error:
        names = f"{config.certfile}, {config.keyfile}, {config.ca_certs}"
        raise SettingsError(f"tls: one of {names}: {error}") from error
    assert context is not None
    return context


def _bind(address: Listener) -> socket.socket:
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    bound.bind((address.host, address.port))
    bound.listen(BACKLOG)
    bound.setblocking(False)
    return bound
