"""Fake the platform's log in memory, with its faults.

Faults: outage, a refused rate, lost answers, copies that arrive late, retention, and a
cut between one caller and the service (:class:`LogClient`).
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
    """Hold one stream; ``oldest`` moves on as entries expire."""

    payloads: dict[int, bytes] = field(default_factory=dict)
    history: list[bytes] = field(default_factory=list)
    oldest: int = 0
    tail: int = 0
    appended: anyio.Event = field(default_factory=anyio.Event)


class FakeLog:
    """Hold streams; serves as a log service for a caller without faults of its own.

    :param real_waits: end a waiting read after its seconds; else only an append, an
        outage or :meth:`wake` ends it, so that tests never depend on real time.
    """

    def __init__(self, real_waits: bool = False) -> None:
        self._streams: dict[str, _Stream] = {}
        self._real_waits = real_waits
        self._out = False
        self.refuse_appends = 0
        """Refuse this many appends for their rate."""
        self.budget: int | None = None
        """Appends taken until it is set anew; no bound if nothing."""
        self.lose_answers = 0
        """Take this many appends, yet lose their answers."""
        self.lose_requests = 0
        """Lose this many appends before they take effect; the caller can't tell."""
        self.delay_appends = 0
        """Lose the answers of this many appends, and hold them back."""
        self.delayed: list[tuple[str, bytes]] = []
        self.appends = 0
        self.reads = 0

    @property
    def out(self) -> bool:
        """Tell whether the log is out."""
        return self._out

    @out.setter
    def out(self, out: bool) -> None:
        self._out = out
        self.wake()

    def wake(self) -> None:
        """End all waiting reads."""
        for held in self._streams.values():
            held.appended.set()
            held.appended = anyio.Event()

    def tail(self, stream: str) -> int:
        """Return the offset that the next append gets."""
        return self._stream(stream).tail

    def payload(self, stream: str, offset: int) -> bytes:
        """Return one entry."""
        return self._stream(stream).payloads[offset]

    def history(self, stream: str) -> list[bytes]:
        """Return every entry ever appended, also the expired ones."""
        return self._stream(stream).history

    def lose(self, stream: str, offset: int) -> None:
        """Lose one entry in the middle of a stream."""
        del self._stream(stream).payloads[offset]

    def put(self, stream: str, payload: bytes) -> int:
        """Append without any fault."""
        held = self._stream(stream)
        held.payloads[held.tail] = payload
        held.history.append(payload)
        held.tail += 1
        held.appended.set()
        held.appended = anyio.Event()
        return held.tail - 1

    def corrupt(self, stream: str, offset: int) -> None:
        """Flip a bit in the middle of an entry."""
        held = self._stream(stream)
        payload = bytearray(held.payloads[offset])
        payload[len(payload) // 2] ^= 0x10
        held.payloads[offset] = bytes(payload)

    def expire(self, stream: str, oldest: int) -> None:
        """Forget the entries before ``oldest``."""
        held = self._stream(stream)
        held.oldest = min(max(held.oldest, oldest), held.tail)
        for offset in [item for item in held.payloads if item < held.oldest]:
            del held.payloads[offset]

    def deliver_delayed(self) -> None:
        """Let the appends that were held back arrive now."""
        for stream, payload in self.delayed:
            self.put(stream, payload)
        self.delayed.clear()

    async def async_append(self, stream: str, payload: bytes) -> int:
        """Append one entry, or meet the fault that is set."""
        await anyio.lowlevel.checkpoint()
        if self.out:
            raise PlatformUnavailableError("log is out")
        if self._take("refuse_appends") or self.budget == 0:
            raise AppendRateError()
        if self.budget is not None:
            self.budget -= 1
        if self._take("lose_requests"):
            raise PlatformOutcomeUnknownError("request was lost")
        if self._take("delay_appends"):
            self.delayed.append((stream, payload))
            raise PlatformOutcomeUnknownError("append is late")
        self.appends += 1
        offset = self.put(stream, payload)
        if self._take("lose_answers"):
            raise PlatformOutcomeUnknownError("answer was lost")
        return offset

    async def async_read(
        self, stream: str, offset: int, limit: int, wait_seconds: float
    ) -> LogPage:
        """Return entries, waiting for the first one if asked to."""
        await anyio.lowlevel.checkpoint()
        self._check_reading(stream, offset)
        held = self._stream(stream)
        if offset == held.tail and wait_seconds > 0:
            with anyio.move_on_after(wait_seconds if self._real_waits else None):
                await held.appended.wait()
            self._check_reading(stream, offset)
        self.reads += 1
        wanted = range(offset, min(held.tail, offset + limit))
        entries = tuple(
            LogEntry(item, held.payloads[item])
            for item in wanted
            if item in held.payloads
        )
        return LogPage(entries, held.oldest, held.tail)

    def _check_reading(self, stream: str, offset: int) -> None:
        if self.out:
            raise PlatformUnavailableError("log is out")
        held = self._stream(stream)
        if offset < held.oldest:
            raise OffsetExpiredError(held.oldest)

    def _take(self, fault: str) -> bool:
        left: int = getattr(self, fault)
        if left <= 0:
            return False
        setattr(self, fault, left - 1)
        return True

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())


class LogClient:
    """Reach a fake log as one caller, who can be cut off or slowed down by itself.

    :param log: the log that several callers share.
    """

    def __init__(self, log: FakeLog) -> None:
        self.log = log
        self._cut_off = False
        self.delay_seconds = 0.0
        self.hang = False
        """Let every call wait for ever, as behind a link that drops all packets."""

    @property
    def cut_off(self) -> bool:
        """Tell whether this caller can't reach the log."""
        return self._cut_off

    @cut_off.setter
    def cut_off(self, cut_off: bool) -> None:
        self._cut_off = cut_off
        self.log.wake()

    async def async_append(self, stream: str, payload: bytes) -> int:
        """Append through the cut and the delay."""
        await self._async_pass()
        return await self.log.async_append(stream, payload)

    async def async_read(
        self, stream: str, offset: int, limit: int, wait_seconds: float
    ) -> LogPage:
        """Read through the cut and the delay."""
        await self._async_pass()
        page = await self.log.async_read(stream, offset, limit, wait_seconds)
        if self.cut_off:
            raise PlatformUnavailableError("cut off")
        return page

    async def _async_pass(self) -> None:
        if self.hang:
            await anyio.sleep_forever()
        if self.delay_seconds > 0:
            await anyio.sleep(self.delay_seconds)
        if self.cut_off:
            raise PlatformUnavailableError("cut off")
