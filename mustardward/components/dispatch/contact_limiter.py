"""Limit how many unconfirmed workers are polled concurrently.

A new owner polls thousands of workers for what they run. If it polls all of them at
once, each call times out while it waits for the others inside this process; repeated
the same way, no call ever completes and no task is started.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

import anyio

MAX_CONCURRENT_CONTACTS: Final = 96
"""Opening a connection and polling takes an owner 1 to 2 ms of a core, so that on half
a core all of them are served within the 0.35 s that a worker has for its answer (of
3,000 workers, 807 were reported as unresponsive with a limit of 256, 387 with this
one). Workers behind a network partition occupy a slot for 0.6 s each: by calculation,
750 of them delay the others by 4.7 s."""


class ContactLimiter:
    """Grant polling slots in the order in which they were requested."""

    def __init__(self, limit: int = MAX_CONCURRENT_CONTACTS) -> None:
        self._slots = anyio.Semaphore(limit, fast_acquire=True)

    @asynccontextmanager
    async def async_slot(self, needed: bool) -> AsyncIterator[None]:
        """Hold a slot while a worker is polled.

        :param needed: False for a worker that answered recently; it takes no slot.
        """
        if not needed:
            yield
            return
        async with self._slots:
            yield
