"""Fake the platform's log service in memory, with injectable faults.

The faults are outages, rate limits, lost requests and responses, delayed appends,
corrupt, missing and expired entries, and a network partition between one caller and the
service (:class:`LogClient`).
"""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio

from mustardward.exceptions import (
    AppendRateError,
    OffsetExpiredError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)
from mustardward.standin.protocol.models import LogEntry, LogPage


@dataclass(slots=True)
class _Stream:
    """Hold one stream, whose offset ``oldest`` grows as entries expire."""

    payloads: dict[int, bytes] = field(default_factory=dict)
    history: list[bytes] = field(default_factory=list)
    oldest: int = 0
    tail: int = 0
    appended: anyio.Event = field(default_factory=anyio.Event)


class FakeLog:
    """Hold streams and serve them as a log service.

    :param real_waits: whether a waiting read times out in real time. Otherwise only an
        append, an outage or :meth:`wake` ends it, so that tests do not depend on real
        time.
    """

    def __init__(self, real_waits: bool = False) -> None:
        self._streams: dict[str, _Stream] = {}
        self._real_waits = real_waits
        self._out = False
        self.refuse_appends = 0
        """Number of next appends to reject by the rate limit."""
        self.budget: int | None = None
        """Number of appends accepted until it is set again, or None for no limit."""
        self.lose_answers = 0
        """Number of next appends to accept while losing their responses."""
        self.lose_requests = 0
        """Number of next appends to lose, so that their outcome is unknown."""
        self.delay_appends = 0
        """Number of next appends to delay while losing their responses."""
        self.delayed: list[tuple[str, bytes]] = []
        self.appends = 0
        self.reads = 0

    @property
    def out(self) -> bool:
        """Return whether the log has an outage."""
        return self._out

    @out.setter
    def out(self, out: bool) -> None:
        self._out = out
        self.wake()

    def wake(self) -> None:
        """Wake up all waiting reads."""
        for content in self._streams.values():
            content.appended.set()
            content.appended = anyio.Event()

    def tail(self, stream: str) -> int:
        """Return the offset of the next append."""
        return self._stream(stream).tail

    def payload(self, stream: str, offset: int) -> bytes:
        """Return the payload of one entry."""
        return self._stream(stream).payloads[offset]

    def history(self, stream: str) -> list[bytes]:
        """Return the payloads of all entries, including expired ones."""
        return self._stream(stream).history

    def lose(self, stream: str, offset: int) -> None:
        """Remove one entry, which leaves a gap in the stream."""
        del self._stream(stream).payloads[offset]

    def put(self, stream: str, payload: bytes) -> int:
        """Append one entry without faults; return its offset."""
        content = self._stream(stream)
        content.payloads[content.tail] = payload
        content.history.append(payload)
        content.tail += 1
        content.appended.set()
        content.appended = anyio.Event()
        return content.tail - 1

    def corrupt(self, stream: str, offset: int) -> None:
        """Flip a bit in the middle of an entry."""
        content = self._stream(stream)
        payload = bytearray(content.payloads[offset])
        payload[len(payload) // 2] ^= 0x10
        content.payloads[offset] = bytes(payload)

    def expire(self, stream: str, oldest: int) -> None:
        """Remove the entries before ``oldest``."""
        content = self._stream(stream)
        content.oldest = min(max(content.oldest, oldest), content.tail)
        for offset in [item for item in content.payloads if item < content.oldest]:
            del content.payloads[offset]

    def deliver_delayed(self) -> None:
        """Append the delayed entries now."""
        for stream, payload in self.delayed:
            self.put(stream, payload)
        self.delayed.clear()

    async def async_append(self, stream: str, payload: bytes) -> int:
        """Append one entry, subject to the faults that are set."""
        await anyio.lowlevel.checkpoint()
        if self.out:
            raise PlatformUnavailableError("log is out")
        if self._consume_fault("refuse_appends") or self.budget == 0:
            raise AppendRateError()
        if self.budget is not None:
            self.budget -= 1
        if self._consume_fault("lose_requests"):
            raise PlatformOutcomeUnknownError("request lost")
        if self._consume_fault("delay_appends"):
            self.delayed.append((stream, payload))
            raise PlatformOutcomeUnknownError("append delayed")
        self.appends += 1
        offset = self.put(stream, payload)
        if self._consume_fault("lose_answers"):
            raise PlatformOutcomeUnknownError("response lost")
        return offset

    async def async_read(
        self, stream: str, offset: int, limit: int, wait_seconds: float
    ) -> LogPage:
        """Return entries, after waiting for the first one if requested."""
        await anyio.lowlevel.checkpoint()
        self._check_reading(stream, offset)
        content = self._stream(stream)
        if offset == content.tail and wait_seconds > 0:
            with anyio.move_on_after(wait_seconds if self._real_waits else None):
                await content.appended.wait()
            self._check_reading(stream, offset)
        self.reads += 1
        wanted = range(offset, min(content.tail, offset + limit))
        entries = tuple(
            LogEntry(item, content.payloads[item])
            for item in wanted
            if item in content.payloads
        )
        return LogPage(entries, content.oldest, content.tail)

    def _check_reading(self, stream: str, offset: int) -> None:
        if self.out:
            raise PlatformUnavailableError("log is out")
        content = self._stream(stream)
        if offset < content.oldest:
            raise OffsetExpiredError(content.oldest)

    def _consume_fault(self, fault: str) -> bool:
        remaining: int = getattr(self, fault)
        if remaining <= 0:
            return False
        setattr(self, fault, remaining - 1)
        return True

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())


class LogClient:
    """Connect one caller to a fake log, with network faults of its own.

    :param log: the log that several callers share.
    """

    def __init__(self, log: FakeLog) -> None:
        self.log = log
        self._cut_off = False
        self.delay_seconds = 0.0
        self.hang = False
        """Whether every call hangs, as on a link that drops all packets."""

    @property
    def cut_off(self) -> bool:
        """Return whether this caller is disconnected from the log."""
        return self._cut_off

    @cut_off.setter
    def cut_off(self, cut_off: bool) -> None:
        self._cut_off = cut_off
        self.log.wake()

    async def async_append(self, stream: str, payload: bytes) -> int:
        """Append one entry, subject to the network faults."""
        await self._async_apply_faults()
        return await self.log.async_append(stream, payload)

    async def async_read(
        self, stream: str, offset: int, limit: int, wait_seconds: float
    ) -> LogPage:
        """Read entries, subject to the network faults."""
        await self._async_apply_faults()
        page = await self.log.async_read(stream, offset, limit, wait_seconds)
        if self.cut_off:
            raise PlatformUnavailableError("disconnected")
        return page

    async def _async_apply_faults(self) -> None:
        if self.hang:
            await anyio.sleep_forever()
        if self.delay_seconds > 0:
            await anyio.sleep(self.delay_seconds)
        if self.cut_off:
            raise PlatformUnavailableError("disconnected")
