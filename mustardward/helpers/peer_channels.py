"""Keep connections to other entries."""

from __future__ import annotations

import ssl
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Final

import anyio
from grpclib.client import Channel
from grpclib.config import Configuration

from ..exceptions import PeerError
from .msgpack_codec import MsgpackCodec

CONNECT_TIMEOUT_SECONDS: Final = 1.0
KEEPALIVE_SECONDS: Final = 5.0
KEEPALIVE_TIMEOUT_SECONDS: Final = 3.0
"""Pings on a connection with forwarded requests, and the wait for their answer."""

IDLE_SECONDS: Final = 120.0
"""Time after which an unused connection is closed."""


class PeerUnreachableError(PeerError):
    """Report that no connection to a peer could be made; nothing was sent."""

    code = "peer-unreachable"


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
    retired: bool = False


class ChannelLease:
    """Hold a connection for one call."""

    def __init__(self, pool: ChannelPool, slot: _Slot) -> None:
        self._pool = pool
        self._slot = slot
        self._released = False

    @property
    def channel(self) -> Any:
        """Return grpclib's channel."""
        return self._slot.channel

    def retire(self) -> None:
        """Let no further call begin on this connection."""
        self._pool.retire(self._slot)

    def release(self) -> None:
        """Note that the call ended; a second call does nothing."""
        if not self._released:
            self._released = True
            self._pool.release(self._slot)


class ChannelPool:
    """Open one connection for each peer and purpose, and close the unused ones.

    :param clock: returns monotonic seconds.
    :param connect_seconds: longest wait for a new connection.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        context: ssl.SSLContext | None,
        connect_seconds: float = CONNECT_TIMEOUT_SECONDS,
    ) -> None:
        self._clock = clock
        self._connect_seconds = connect_seconds
        self._context = context
        self._codec = MsgpackCodec()
        self._slots: dict[tuple[str, Purpose], _Slot] = {}

    def __len__(self) -> int:
        """Return the number of connections that calls can begin on."""
        return len(self._slots)

    async def async_acquire(self, address: str, purpose: Purpose) -> ChannelLease:
        """Return a connected channel, to be released.

        :raises PeerUnreachableError: if there is no connection in time.
        """
        slot = self._slots.get((address, purpose))
        if slot is None:
            slot = _Slot(self._open(address, purpose), self._clock())
            self._slots[(address, purpose)] = slot
        slot.running += 1
        try:
            with anyio.fail_after(self._connect_seconds):
                await slot.channel.__connect__()
        except (OSError, TimeoutError) as error:
            self.retire(slot)
            self.release(slot)
            detail = f"address={address} {type(error).__name__}"
            raise PeerUnreachableError(detail) from error
        except BaseException:
            self.release(slot)
            raise
        return ChannelLease(self, slot)

    def retire(self, slot: _Slot) -> None:
        """Begin no further call on a connection, and close it after the last one.

        A connection whose packets are dropped looks open until TCP gives up, minutes
        later: every call on it times out although the peer could be reached anew.
        """
        slot.retired = True
        for key, held in list(self._slots.items()):
            if held is slot:
                del self._slots[key]

    def release(self, slot: _Slot) -> None:
        """Note that a call on a connection ended."""
        slot.running -= 1
        slot.used = self._clock()
        if slot.retired and slot.running <= 0:
            slot.channel.close()

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

    def _open(self, address: str, purpose: Purpose) -> Any:
        host, separator, port = address.rpartition(":")
        if not separator or not port.isdigit():
            raise PeerUnreachableError(f"address={address}")
        return Channel(
            host.strip("[]"),
            int(port),
            codec=self._codec,
            ssl=self._context,
            config=_keepalive() if purpose is Purpose.FORWARD else None,
        )


def _keepalive() -> Configuration:
    # A forwarded request waits as long as its deadline says. Without pings one whose
    # connection leads nowhere any more, and all that follow on it, would wait till
    # then, and end as unknown.
    return Configuration(
        _keepalive_time=KEEPALIVE_SECONDS,
        _keepalive_timeout=KEEPALIVE_TIMEOUT_SECONDS,
        _http2_max_pings_without_data=0,
        _http2_min_sent_ping_interval_without_data=KEEPALIVE_SECONDS,
    )
