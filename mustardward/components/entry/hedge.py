"""Hedge a slow attempt with a second one and use the first response."""

from __future__ import annotations

import anyio
from returns.result import Failure

from ...helpers.timer import TimerService
from .attempts import AttemptRunner, PendingResponse
from .dependencies import EntryDependencies
from .models import RequestFacts
from .protocols import Choice


class HedgedAttempt:
    """Race two attempts of an urgent idempotent request.

    :param delay_seconds: time after which the second attempt is started.
    """

    def __init__(
        self,
        dependencies: EntryDependencies,
        timers: TimerService,
        facts: RequestFacts,
        attempts: AttemptRunner,
        delay_seconds: float,
    ) -> None:
        self._dependencies = dependencies
        self._timers = timers
        self._facts = facts
        self._attempts = attempts
        self._delay_seconds = delay_seconds
        self._running_count = 0
        self._completed = anyio.Event()
        self._winner: PendingResponse | None = None

    async def async_run(self, first: Choice) -> PendingResponse | None:
        """Return the first response, or ``None`` if both attempts fail."""
        try:
            return await self._async_race(first)
        except BaseException:
            # The deadline may expire after a response was received but before it is
            # returned; unless it is closed here, its connection would leak.
            if self._winner is not None:
                with anyio.CancelScope(shield=True):
                    await self._attempts.async_abandon(self._winner, "abandoned")
            raise

    async def _async_race(self, first: Choice) -> PendingResponse | None:
        async with anyio.create_task_group() as group:
            self._start(group, first)
            with anyio.move_on_after(self._delay_seconds):
                await self._completed.wait()
            if not self._completed.is_set():
                second = self._choose_second(first)
                if second is not None:
                    self._start(group, second)
                await self._completed.wait()
            group.cancel_scope.cancel()
        return self._winner

    def _start(self, group: anyio.abc.TaskGroup, choice: Choice) -> None:
        self._running_count += 1
        group.start_soon(self._async_attempt, choice)

    def _choose_second(self, first: Choice) -> Choice | None:
        now = self._timers.monotonic()
        if not self._dependencies.retries.take_hedge(self._facts, now):
            return None
        exclude = frozenset({first.instance.instance_id})
        chosen = self._dependencies.router.choose(self._facts, exclude)
        return None if isinstance(chosen, Failure) else chosen.unwrap()

    async def _async_attempt(self, choice: Choice) -> None:
        pending = await self._attempts.async_send_local(choice)
        self._running_count -= 1
        if pending is not None and self._winner is None:
            self._winner = pending
            self._completed.set()
        elif pending is not None:
            await self._attempts.async_abandon(pending, "hedge-lost")
        elif not self._running_count:
            self._completed.set()
