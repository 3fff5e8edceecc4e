"""Make HTTP calls, and type what goes wrong by what it says about the effect."""

from __future__ import annotations

import socket
from dataclasses import dataclass
from typing import Final, Protocol

import aiohttp
from multidict import CIMultiDictProxy

from .exceptions import CallRefusedError, CallUnknownError

CONNECT_TIMEOUT_SECONDS: Final = 0.6
"""A partner that is cut off answers no opening packet; one retransmission is 1 s."""

KEEP_ALIVE_SECONDS: Final = 30.0
SILENCE_MILLISECONDS: Final = 1500
"""Unacknowledged bytes for so long close a connection, so that a pool of connections
that went silent empties itself."""

CONNECTIONS_A_HOST: Final = 8


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold one answer."""

    status: int
    body: bytes
    headers: CIMultiDictProxy[str]


def open_socket(address: tuple[int, int, int, str, tuple[str, int]]) -> socket.socket:
    """Open a client's socket that notices a silent partner."""
    family, kind, protocol, _, _ = address
    channel = socket.socket(family, kind, protocol)
    channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    user_timeout = getattr(socket, "TCP_USER_TIMEOUT", None)
    if user_timeout is not None:
        channel.setsockopt(socket.IPPROTO_TCP, user_timeout, SILENCE_MILLISECONDS)
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
        silence_seconds: float | None = None,
    ) -> Answer:
        """Make one call.

        :param silence_seconds: longest time in which no byte of the answer comes.
        :raises CallRefusedError: if it was certainly not sent.
        :raises CallUnknownError: if it was sent and its answer was lost.
        """


class HttpCaller:
    """Make calls over pooled connections.

    :param connections_a_host: most connections to one address.
    """

    def __init__(self, connections_a_host: int = CONNECTIONS_A_HOST) -> None:
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=connections_a_host,
            keepalive_timeout=KEEP_ALIVE_SECONDS,
            use_dns_cache=False,
            socket_factory=open_socket,
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
        )

    async def async_close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def async_call(
        self,
        method: str,
        url: str,
        *,
        timeout_seconds: float,
        body: bytes | None = None,
        params: dict[str, str] | None = None,
        headers: dict[str, str] | None = None,
        silence_seconds: float | None = None,
    ) -> Answer:
        """Make one call.

        :param silence_seconds: longest time in which no byte of the answer comes.
        :raises CallRefusedError: if it was certainly not sent.
        :raises CallUnknownError: if it was sent and its answer was lost.
        """
        timeout = aiohttp.ClientTimeout(
            total=timeout_seconds,
            sock_connect=CONNECT_TIMEOUT_SECONDS,
            sock_read=silence_seconds,
        )
        try:
            async with self._session.request(
                method,
                url,
                data=body,
                params=params,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as answer:
                content = await answer.read()
                return Answer(answer.status, content, answer.headers)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise CallRefusedError(type(error).__name__) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            # Bytes may have reached the other side: to call this "had no effect" would
            # let a caller act twice.
            raise CallUnknownError(type(error).__name__) from error
