"""Provide the timer service that all parts subscribe to.

Nothing else in the product reads a clock, so tests drive all time by hand.
"""

from __future__ import annotations

import math
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final, Protocol

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup

from .logging import get_logger

_LOGGER = get_logger(__name__)

PAUSE_THRESHOLD_SECONDS: Final = 1.0
_PULSE_SECONDS: Final = 0.25

TimerCallback = Callable[[], Awaitable[None]]
PauseCallback = Callable[[float], None]
Unsubscribe = Callable[[], None]


class TimerService(Protocol):
    """Tell the time, wait, and call subscribers at intervals."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""
        ...

    def wall(self) -> float:
        """Return seconds since the epoch; for people and windows only."""
        ...

    async def async_sleep(self, seconds: float) -> None:
        """Wait for ``seconds``."""
        ...

    def subscribe(
        self, name: str, interval_seconds: float, callback: TimerCallback
    ) -> Unsubscribe:
        """Call ``callback`` every ``interval_seconds`` until unsubscribed."""
        ...

    def subscribe_pause(self, callback: PauseCallback) -> Unsubscribe:
        """Call ``callback`` with the seconds lost after the process was paused."""
        ...


@dataclass(slots=True, eq=False)
class _Subscription:
    """Hold one periodic call."""

    name: str
    interval_seconds: float
    callback: TimerCallback
    cancelled: bool = False
    due: float = 0.0


@dataclass(slots=True, eq=False)
class _Subscriptions:
    """Hold the callbacks that want to hear of pauses."""

    callbacks: list[PauseCallback] = field(default_factory=list)

    def add(self, callback: PauseCallback) -> Unsubscribe:
        self.callbacks.append(callback)

        def unsubscribe() -> None:
            if callback in self.callbacks:
                self.callbacks.remove(callback)

        return unsubscribe

    def announce(self, lost_seconds: float) -> None:
        for callback in list(self.callbacks):
            callback(lost_seconds)


class LoopTimerService:
    """Keep real time on the running loop.

    :param task_group: the group that carries the subscribers' tasks.
    """

    def __init__(self, task_group: TaskGroup) -> None:
        self._task_group = task_group
        self._pauses = _Subscriptions()

    def start(self) -> None:
        """Begin to look for pauses of the process."""
        self._task_group.start_soon(self._async_watch_pauses)

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the epoch; for people and windows only."""
        return time.time()

    async def async_sleep(self, seconds: float) -> None:
        """Wait for ``seconds``."""
        await anyio.sleep(seconds)

    def subscribe(
        self, name: str, interval_seconds: float, callback: TimerCallback
    ) -> Unsubscribe:
        """Call ``callback`` every ``interval_seconds`` until unsubscribed."""
        subscription = _Subscription(name, interval_seconds, callback)
        self._task_group.start_soon(self._async_repeat, subscription)

        def unsubscribe() -> None:
            subscription.cancelled = True

        return unsubscribe

    def subscribe_pause(self, callback: PauseCallback) -> Unsubscribe:
        """Call ``callback`` with the seconds lost after the process was paused."""
        return self._pauses.add(callback)

    async def _async_repeat(self, subscription: _Subscription) -> None:
        while not subscription.cancelled:
            await anyio.sleep(subscription.interval_seconds)
            if subscription.cancelled:
                return
            await _async_call(subscription)

    async def _async_watch_pauses(self) -> None:
        # A stopped process does not notice that it was stopped: its leases and its
        # picture of the fleet are old, yet every variable looks as before. A sleep
        # that took far longer than asked for is the sign, and subscribers then
        # confirm the log's tail before they act again.
        last = time.monotonic()
        while True:
            await anyio.sleep(_PULSE_SECONDS)
            now = time.monotonic()
            lost = now - last - _PULSE_SECONDS
            last = now
            if lost > PAUSE_THRESHOLD_SECONDS:
                _LOGGER.warning("process_paused", lost_seconds=lost)
                self._pauses.announce(lost)


class DrivenTimerService:
    """Stand still until told to advance; for tests and the planner's dry runs.

    :param start: first value of both clocks, in seconds.
    """

    def __init__(self, start: float = 1_000_000.0) -> None:
        self._now = start
        self._subscriptions: list[_Subscription] = []
        self._sleepers: list[tuple[float, anyio.Event]] = []
        self._pauses = _Subscriptions()

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""
        return self._now

    def wall(self) -> float:
        """Return seconds since the epoch; for people and windows only."""
        return self._now

    async def async_sleep(self, seconds: float) -> None:
        """Wait until the clock was advanced by ``seconds``."""
        event = anyio.Event()
        self._sleepers.append((self._now + seconds, event))
        await event.wait()

    def subscribe(
        self, name: str, interval_seconds: float, callback: TimerCallback
    ) -> Unsubscribe:
        """Call ``callback`` every ``interval_seconds`` of driven time."""
        subscription = _Subscription(
            name, interval_seconds, callback, due=self._now + interval_seconds
        )
        self._subscriptions.append(subscription)

        def unsubscribe() -> None:
            subscription.cancelled = True

        return unsubscribe

    def subscribe_pause(self, callback: PauseCallback) -> Unsubscribe:
        """Call ``callback`` when ``async_pause`` is driven."""
        return self._pauses.add(callback)

    async def async_advance(self, seconds: float) -> None:
        """Move time on, calling all that falls due in its order."""
        end = self._now + seconds
        while (due := self.next_due()) <= end:
            self._now = max(self._now, due)
            await self._async_fire()
        self._now = end

    def pause(self, seconds: float) -> None:
        """Jump ahead without calling what fell due, as a stopped process would."""
        self._now += seconds
        self._pauses.announce(seconds)

    def next_due(self) -> float:
        """Return when something falls due next, or infinity."""
        subscribers = [s.due for s in self._subscriptions if not s.cancelled]
        sleepers = [due for due, _ in self._sleepers]
        return min(subscribers + sleepers, default=math.inf)

    async def _async_fire(self) -> None:
        awake = [event for due, event in self._sleepers if due <= self._now]
        self._sleepers = [item for item in self._sleepers if item[0] > self._now]
        for event in awake:
            event.set()
        for subscription in list(self._subscriptions):
            if not subscription.cancelled and subscription.due <= self._now:
                subscription.due = self._now + subscription.interval_seconds
                await _async_call(subscription)
        await anyio.lowlevel.checkpoint()


async def _async_call(subscription: _Subscription) -> None:
    # One part's bug must not end the timer of all others; it would show as every
    # periodic duty stopping at once, with a single traceback long before.
    try:
        await subscription.callback()
    except Exception as error:
        _LOGGER.error(
            "timer_callback_failed",
            timer=subscription.name,
            error=type(error).__name__,
            detail=str(error),
        )
