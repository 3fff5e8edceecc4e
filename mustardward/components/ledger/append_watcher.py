"""Detect in the log itself whether a call to it took effect without an answer.

Without this, a store that performs appends but loses their answers for five seconds,
while it still answers reads, stops the service: each entry node repeats its first
append, 0.7 s per attempt, and holds back all others. The owner's renewals stop, sixty
entry nodes claim the shard, and callers get 504 for jobs that the log already has.
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
"""Delay until an answer is overdue, and interval of the log reads from then on. An
answer takes about 6 ms, so this adds little load to a store that is slow or down."""


def _no_limit() -> float:
    return math.inf


async def async_call_or_observe(
    timers: TimerService,
    call: Callable[[], Awaitable[T]],
    read_log: Callable[[], Awaitable[bool]],
    is_observed: Callable[[], bool],
    answer_timeout: Callable[[], float] = _no_limit,
) -> T | None:
    """Make a call; return None as soon as the log shows that it took effect.

    The call and the log reads run in tasks of their own: the library that makes calls
    to peers cancels the waiting task on a timeout. If that happened in this task while
    the other side finished, the task would have one cancellation request more than its
    cancel scope counts, and the whole process would end.

    :param read_log: reads the log up to its end; returns whether it succeeded.
    :param answer_timeout: returns the seconds after which the call is given up, unless
        a read that began later than that shows its effect. Asked again with each read,
        since the store may become slow while the call is outstanding.
    :raises CallUnknownError: if neither the call nor the log gave a result.
    :raises MustardwardError: whatever the call raises.
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

        async def async_watch_log() -> None:
            sent_at = timers.monotonic()
            while not is_observed():
                await timers.async_sleep(LOG_POLL_SECONDS)
                began = timers.monotonic()
                if is_observed() or not await read_log():
                    continue
                if began >= sent_at + answer_timeout():
                    break
            tasks.cancel_scope.cancel()

        tasks.start_soon(async_call)
        tasks.start_soon(async_watch_log)
    if errors:
        raise errors[0]
    if answers:
        return answers[0]
    if not is_observed():
        raise CallUnknownError("no answer, and no effect visible in the log")
    return None


@dataclass(slots=True, eq=False)
class AppendWatcher:
    """Watch the records read from the log for an append that is in flight.

    An append is stored as a whole or not at all, so that one of its records proves it.

    :param read_log: reads the log up to its end; returns whether it succeeded.
    :param unique_prefixes: prefixes of the keys whose records identify one append: no
        other append has the same key and value.
    """

    read_log: Callable[[], Awaitable[bool]]
    unique_prefixes: tuple[str, ...]
    _expected: tuple[str, bytes] | None = None
    observed: bool = field(default=False, init=False)

    def expect(self, records: list[tuple[str, bytes]]) -> None:
        """Start watching for an append, before it is sent for the first time."""
        self.observed = False
        unique = [r for r in records if r[1] and r[0].startswith(self.unique_prefixes)]
        self._expected = unique[0] if unique else None

    def observe(self, record: KeyedRecord) -> None:
        """Check a record read from the log against the expected one."""
        if self._expected is not None and record.key == self._expected[0]:
            self.observed = self.observed or record.value == self._expected[1]

    @property
    def can_detect(self) -> bool:
        """Return whether the append has a record that identifies it."""
        return self._expected is not None
