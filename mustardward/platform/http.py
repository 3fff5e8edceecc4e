"""Make HTTP calls, and type what goes wrong by what it says about the effect."""

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
"""A partner that is cut off answers no opening packet; one retransmission is 1 s."""

KEEP_ALIVE_SECONDS: Final = 30.0
UNACKNOWLEDGED_TIMEOUT_MS: Final = 1500
"""Unacknowledged bytes for so long close a connection, so that a pool of connections
that went silent empties itself."""

PRUNE_INTERVAL_SECONDS: Final = 5.0
"""Shortest time between two looks for hosts that are not called any more. With a look
at each new host an owner of 600 workers looked 448,000 times before it had heard of all
of them, more than a third of its processor time; it grows with the square of them."""

MAX_CONNECTIONS_PER_HOST: Final = 8


def open_socket() -> socket.socket:
    """Open a client's socket that notices a silent partner."""
    channel = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    channel.setblocking(False)
    channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    user_timeout = getattr(socket, "TCP_USER_TIMEOUT", None)
    if user_timeout is not None:
        channel.setsockopt(socket.IPPROTO_TCP, user_timeout, UNACKNOWLEDGED_TIMEOUT_MS)
    return channel


def base_url(address: str) -> str:
    """Return the URL of a ``host:port``, without a path."""
    return f"http://{address}"


class Caller(Protocol):
    """Make a call, on whichever way."""

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

        :param silence_seconds: longest time in which no byte of the answer comes.
        :raises CallRefusedError: if it was certainly not sent.
        :raises CallUnknownError: if it was sent and its answer was lost.
        """


class _Host:
    """Hold the connections to one address.

    :param most: connections at the same time.
    """

    def __init__(self, address: str, most: int) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._most = most
        self._open = 0
        self._idle: list[HttpConnection] = []
        self._waiters: deque[asyncio.Future[None]] = deque()
        self.head = f"Host: {address}\r\n"

    async def async_acquire(self, timeout_seconds: float) -> HttpConnection:
        """Return a connection that no other call uses, the one used last if any is.

        :raises CallRefusedError: if none could be had in time; nothing was sent.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout_seconds
        while True:
            connection = self._reusable(loop.time())
            if connection is not None:
                return connection
            if self._open < self._most:
                return await self._async_open(max(0.0, until - loop.time()))
            await self._async_wait(until - loop.time())

    def release(self, connection: HttpConnection) -> None:
        """Take a connection back, and let the next call have its place."""
        if connection.usable:
            self._idle.append(connection)
        else:
            self._open -= 1
        self._wake_next()

    @property
    def unused(self) -> bool:
        """Return whether there is neither a connection nor a call that wants one."""
        return self._open == 0 and not self._waiters

    def close_idle(self, now: float, idle_seconds: float) -> None:
        """Close the connections that no call used for so long."""
        kept = [c for c in self._idle if now - c.idle_since < idle_seconds]
        for connection in self._idle:
            if connection not in kept:
                connection.close()
                self._open -= 1
        self._idle = kept

    def _reusable(self, now: float) -> HttpConnection | None:
        while self._idle:
            connection = self._idle.pop()
            fresh = now - connection.idle_since < KEEP_ALIVE_SECONDS
            if connection.usable and fresh:
                return connection
            connection.close()
            self._open -= 1
        return None

    async def _async_open(self, timeout_seconds: float) -> HttpConnection:
        loop = asyncio.get_running_loop()
        self._open += 1
        channel: socket.socket | None = None
        try:
            channel = open_socket()
            with anyio.fail_after(min(CONNECT_TIMEOUT_SECONDS, timeout_seconds)):
                await loop.sock_connect(channel, self._address)
                _, connection = await loop.create_connection(
                    HttpConnection, sock=channel
                )
        except (OSError, TimeoutError) as error:
            self._abandon(channel)
            raise CallRefusedError(type(error).__name__) from error
        except BaseException:
            self._abandon(channel)
            raise
        return connection

    def _abandon(self, channel: socket.socket | None) -> None:
        if channel is not None:
            channel.close()
        self._open -= 1
        self._wake_next()

    async def _async_wait(self, timeout_seconds: float) -> None:
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            with anyio.fail_after(max(0.0, timeout_seconds)):
                await waiter
        except TimeoutError as error:
            self._stop_waiting(waiter)
            raise CallRefusedError("no connection free") from error
        except BaseException:
            self._stop_waiting(waiter)
            raise

    def _stop_waiting(self, waiter: asyncio.Future[None]) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        else:
            # Its turn had come: unless another takes it, all behind it wait for ever.
            self._wake_next()

    def _wake_next(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return


class HttpCaller:
    """Make calls over kept connections.

    :param connections_a_host: most connections to one address.
    """

    def __init__(
        self, max_connections_per_host: int = MAX_CONNECTIONS_PER_HOST
    ) -> None:
        self._most = max_connections_per_host
        self._hosts: dict[str, _Host] = {}
        self._looked_at = -math.inf

    async def async_close(self) -> None:
        """Close all connections that no call uses."""
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

        :param timeout_seconds: for the answer, and as much for a connection.
        :param silence_seconds: longest time in which no byte of the answer comes.
        :raises CallRefusedError: if it was certainly not sent.
        :raises CallUnknownError: if it was sent and its answer was lost.
        """
        address, path = _split(url)
        host = self._hosts.get(address)
        if host is None:
            self._forget_unused()
            host = self._hosts[address] = _Host(address, self._most)
        request = _encode(method, path, host.head, body, params, headers)
        while True:
            connection = await host.async_acquire(timeout_seconds)
            kept = connection.exchanges > 0
            try:
                return await connection.async_exchange(
                    request, timeout_seconds, read_timeout_seconds
                )
            except ExchangeError as error:
                if method == "GET" and kept and error.closed_before_response:
                    # The other side closed a kept connection as the call was sent.
                    continue
                # Bytes may have reached the other side: to call this "had no effect"
                # would let a caller act twice.
                raise CallUnknownError(error.detail) from error
            finally:
                host.release(connection)

    def _forget_unused(self) -> None:
        """Forget hosts that are not called any more.

        Workers come at new addresses all day; connections to those that went would
        use up the process's descriptors.
        """
        now = asyncio.get_running_loop().time()
        if now - self._looked_at < PRUNE_INTERVAL_SECONDS:
            return
        self._looked_at = now
        for address, host in list(self._hosts.items()):
            host.close_idle(now, KEEP_ALIVE_SECONDS)
            if host.unused:
                del self._hosts[address]


def _split(url: str) -> tuple[str, str]:
    """Return the address and the path of a URL."""
    address, slash, path = url.removeprefix("http://").partition("/")
    return address, slash + path


def _encode(
    method: str,
    path: str,
    host_line: str,
    body: bytes | None,
    params: dict[str, str] | None,
    headers: dict[str, str] | None,
) -> bytes:
    """Return a request's bytes."""
    query = f"?{urlencode(params, safe='/')}" if params else ""
    lines = "".join(f"{name}: {value}\r\n" for name, value in (headers or {}).items())
    if body is None and method in ("GET", "HEAD"):
        return f"{method} {path}{query} HTTP/1.1\r\n{host_line}{lines}\r\n".encode()
    content = body or b""
    length = f"Content-Length: {len(content)}\r\n"
    head = f"{method} {path}{query} HTTP/1.1\r\n{host_line}{lines}{length}\r\n"
    return head.encode() + content
