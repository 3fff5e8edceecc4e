"""Bound how many workers that are not heard of are asked at once.

Load pattern: a new owner asks thousands of workers what they run. Asked all at once,
each call waits for all others inside this process while its own limit of time runs out;
asked again all at once, none is ever heard, and nothing is started.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

import anyio

MOST_CONTACTS: Final = 96
"""Workers asked at once. Opening a connection and asking takes an owner 1 to 2 ms of a
core, so that on half a core all of them have their turn within the 0.35 s that a worker
has for its answer (3,000 workers, silent ones told of: 807 with 256 at once, 387 with
these). Workers behind a cut hold a place for 0.6 s each: 750 of them hold up the others
by 4.7 s, reckoned."""


class Contacts:
    """Let some workers be asked at once, in the order in which they came."""

    def __init__(self, most: int = MOST_CONTACTS) -> None:
        self._places = anyio.Semaphore(most, fast_acquire=True)

    @asynccontextmanager
    async def async_place(self, needed: bool) -> AsyncIterator[None]:
        """Hold a place while a worker is asked.

        :param needed: False for a worker that answered a moment ago; it waits for none.
        """
        if not needed:
            yield
            return
        async with self._places:
            yield
