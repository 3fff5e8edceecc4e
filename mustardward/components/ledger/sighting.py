"""Learn from the log itself what became of a call to it whose answer does not come.

Symptom without it: the store carries appends out and loses their answers for five
seconds, while it answers reads. Each entry repeats its first append, 0.7 s a try, and
holds all others back; the owner's renewals stop, sixty entries claim the shard, and
callers are told 504 for jobs that the log has had all the while.
"""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final, TypeVar

import anyio

from ...exceptions import MustardwardError
from ...helpers.timer import TimerService
from ...platform.exceptions import CallUnknownError
from ...platform.store import KeyedRecord

T = TypeVar("T")

LOG_POLL_SECONDS: Final = 0.15
"""Time after which an answer is overdue, and between two reads for what it would say:
an answer takes some 6 ms, so a store that is slow or away is asked little more."""


async def async_call_or_observe(
    timers: TimerService,
    call: Callable[[], Awaitable[T]],
    read_log: Callable[[], Awaitable[bool]],
    is_observed: Callable[[], bool],
    answer_timeout: float = math.inf,
) -> T | None:
    """Make a call; return None as soon as the log shows that it was carried out.

    Both run in tasks of their own. A peer call's library cancels the task that waits
    for it when its time is out; where that met the end of the other here, this task
    was asked to end once more than the scope knew, and the entry with it.

    :param look: reads the log up to its end; returns whether it could.
    :param patience: seconds after which the call is given up, if a read that began
        later than that does not show it.
    :raises CallUnknownError: if neither the call nor the log said anything.
    :raises MustardwardError: what the call raises.
    """
    answers: list[T] = []
    errors: list[MustardwardError] = []
    async with anyio.create_task_group() as tasks:

        async def async_call() -> None:
            try:
                answers.append(await call())
            except MustardwardError as error:
                errors.append(error)
            tasks.cancel_scope.cancel()

        async def async_watch() -> None:
            give_up_at = timers.monotonic() + answer_timeout
            while not is_observed():
                await timers.async_sleep(LOG_POLL_SECONDS)
                began = timers.monotonic()
                if not is_observed() and await read_log() and began >= give_up_at:
                    break
            tasks.cancel_scope.cancel()

        tasks.start_soon(async_call)
        tasks.start_soon(async_watch)
    if errors:
        raise errors[0]
    if answers:
        return answers[0]
    if not is_observed():
        raise CallUnknownError("neither answered nor seen")
    return None


@dataclass(slots=True, eq=False)
class AppendWatcher:
    """Watch the records that are read for one of an append that is under way.

    An append is stored as a whole or not at all, so that one of its records shows all.

    :param look: reads the log up to its end.
    :param marking: beginnings of the keys whose records name their one append: no
        other append has the same key and value.
    """

    read_log: Callable[[], Awaitable[bool]]
    unique_prefixes: tuple[str, ...]
    _marker: tuple[str, bytes] | None = None
    observed: bool = field(default=False, init=False)

    def expect(self, records: list[tuple[str, bytes]]) -> None:
        """Watch for an append that is about to be sent for the first time."""
        self.observed = False
        marks = [r for r in records if r[1] and r[0].startswith(self.unique_prefixes)]
        self._marker = marks[0] if marks else None

    def observe(self, record: KeyedRecord) -> None:
        """Take in a record that was read."""
        if self._marker is not None and record.key == self._marker[0]:
            self.observed = self.observed or record.value == self._marker[1]

    @property
    def can_detect(self) -> bool:
        """Return whether a record of the append would show it."""
        return self._marker is not None
