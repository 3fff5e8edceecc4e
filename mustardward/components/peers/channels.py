"""Keep connections to other entries."""

from __future__ import annotations

import ssl
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import anyio
from grpclib.client import Channel

from .codec import MsgpackCodec
from .const import CONNECT_TIMEOUT_SECONDS, IDLE_SECONDS
from .exceptions import PeerUnreachableError


class Purpose(StrEnum):
    """Keep control apart from callers' bodies, so that no digest waits behind one."""

    CONTROL = "control"
    FORWARD = "forward"


@dataclass(slots=True, eq=False)
class _Slot:
    """Hold one connection and what keeps it open."""

    channel: Any
    used: float
    running: int = 0


class ChannelPool:
    """Open one connection for each peer and purpose, and close the unused ones.

    :param clock: returns monotonic seconds.
    """

    def __init__(
        self, clock: Callable[[], float], context: ssl.SSLContext | None
    ) -> None:
        self._clock = clock
        self._context = context
        self._codec = MsgpackCodec()
        self._slots: dict[tuple[str, Purpose], _Slot] = {}

    def __len__(self) -> int:
        """Return the number of connections held."""
        return len(self._slots)

    async def async_take(self, address: str, purpose: Purpose) -> Any:
        """Return a connected channel; give it back with :meth:`release`.

        :raises PeerUnreachableError: if there is no connection in time.
        """
        slot = self._slots.get((address, purpose))
        if slot is None:
            slot = _Slot(self._open(address), self._clock())
            self._slots[(address, purpose)] = slot
        slot.used = self._clock()
        slot.running += 1
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
                await slot.channel.__connect__()
        except (OSError, TimeoutError) as error:
            slot.running -= 1
            detail = f"address={address} {type(error).__name__}"
            raise PeerUnreachableError(detail) from error
        except BaseException:
            slot.running -= 1
            raise
        return slot.channel

    def release(self, address: str, purpose: Purpose) -> None:
        """Note that a call on a channel ended."""
        slot = self._slots.get((address, purpose))
        if slot is not None:
            slot.running -= 1
            slot.used = self._clock()

    def close_idle(self) -> None:
        """Close connections that were not used for a while."""
        before = self._clock() - IDLE_SECONDS
        for key, slot in list(self._slots.items()):
            if slot.running <= 0 and slot.used < before:
                del self._slots[key]
                slot.channel.close()

    def close(self) -> None:
        """Close all connections."""
        for slot in self._slots.values():
            slot.channel.close()
        self._slots.clear()

    def _open(self, address: str) -> Any:
        host, separator, port = address.rpartition(":")
        if not separator or not port.isdigit():
            raise PeerUnreachableError(f"address={address}")
        return Channel(
            host.strip("[]"), int(port), codec=self._codec, ssl=self._context
        )
