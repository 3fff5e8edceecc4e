"""Pool connections to other entry nodes."""

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
"""Interval and timeout of pings on connections for forwarded requests."""

IDLE_SECONDS: Final = 120.0
"""Time after which an idle connection is closed."""

MAX_PORT: Final = 65535
MAX_PORT_DIGITS: Final = 5
MAX_LOGGED_ADDRESS: Final = 100
"""Characters of an address in an error; another writer's may have any length."""


class PeerUnreachableError(PeerError):
    """Raised when no connection to a peer could be made; nothing was sent."""

    code = "peer-unreachable"


class Purpose(StrEnum):
    """Use of a connection; control messages must not queue behind callers' bodies."""

    CONTROL = "control"
    FORWARD = "forward"


@dataclass(slots=True, eq=False)
class _Slot:
    """Pooled connection with the calls in flight that keep it open."""

    channel: Any
    last_used_at: float
    calls_in_flight: int = 0
    retired: bool = False


class ChannelLease:
    """Use of a pooled connection by one call."""

    def __init__(self, pool: ChannelPool, slot: _Slot) -> None:
        self._pool = pool
        self._slot = slot
        self._released = False

    @property
    def channel(self) -> Any:
        """Return grpclib's channel."""
        return self._slot.channel

    def retire(self) -> None:
        """Use this connection for no further calls."""
        self._pool.retire(self._slot)

    def release(self) -> None:
        """Return the connection to the pool; repeated calls have no effect."""
        if not self._released:
            self._released = True
            self._pool.release(self._slot)


class ChannelPool:
    """Pool of one connection for each peer and purpose.

    :param clock: returns monotonic seconds.
    :param connect_seconds: timeout for opening a connection.
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
        """Return the number of connections available for new calls."""
        return len(self._slots)

    async def async_acquire(self, address: str, purpose: Purpose) -> ChannelLease:
        """Return a lease of a connected channel; the caller must release it.

        :raises PeerUnreachableError: if no connection was made in time.
        """
        slot = self._slots.get((address, purpose))
        if slot is None:
            slot = _Slot(self._open(address, purpose), self._clock())
            self._slots[(address, purpose)] = slot
        slot.calls_in_flight += 1
        try:
            with anyio.fail_after(self._connect_seconds):
                await slot.channel.__connect__()
        except (OSError, TimeoutError, ValueError) as error:
            # A ValueError means that the host can't be a name, as it is too long or
            # contains invalid characters.
            self.retire(slot)
            self.release(slot)
            detail = f"address={address[:MAX_LOGGED_ADDRESS]} {type(error).__name__}"
            raise PeerUnreachableError(detail) from error
        except BaseException:
            self.release(slot)
            raise
        return ChannelLease(self, slot)

    def retire(self, slot: _Slot) -> None:
        """Use a connection for no further calls, and close it after the last one.

        A connection whose packets are dropped looks open until TCP gives up minutes
        later: all calls on it time out even if a new connection would succeed.
        """
        slot.retired = True
        for key, pooled in list(self._slots.items()):
            if pooled is slot:
                del self._slots[key]

    def release(self, slot: _Slot) -> None:
        """Record that a call on a connection ended; close it if it is retired."""
        slot.calls_in_flight -= 1
        slot.last_used_at = self._clock()
        if slot.retired and slot.calls_in_flight <= 0:
            slot.channel.close()

    def close_idle(self) -> None:
        """Close connections that have been idle for ``IDLE_SECONDS``."""
        threshold = self._clock() - IDLE_SECONDS
        for key, slot in list(self._slots.items()):
            if slot.calls_in_flight <= 0 and slot.last_used_at < threshold:
                del self._slots[key]
                slot.channel.close()

    def close(self) -> None:
        """Close all connections."""
        for slot in self._slots.values():
            slot.channel.close()
        self._slots.clear()

    def _open(self, address: str, purpose: Purpose) -> Any:
        host, separator, port = address.rpartition(":")
        is_port = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
        if not separator or not is_port or int(port) > MAX_PORT:
            raise PeerUnreachableError(f"address={address[:MAX_LOGGED_ADDRESS]}")
        return Channel(
            host.strip("[]"),
            int(port),
            codec=self._codec,
            ssl=self._context,
            config=_keepalive() if purpose is Purpose.FORWARD else None,
        )


def _keepalive() -> Configuration:
    # A forwarded request waits until its deadline. Without pings, all requests on a
    # dead connection would wait that long and end with an unknown outcome.
    return Configuration(
        _keepalive_time=KEEPALIVE_SECONDS,
        _keepalive_timeout=KEEPALIVE_TIMEOUT_SECONDS,
        _http2_max_pings_without_data=0,
        _http2_min_sent_ping_interval_without_data=KEEPALIVE_SECONDS,
    )
