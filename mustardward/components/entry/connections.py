"""Keep the connections to one worker, each held by one attempt at a time."""

from __future__ import annotations

import ssl
from typing import Final

import httpx

from ...helpers.timer import TimerService
from .const import WORKER_KEEPALIVE_SECONDS

_NO_TLS: Final = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
"""Shared, since loading authorities for each connection would hold the loop up."""

_LIMITS: Final = httpx.Limits(
    max_connections=1,
    max_keepalive_connections=1,
    keepalive_expiry=WORKER_KEEPALIVE_SECONDS,
)


class WorkerConnection:
    """Hold one connection to a worker, open or yet to be opened."""

    __slots__ = ("idle_since", "transport")

    def __init__(self) -> None:
        self.transport = httpx.AsyncHTTPTransport(
            verify=_NO_TLS, limits=_LIMITS, trust_env=False
        )
        self.idle_since = 0.0


class WorkerConnectionPool:
    """Lend the connections to one worker.

    One pool for all connections would look through all of them, and ask the system
    about each idle one, for every request. And only a lane whose answer was read to
    its end comes back: any other is closed, since a late answer on it would reach the
    next caller.

    :param address: the worker's host and port.
    :param most: how many connections the worker takes.
    """

    def __init__(self, address: str, most: int, timers: TimerService) -> None:
        self._url = httpx.URL(f"http://{address}/")
        self._most = most
        self._timers = timers
        self._free: list[WorkerConnection] = []
        self._lent = 0

    @property
    def url(self) -> httpx.URL:
        """Return the worker's base URL, parsed once."""
        return self._url

    @property
    def idle(self) -> int:
        """Return how many connections wait for use."""
        return len(self._free)

    @property
    def unused(self) -> bool:
        """Tell whether nothing is lent and nothing waits."""
        return not self._free and not self._lent

    def take(self) -> WorkerConnection | None:
        """Return the lane used last, or a new one, or nothing if all are lent."""
        if self._free:
            self._lent += 1
            return self._free.pop()
        if self._lent >= self._most:
            return None
        self._lent += 1
        return WorkerConnection()

    def give_back(self, lane: WorkerConnection) -> None:
        """Take a lane back whose last answer was whole."""
        self._lent -= 1
        lane.idle_since = self._timers.monotonic()
        self._free.append(lane)

    async def async_discard(self, lane: WorkerConnection) -> None:
        """Close a lane after an abnormal end."""
        # Counted before anything is waited for: a cancellation in between would leave
        # the lane counted as lent for ever, and the worker with one connection less.
        self._lent -= 1
        await lane.transport.aclose()

    async def async_prune(self) -> None:
        """Close lanes that nothing used for a while."""
        oldest = self._timers.monotonic() - WORKER_KEEPALIVE_SECONDS
        old = [lane for lane in self._free if lane.idle_since < oldest]
        self._free = [lane for lane in self._free if lane.idle_since >= oldest]
        for lane in old:
            await lane.transport.aclose()

    async def async_close(self) -> None:
        """Close all lanes that are not lent."""
        free, self._free = self._free, []
        for lane in free:
            await lane.transport.aclose()
