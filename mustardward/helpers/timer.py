"""Provide the timer service of all components.

Components read time only through it, so tests control their clock.
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
from .newest_pause import NewestPause

_LOGGER = get_logger(__name__)

PAUSE_THRESHOLD_SECONDS: Final = 1.0
_PAUSE_CHECK_SECONDS: Final = 0.25

TimerCallback = Callable[[], Awaitable[None]]
PauseCallback = Callable[[float], None]
Unsubscribe = Callable[[], None]


class TimerService(Protocol):
    """Interface for reading clocks, sleeping and periodic callbacks."""

    def monotonic(self) -> float:
        """Return seconds of a monotonic clock."""
        ...

    def boottime(self) -> float:
        """Return seconds of a monotonic clock that also counts suspensions."""
        ...

    def wall(self) -> float:
        """Return seconds since the epoch; only for display and time windows."""
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
        """Call ``callback`` with the seconds of each pause of the process."""
        ...

    def paused_seconds_since(self, since: float) -> float:
        """Return how long the newest pause took that ended since a monotonic time."""
        ...


@dataclass(slots=True, eq=False)
class _Subscription:
    """Periodic callback."""

    name: str
    interval_seconds: float
    callback: TimerCallback
    cancelled: bool = False
    due: float = 0.0


@dataclass(slots=True, eq=False)
class _PauseListeners:
    """Callbacks for pauses of the process."""

    callbacks: list[PauseCallback] = field(default_factory=list)

    def add(self, callback: PauseCallback) -> Unsubscribe:
        self.callbacks.append(callback)

        def unsubscribe() -> None:
            if callback in self.callbacks:
                self.callbacks.remove(callback)

        return unsubscribe

    def notify(self, pause_seconds: float) -> None:
        for callback in list(self.callbacks):
            callback(pause_seconds)


class LoopTimerService:
    """Timer service with the real clocks, on the running event loop.

    :param task_group: runs the subscribers' tasks.
    """

    def __init__(self, task_group: TaskGroup) -> None:
        self._task_group = task_group
        self._pauses = _PauseListeners()
        self._newest_pause = NewestPause(_PAUSE_CHECK_SECONDS, PAUSE_THRESHOLD_SECONDS)

    def start(self) -> None:
        """Start to detect pauses of the process."""
        self._task_group.start_soon(self._async_watch_pauses)

    def monotonic(self) -> float:
        """Return seconds of a monotonic clock."""
        return time.monotonic()

    def boottime(self) -> float:
        """Return seconds of a monotonic clock that also counts suspensions."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since the epoch; only for display and time windows."""
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
        """Call ``callback`` with the seconds of each pause of the process."""
        return self._pauses.add(callback)

    def paused_seconds_since(self, since: float) -> float:
        """Return how long the newest pause took that ended since a monotonic time.

        The caller may run before the task that detects pauses.
        """
        return self._newest_pause.seconds_since(since, self.monotonic())

    async def _async_repeat(self, subscription: _Subscription) -> None:
        while not subscription.cancelled:
            await anyio.sleep(subscription.interval_seconds)
            if subscription.cancelled:
                return
            await _async_call(subscription)

    async def _async_watch_pauses(self) -> None:
        # A process doesn't notice its suspension: when it resumes, its leases and its
        # view of the fleet are stale, although all variables are unchanged. The sign
        # is a sleep that takes far longer than requested; subscribers then read the
        # log's tail before they act.
        self._newest_pause.check(self.monotonic())
        while True:
            await anyio.sleep(_PAUSE_CHECK_SECONDS)
            pause_seconds = self._newest_pause.check(self.monotonic())
            if pause_seconds:
                _LOGGER.warning("process_paused", pause_seconds=pause_seconds)
                self._pauses.notify(pause_seconds)


class DrivenTimerService:
    """Timer service whose clock only advances on request; for tests and dry runs.

    :param start: initial value of all clocks, in seconds.
    """

    def __init__(self, start: float = 1_000_000.0) -> None:
        self._now = start
        self._suspended_seconds = 0.0
        self._subscriptions: list[_Subscription] = []
        self._sleepers: list[tuple[float, anyio.Event]] = []
        self._pauses = _PauseListeners()
        self._newest_pause = NewestPause(_PAUSE_CHECK_SECONDS, PAUSE_THRESHOLD_SECONDS)

    def monotonic(self) -> float:
        """Return seconds of a monotonic clock."""
        return self._now

    def boottime(self) -> float:
        """Return seconds of a monotonic clock that also counts suspensions."""
        return self._now + self._suspended_seconds

    def wall(self) -> float:
        """Return seconds since the epoch; only for display and time windows."""
        return self._now + self._suspended_seconds

    async def async_sleep(self, seconds: float) -> None:
        """Wait until the clock has advanced by ``seconds``."""
        event = anyio.Event()
        self._sleepers.append((self._now + seconds, event))
        await event.wait()

    def subscribe(
        self, name: str, interval_seconds: float, callback: TimerCallback
    ) -> Unsubscribe:
        """Call ``callback`` every ``interval_seconds`` of simulated time."""
        subscription = _Subscription(
            name, interval_seconds, callback, due=self._now + interval_seconds
        )
        self._subscriptions.append(subscription)

        def unsubscribe() -> None:
            subscription.cancelled = True

        return unsubscribe

    def subscribe_pause(self, callback: PauseCallback) -> Unsubscribe:
        """Call ``callback`` with the duration of each simulated pause, in seconds."""
        return self._pauses.add(callback)

    def paused_seconds_since(self, since: float) -> float:
        """Return the seconds of the newest simulated pause that ended since a time."""
        return self._newest_pause.seconds_since(since, self._now)

    async def async_advance(self, seconds: float) -> None:
        """Advance the clock, and run due callbacks and sleepers in order of time."""
        end = self._now + seconds
        while (due := self.next_due()) <= end:
            self._now = max(self._now, due)
            await self._async_fire()
        self._now = end

    def suspend(self, seconds: float) -> None:
        """Suspend the machine, which the monotonic clock does not count."""
        self._suspended_seconds += seconds

    def pause(self, seconds: float) -> None:
        """Advance the clock without running due callbacks, like a stopped process."""
        self._now += seconds
        self._newest_pause.record(self._now, seconds)
        self._pauses.notify(seconds)

    def next_due(self) -> float:
        """Return the time of the next callback or sleeper, or infinity."""
        subscribers = [s.due for s in self._subscriptions if not s.cancelled]
        sleepers = [due for due, _ in self._sleepers]
        return min(subscribers + sleepers, default=math.inf)

    async def _async_fire(self) -> None:
        elapsed = [event for due, event in self._sleepers if due <= self._now]
        self._sleepers = [item for item in self._sleepers if item[0] > self._now]
        for event in elapsed:
            event.set()
        for subscription in list(self._subscriptions):
            if not subscription.cancelled and subscription.due <= self._now:
                subscription.due = self._now + subscription.interval_seconds
                await _async_call(subscription)
        await anyio.lowlevel.checkpoint()


async def _async_call(subscription: _Subscription) -> None:
    # A failing callback must not stop the other timers: all periodic work would end
    # at once, with a single traceback long before as the only sign of the cause.
    try:
        await subscription.callback()
    except Exception as error:
        _LOGGER.error(
            "timer_callback_failed",
            timer=subscription.name,
            error=type(error).__name__,
            detail=str(error),
        )
