"""The advice service, which knows which minions may run a step."""

from __future__ import annotations

import asyncio
import json
import secrets
import time
import zlib

from aiohttp import web

from .record import Record

MAX_WAITING = 32


class Advice:
    """Handle one call at a time, in turn, as PROTOCOL.md says.

    :param decide_ms: time of a call, and ``period_ms`` more for each worker named.
    """

    def __init__(
        self, record: Record, decide_ms: float, period_ms: float, valid_ms: float
    ) -> None:
        self._record = record
        self._decide_ms = decide_ms
        self._period_ms = period_ms
        self._valid_ms = valid_ms
        self._turn = asyncio.Lock()
        self._waiting = 0
        self._valid_until: dict[tuple[str, str, str], float] = {}
        self.answered = 0
        self.answered_to_nobody = 0
        self.refused = 0

    def settings(self) -> dict[str, float]:
        """Return the part of a queue's configuration that names the timings."""
        return {
            "decide-ms": self._decide_ms,
            "period-ms": self._period_ms,
            "valid-ms": self._valid_ms,
        }

    def is_valid(self, step: str, minion: str, ticket: str) -> bool:
        """Return whether a ticket is valid for a step on a minion."""
        until = self._valid_until.get((step, minion, ticket), 0.0)
        return time.monotonic() < until

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse | None:
        """Answer a call, or return None if it is not for this service."""
        if request.path != "/mustardward/advise":
            return None
        order = json.loads(await request.read())
        step, workers = str(order["step"]), [str(name) for name in order["workers"]]
        if self._waiting >= MAX_WAITING:
            self.refused += 1
            self._record.add("advice_refused", step=step, waiting=self._waiting)
            return web.Response(status=429)
        self._waiting += 1
        began = time.monotonic()
        async with self._turn:
            self._waiting -= 1
            seconds = (self._decide_ms + self._period_ms * len(workers)) / 1000
            await asyncio.sleep(seconds)
        transport = request.transport
        gone = transport is None or transport.is_closing()
        self.answered += not gone
        self.answered_to_nobody += gone
        self._record.add(
            "advice",
            step=step,
            workers=len(workers),
            seconds=round(time.monotonic() - began, 3),
            caller="gone" if gone else "there",
        )
        allowed = [[name, self._ticket(step, name)] for name in workers]
        body = {
            "allowed": [row for row in allowed if _may_run(step, row[0])],
            "valid-ms": self._valid_ms,
        }
        return web.Response(text=json.dumps(body), content_type="application/json")

    def _ticket(self, step: str, minion: str) -> str:
        ticket = secrets.token_hex(6)
        until = time.monotonic() + self._valid_ms / 1000
        self._valid_until[step, minion, ticket] = until
        return ticket


def _may_run(step: str, minion: str) -> bool:
    """Return whether the policy allows a minion: three of four, always the same."""
    return zlib.crc32(f"{step} {minion}".encode()) % 4 != 0
