"""Decide which queue a request is for, and whether its caller may call there."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ...platform.models import Queue
from ..configuration.services import Configuration
from ..ledger.follower import TopicFollower
from ..organisations.access import resolve_caller
from ..organisations.models import Caller
from .const import CONFIG_FRESH_SECONDS
from .models import Admitted, Reply, Request, error_reply
from .refusing import Refusing

_LOGGER = get_logger(__name__)

UNAUTHORISED: Final = 401


@dataclass(slots=True, eq=False)
class Admission:
    """Admit callers by the newest configuration that is known here.

    :param oldest_keys_seconds: age of the configuration beyond which no key is taken
        for good any more, since it may have been withdrawn; None where callers are
        served on by the last known keys.
    """

    timers: TimerService
    configuration: Configuration
    follower: TopicFollower
    refusing: Refusing
    oldest_keys_seconds: float | None = None

    async def async_admit(self, request: Request) -> Admitted | Reply:
        """Return who calls which queue, or the refusal.

        A final refusal is given only as of a configuration just read. Symptom without
        it: what was added seconds before is refused for good. Cause: an entry whose
        connection to the store is silent answers by what it last read.
        """
        if self.configuration.config is None:
            return self._refused(request, "no-configuration", "it is not read yet")
        found = self.find(request)
        if isinstance(found, Reply) and self._age() > CONFIG_FRESH_SECONDS:
            detail = f"age={self._age():.1f}"
            if not await self.follower.async_confirm():
                return self._refused(request, "configuration-old", detail)
            found = self.find(request)
        if isinstance(found, Reply) and found.status == UNAUTHORISED:
            self._log_unknown_key(request)
        if isinstance(found, Admitted) and not await self._async_trusts(found.queue):
            return self._refused(request, "configuration-old", "keys may be gone")
        return found

    def find(self, request: Request) -> Admitted | Reply:
        """Return who calls which queue as far as is known here, or why nobody does."""
        queue = self.configuration.routes.find(request.host, request.path)
        if queue is None:
            return error_reply(404, "no-such-queue", "no queue has this host and path")
        caller = self._identify(request, queue)
        if caller is None:
            detail = "no organisation has the key shown"
            return error_reply(UNAUTHORISED, "unknown-key", detail)
        return Admitted(queue, caller)

    def _identify(self, request: Request, queue: Queue) -> Caller | None:
        return resolve_caller(self.configuration.api_keys, queue, request.key)

    def _age(self) -> float:
        return self.timers.monotonic() - self.follower.fresh_at

    async def _async_trusts(self, queue: Queue) -> bool:
        """Return whether the keys in force are as young as the deployment asks."""
        oldest = self.oldest_keys_seconds
        if queue.public or oldest is None or self._age() <= oldest:
            return True
        return await self.follower.async_confirm()

    def _refused(self, request: Request, code: str, detail: str) -> Reply:
        return self.refusing.refused(request.path, code, detail)

    def _log_unknown_key(self, request: Request) -> None:
        config = self.configuration.config
        _LOGGER.info(
            "key_unknown",
            request=request.path,
            shown=bool(request.key),
            version=config.version if config is not None else 0,
            age=self._age(),
        )
