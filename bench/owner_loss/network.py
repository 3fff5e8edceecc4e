"""Carry the entries' connections, and cut some of them off for a time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Final

FIRST_CALLER: Final = 101
"""Second part of the address of the first entry's proxies."""

CLOSE_DELAY_SECONDS: Final = 0.05
"""From bytes until the close that followed them, so that a server reads them."""


class CutMode(StrEnum):
    """What becomes of bytes: kept, dropped, or kept in one direction only.

    INBOUND holds what is sent to the inside, OUTBOUND what is sent from it.
    """

    KEEP = "keep"
    RESET = "reset"
    SILENT = "silent"
    INBOUND = "inbound"
    OUTBOUND = "outbound"


@dataclass(frozen=True, eq=False)
class Cut:
    """Separate names inside from names outside.

    :param jitter_seconds: greatest delay of kept bytes after the end of the cut.
    """

    inside: frozenset[str]
    outside: frozenset[str]
    mode: CutMode
    jitter_seconds: float = 0.0

    def separates(self, one: str, other: str) -> bool:
        """Return whether two names lie on different sides."""
        if one in self.inside:
            return other in self.outside
        return one in self.outside and other in self.inside

    def holds(self, sender: str) -> bool:
        """Return whether bytes from a name are held."""
        is_inside = sender in self.inside
        return self.mode is not (CutMode.INBOUND if is_inside else CutMode.OUTBOUND)


class Half(asyncio.Protocol):
    """One half of a connection; keeps what arrives while it is held."""

    def __init__(self, sender: str, on_made: Callable[[Half], None]) -> None:
        self.sender = sender
        self.other: Half | None = None
        self.held = False
        self.closes_after_cut = False
        self.transport: Any = None
        self._kept: list[bytes] = []
        self._on_made = on_made

    def connection_made(self, transport: Any) -> None:
        """Announce the half."""
        self.transport = transport
        self._on_made(self)

    def data_received(self, data: bytes) -> None:
        """Pass bytes on, or the end of the connection if there are none."""
        self._kept.append(data)
        self.flush()

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass the end on."""
        self.data_received(b"")

    def flush(self) -> None:
        """Pass on what may be passed on."""
        if self.held or self.other is None or self.other.transport is None:
            return
        kept, self._kept = self._kept, []
        onward = self.other.transport
        for data in kept:
            if not data:
                loop = asyncio.get_running_loop()
                loop.call_later(CLOSE_DELAY_SECONDS, onward.close)
            elif not onward.is_closing():
                onward.write(data)


class Network:
    """All proxies of a run, one for each pair of entry and target."""

    def __init__(self, seed: int) -> None:
        self.proxies: dict[str, dict[str, str]] = {}
        self._callers: dict[str, str] = {}
        self._rng = random.Random(seed)
        self._cuts: list[Cut] = []
        self._pairs: list[tuple[Half, Half]] = []
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def caller_of(self, host: str) -> str:
        """Return the entry whose proxies connect from an address."""
        return self._callers.get(host, "-")

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether two names are separated now."""
        return any(cut.separates(one, other) for cut in self._cuts)

    async def async_listen(self, caller: str, target: str, address: str) -> None:
        """Listen for one entry's connections to one target."""
        proxies = self.proxies.setdefault(caller, {})
        own = f"127.{FIRST_CALLER + list(self.proxies).index(caller)}.0.1"
        self._callers[own] = caller
        loop = asyncio.get_running_loop()

        def accept(near: Half) -> None:
            far = Half(target, lambda far: near.flush())
            near.other, far.other = far, near
            self._pairs.append((near, far))
            for cut in self._cuts:
                self._begin_on(near, far, cut)
            task = loop.create_task(self._async_connect(near, far, own, address))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

        server = await loop.create_server(lambda: Half(caller, accept), own, 0)
        proxies[address] = f"{own}:{server.sockets[0].getsockname()[1]}"
        self._servers.append(server)

    async def _async_connect(
        self, near: Half, far: Half, own: str, address: str
    ) -> None:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(
                lambda: far, host, int(port), local_addr=(own, 0)
            )
        except OSError:
            near.transport.abort()

    def begin(self, cut: Cut) -> None:
        """Cut connections off."""
        self._cuts.append(cut)
        self._pairs = [
            (near, far)
            for near, far in self._pairs
            if near.held or far.held or not near.transport.is_closing()
        ]
        for near, far in self._pairs:
            self._begin_on(near, far, cut)

    def _begin_on(self, near: Half, far: Half, cut: Cut) -> None:
        if not cut.separates(near.sender, far.sender):
            return
        for half in (near, far):
            if cut.mode is not CutMode.RESET:
                half.held = half.held or cut.holds(half.sender)
                half.closes_after_cut = (
                    half.closes_after_cut or cut.mode is CutMode.SILENT
                )
            elif half.transport is not None:
                half.transport.abort()

    def end(self, cut: Cut) -> None:
        """Let connections work again; what was kept arrives now or a little later."""
        self._cuts.remove(cut)
        loop = asyncio.get_running_loop()
        for near, far in self._pairs:
            if cut.separates(near.sender, far.sender):
                delay = self._rng.uniform(0.0, cut.jitter_seconds)
                loop.call_later(delay, self._release, near, far)

    def _release(self, near: Half, far: Half) -> None:
        if self.is_cut(near.sender, far.sender):
            return
        for half in (near, far):
            if half.closes_after_cut and half.transport is not None:
                half.transport.abort()
            half.held = False
            half.flush()

    def close(self) -> None:
        """End all connections."""
        for server in self._servers:
            server.close()
        for half in (half for pair in self._pairs for half in pair):
            if half.transport is not None:
                half.transport.abort()
