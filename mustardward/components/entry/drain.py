"""Drain an entry without aborting requests."""

from __future__ import annotations

from typing import Final

from ...core import Core
from ...exceptions import MustardwardError
from ...helpers.listener import HttpListener
from ...helpers.logging import get_logger
from ..keys import MEMBERSHIP
from .health import EntryHealth
from .service import EntryService

_LOGGER = get_logger(__name__)

_POLL_SECONDS: Final = 0.05


class Drain:
    """Take an entry out of service; further calls do nothing.

    :param listener: the callers' listener.
    """

    def __init__(
        self,
        core: Core,
        health: EntryHealth,
        listener: HttpListener,
        service: EntryService,
    ) -> None:
        self._core = core
        self._health = health
        self._listener = listener
        self._service = service
        self._started = False

    @property
    def health(self) -> EntryHealth:
        """Return the health that load balancers probe."""
        return self._health

    @property
    def listener(self) -> HttpListener:
        """Return the callers' listener."""
        return self._listener

    async def async_run(self) -> None:
        """Announce the shutdown, let callers move, then finish open requests."""
        if self._started:
            return
        self._started = True
        timers = self._core.timers
        started_at = timers.monotonic()
        self._health.start_draining()
        await self._async_announce()
        # The load balancer sends requests until its probe fails. They are served as
        # usual; each response carries "connection: close", so that few connections are
        # left on which a request could race with their closing.
        await timers.async_sleep(self._core.settings.entry.leaving_seconds)
        _LOGGER.info("listener_closing", in_progress=self._health.in_progress)
        await self._listener.async_stop()
        await self._async_finish(timers.monotonic())
        _LOGGER.info("drained", seconds=timers.monotonic() - started_at)

    async def _async_finish(self, started_at: float) -> None:
        # No request outlives the maximum deadline: what is left after it is an
        # accounting error and must not block the shutdown.
        timers = self._core.timers
        deadline = started_at + self._core.settings.limits.maximum_deadline_seconds
        while self._service.unfinished and timers.monotonic() < deadline:
            await timers.async_sleep(_POLL_SECONDS)
        if self._service.unfinished:
            _LOGGER.error("drain_incomplete", unfinished=self._service.unfinished)

    async def _async_announce(self) -> None:
        membership = self._core.find(MEMBERSHIP)
        if membership is None:
            return
        try:
            await membership.async_announce_leaving()
        except MustardwardError as error:
            _LOGGER.warning("leave_announcement_failed", error=error.code)
