"""Leave without cutting off a request."""

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

_STEP_SECONDS: Final = 0.05


class Drain:
    """Take an entry out of service, once.

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
        self._begun = False

    @property
    def health(self) -> EntryHealth:
        """Return what balancers are told."""
        return self._health

    @property
    def listener(self) -> HttpListener:
        """Return the callers' listener."""
        return self._listener

    async def async_run(self) -> None:
        """Announce the leaving, let callers go elsewhere, then finish what is left."""
        if self._begun:
            return
        self._begun = True
        timers = self._core.timers
        began = timers.monotonic()
        self._health.leave()
        await self._async_announce()
        # The balancer sends requests until it has noticed. They are served as any
        # other; each answer says "connection: close", so that few connections are
        # left on which a request could cross with their end.
        await timers.async_sleep(self._core.settings.entry.leaving_seconds)
        _LOGGER.info("listener_closing", in_progress=self._health.in_progress)
        await self._listener.async_stop()
        await self._async_finish(timers.monotonic())
        _LOGGER.info("drained", seconds=timers.monotonic() - began)

    async def _async_finish(self, began: float) -> None:
        # Nothing lives longer than the longest deadline: what is left after it was
        # lost count of, and must not keep the process from ending.
        timers = self._core.timers
        until = began + self._core.settings.limits.maximum_deadline_seconds
        while self._service.unfinished and timers.monotonic() < until:
            await timers.async_sleep(_STEP_SECONDS)
        if self._service.unfinished:
            _LOGGER.error("drain_incomplete", unfinished=self._service.unfinished)

    async def _async_announce(self) -> None:
        membership = self._core.find(MEMBERSHIP)
        if membership is None:
            return
        try:
            await membership.async_announce_leaving()
        except MustardwardError as error:
            _LOGGER.warning("leaving_not_announced", error=error.code)
