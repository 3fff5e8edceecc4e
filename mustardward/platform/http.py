"""Make HTTP calls over pooled connections.

Errors state whether the call may have had an effect.
"""

from __future__ import annotations

import asyncio
import math
import socket
from collections import deque
from typing import Final, Protocol
from urllib.parse import urlencode

import anyio

from ..helpers.http_connection import ExchangeError, HttpConnection, HttpResponse
from .exceptions import CallRefusedError, CallUnknownError

CONNECT_TIMEOUT_SECONDS: Final = 0.6
"""An unreachable peer does not answer the SYN packet; its retransmission takes 1 s."""

KEEP_ALIVE_SECONDS: Final = 30.0
UNACKNOWLEDGED_TIMEOUT_MS: Final = 1500
"""TCP user timeout: closes connections whose sent bytes stay unacknowledged, so that
dead connections leave the pool."""

PRUNE_INTERVAL_SECONDS: Final = 5.0
"""Minimum interval between scans for unused hosts. A scan for each new host grows with
the square of their number: with 600 workers an owner does 448,000 checks before it has
called all of them, more than a third of its CPU time."""

MAX_CONNECTIONS_PER_HOST: Final = 8


def open_socket() -> socket.socket:
    """Return a client socket with TCP_NODELAY and, if available, a user timeout."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    user_timeout = getattr(socket, "TCP_USER_TIMEOUT", None)
    if user_timeout is not None:
        sock.setsockopt(socket.IPPROTO_TCP, user_timeout, UNACKNOWLEDGED_TIMEOUT_MS)
    return sock


def base_url(address: str) -> str:
    """Return the base URL of a ``host:port`` address."""
    return f"http://{address}"


class Caller(Protocol):
    """Interface for HTTP calls, made directly or through a relay."""

    async def async_call(
        self,
        method: str,
        url: str,
        *,
        timeout_seconds: float,
        body: bytes | None = None,
        params: dict[str, str] | None = None,
        headers: dict[str, str] | None = None,
        read_timeout_seconds: float | None = None,
    ) -> HttpResponse:
        """Make one call.

        :param read_timeout_seconds: maximum time without receiving a byte.
        :raises CallRefusedError: if the request was definitely not sent.
        :raises CallUnknownError: if it was sent but no complete response arrived.
        """


class _Host:
    """Connection pool for one address.

    :param max_connections: maximum number of open connections.
    """

    def __init__(self, address: str, max_connections: int) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._max_connections = max_connections
        self._connection_count = 0
        self._idle: list[HttpConnection] = []
        self._waiters: deque[asyncio.Future[None]] = deque()
        self.host_header = f"Host: {address}\r\n"

    async def async_acquire(self, timeout_seconds: float) -> HttpConnection:
        """Return an exclusive connection, preferably the most recently used one.

        :raises CallRefusedError: if none was available in time; nothing was sent.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_seconds
        while True:
            connection = self._pop_idle(loop.time())
            if connection is not None:
                return connection
            if self._connection_count < self._max_connections:
                return await self._async_open(max(0.0, deadline - loop.time()))
            await self._async_wait(deadline - loop.time())

    def release(self, connection: HttpConnection) -> None:
        """Return a connection to the pool and wake the next waiting call."""
        if connection.usable:
            self._idle.append(connection)
        else:
            self._connection_count -= 1
        self._wake_next()

    @property
    def unused(self) -> bool:
        """Return whether there are neither connections nor waiting calls."""
        return self._connection_count == 0 and not self._waiters

    def close_idle(self, now: float, idle_seconds: float) -> None:
        """Close connections that have been idle for at least ``idle_seconds``."""
        recent = [c for c in self._idle if now - c.idle_since < idle_seconds]
        for connection in self._idle:
            if connection not in recent:
                connection.close()
                self._connection_count -= 1
        self._idle = recent

    def _pop_idle(self, now: float) -> HttpConnection | None:
        while self._idle:
            connection = self._idle.pop()
            is_fresh = now - connection.idle_since < KEEP_ALIVE_SECONDS
            if connection.usable and is_fresh:
                return connection
            connection.close()
            self._connection_count -= 1
        return None

    async def _async_open(self, timeout_seconds: float) -> HttpConnection:
        loop = asyncio.get_running_loop()
        self._connection_count += 1
        sock: socket.socket | None = None
        try:
            sock = open_socket()
            with anyio.fail_after(min(CONNECT_TIMEOUT_SECONDS, timeout_seconds)):
                await loop.sock_connect(sock, self._address)
                _, connection = await loop.create_connection(HttpConnection, sock=sock)
        except (OSError, TimeoutError) as error:
            self._discard(sock)
            raise CallRefusedError(type(error).__name__) from error
        except BaseException:
            self._discard(sock)
            raise
        return connection

    def _discard(self, sock: socket.socket | None) -> None:
        if sock is not None:
            sock.close()
        self._connection_count -= 1
        self._wake_next()

    async def _async_wait(self, timeout_seconds: float) -> None:
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            with anyio.fail_after(max(0.0, timeout_seconds)):
                await waiter
        except TimeoutError as error:
            self._remove_waiter(waiter)
            raise CallRefusedError("no connection free") from error
        except BaseException:
            self._remove_waiter(waiter)
            raise

    def _remove_waiter(self, waiter: asyncio.Future[None]) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        else:
            # It was woken already: unless the next waiter is woken instead, all the
            # remaining ones wait forever.
            self._wake_next()

    def _wake_next(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return


class HttpCaller:
    """Make HTTP calls over persistent connections.

    :param max_connections_per_host: maximum connections to one address.
    """

    def __init__(
        self, max_connections_per_host: int = MAX_CONNECTIONS_PER_HOST
    ) -> None:
        self._max_connections_per_host = max_connections_per_host
        self._hosts: dict[str, _Host] = {}
        self._pruned_at = -math.inf

    async def async_close(self) -> None:
        """Close all idle connections."""
        for host in self._hosts.values():
            host.close_idle(math.inf, 0.0)

    async def async_call(
        self,
        method: str,
        url: str,
        *,
        timeout_seconds: float,
        body: bytes | None = None,
        params: dict[str, str] | None = None,
        headers: dict[str, str] | None = None,
        read_timeout_seconds: float | None = None,
    ) -> HttpResponse:
        """Make one call.

        :param timeout_seconds: limit for the response, and again for a connection.
        :param read_timeout_seconds: maximum time without receiving a byte.
        :raises CallRefusedError: if the request was definitely not sent.
        :raises CallUnknownError: if it was sent but no complete response arrived.
        """
        address, path = _split(url)
        host = self._hosts.get(address)
        if host is None:
            self._prune_hosts()
            host = self._hosts[address] = _Host(address, self._max_connections_per_host)
        request = _encode(method, path, host.host_header, body, params, headers)
        while True:
            connection = await host.async_acquire(timeout_seconds)
            is_reused = connection.exchanges > 0
            try:
                return await connection.async_exchange(
                    request, timeout_seconds, read_timeout_seconds
                )
            except ExchangeError as error:
                if method == "GET" and is_reused and error.closed_before_response:
                    # The server closed an idle connection while the request was sent.
                    continue
                # Bytes may have reached the server. Reporting no effect would let the
                # caller repeat an action that was carried out.
                raise CallUnknownError(error.detail) from error
            finally:
                host.release(connection)

    def _prune_hosts(self) -> None:
        """Remove hosts that are no longer called.

        Workers keep appearing at new addresses; connections to former ones would
        exhaust the process's file descriptors.
        """
        now = asyncio.get_running_loop().time()
        if now - self._pruned_at < PRUNE_INTERVAL_SECONDS:
            return
        self._pruned_at = now
        for address, host in list(self._hosts.items()):
            host.close_idle(now, KEEP_ALIVE_SECONDS)
            if host.unused:
                del self._hosts[address]


def _split(url: str) -> tuple[str, str]:
    """Split a URL into its address and path."""
    address, slash, path = url.removeprefix("http://").partition("/")
    return address, slash + path


def _encode(
    method: str,
    path: str,
    host_header: str,
    body: bytes | None,
    params: dict[str, str] | None,
    headers: dict[str, str] | None,
) -> bytes:
    """Return the encoded request."""
    query = f"?{urlencode(params, safe='/')}" if params else ""
    fields = "".join(f"{name}: {value}\r\n" for name, value in (headers or {}).items())
    if body is None and method in ("GET", "HEAD"):
        return f"{method} {path}{query} HTTP/1.1\r\n{host_header}{fields}\r\n".encode()
    content = body or b""
    length = f"Content-Length: {len(content)}\r\n"
    head = f"{method} {path}{query} HTTP/1.1\r\n{host_header}{fields}{length}\r\n"
    return head.encode() + content
