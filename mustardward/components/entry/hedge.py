"""Run a second attempt beside a slow first one, and take whichever answers."""

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

    :param delay_seconds: how long the first attempt runs alone.
    """

    def __init__(
        self,
        parts: EntryDependencies,
        timers: TimerService,
        facts: RequestFacts,
        attempts: AttemptRunner,
        delay_seconds: float,
    ) -> None:
        self._parts = parts
        self._timers = timers
        self._facts = facts
        self._attempts = attempts
        self._delay = delay_seconds
        self._running = 0
        self._settled = anyio.Event()
        self._winner: PendingResponse | None = None

    async def async_run(self, first: Choice) -> PendingResponse | None:
        """Return the answer that came first, or nothing if none came."""
        try:
            return await self._async_race(first)
        except BaseException:
            # The deadline may come between an answer and its being taken; nobody
            # would close it, and its worker would stay short of a connection.
            if self._winner is not None:
                with anyio.CancelScope(shield=True):
                    await self._attempts.async_give_up(self._winner, "abandoned")
            raise

    async def _async_race(self, first: Choice) -> PendingResponse | None:
        async with anyio.create_task_group() as group:
            self._start(group, first)
            with anyio.move_on_after(self._delay):
                await self._settled.wait()
            if not self._settled.is_set():
                second = self._choose_second(first)
                if second is not None:
                    self._start(group, second)
                await self._settled.wait()
            group.cancel_scope.cancel()
        return self._winner

    def _start(self, group: anyio.abc.TaskGroup, choice: Choice) -> None:
        self._running += 1
        group.start_soon(self._async_one, choice)

    def _choose_second(self, first: Choice) -> Choice | None:
        now = self._timers.monotonic()
        if not self._parts.retries.take_hedge(self._facts, now):
            return None
        exclude = frozenset({first.instance.instance_id})
        chosen = self._parts.router.choose(self._facts, exclude)
        return None if isinstance(chosen, Failure) else chosen.unwrap()

    async def _async_one(self, choice: Choice) -> None:
        held = await self._attempts.async_local(choice)
        self._running -= 1
        if held is not None and self._winner is None:
            self._winner = held
            self._settled.set()
        elif held is not None:
            await self._attempts.async_give_up(held, "hedge-lost")
        elif not self._running:
            self._settled.set()
