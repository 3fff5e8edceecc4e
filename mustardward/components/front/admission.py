"""Find the queue of a request, and check whether its caller may use it."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Final

from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ...platform.models import Queue
from ..configuration.routing import queue_key
from ..configuration.services import Configuration
from ..ledger.follower import TopicFollower
from ..organisations.access import resolve_caller
from ..organisations.models import Caller
from .const import MAX_CONFIG_AGE_SECONDS
from .models import AdmittedRequest, Reply, Request, error_reply
from .refusals import Refusals

_LOGGER = get_logger(__name__)

UNAUTHORIZED_STATUS: Final = 401


@dataclass(slots=True, eq=False)
class Admission:
    """Admit callers by the newest configuration known here.

    :param max_key_age_seconds: age of the configuration beyond which no key is accepted
        any more, since it may have been revoked; None to keep accepting the last known
        keys.
    """

    timers: TimerService
    configuration: Configuration
    follower: TopicFollower
    refusals: Refusals
    max_key_age_seconds: float | None = None

    async def async_admit(self, request: Request) -> AdmittedRequest | Reply:
        """Return the queue and caller of a request, or the refusal.

        A final refusal needs a configuration that was just read. Otherwise an entry
        node with a silent connection to the store would permanently refuse callers for
        a queue or key that was added seconds before.
        """
        if self.configuration.config is None:
            return self._reject(request, "no-configuration", "it is not read yet")
        result = self.resolve(request)
        if isinstance(result, Reply) and self._config_age() > MAX_CONFIG_AGE_SECONDS:
            detail = f"age={self._config_age():.1f}"
            if not await self.follower.async_catch_up():
                return self._reject(request, "configuration-old", detail)
            result = self.resolve(request)
        if isinstance(result, Reply) and result.status == UNAUTHORIZED_STATUS:
            self._log_unknown_api_key(request)
        if isinstance(result, AdmittedRequest) and not await self._async_keys_recent(
            result.queue
        ):
            return self._reject(request, "configuration-old", "keys may be gone")
        return result

    def resolve(self, request: Request) -> AdmittedRequest | Reply:
        """Return the queue and caller by the local configuration, or the refusal."""
        version = self.configuration.version
        queue = self.configuration.routes.find(request.host, request.path)
        if queue is None:
            detail = "no queue has this host and path"
            return replace(error_reply(404, "no-such-queue", detail), version=version)
        caller = self._resolve_caller(request, queue)
        if caller is None:
            detail = "no organisation has the key shown"
            refusal = error_reply(UNAUTHORIZED_STATUS, "unknown-key", detail)
            return replace(refusal, version=version)
        return AdmittedRequest(queue, caller, version)

    def newest_allowing(self, request: Request, admitted: AdmittedRequest) -> int:
        """Return the newest version known here that admits a request in the same way.

        :param admitted: result of its admission.
        """
        if admitted.version == self.configuration.version:
            return admitted.version
        current = self.resolve(request)
        if isinstance(current, Reply) or current.caller != admitted.caller:
            return admitted.version
        if _destination(current.queue) != _destination(admitted.queue):
            return admitted.version
        return current.version

    def _resolve_caller(self, request: Request, queue: Queue) -> Caller | None:
        return resolve_caller(self.configuration.api_keys, queue, request.key)

    def _config_age(self) -> float:
        return self.timers.monotonic() - self.follower.up_to_date_at

    async def _async_keys_recent(self, queue: Queue) -> bool:
        """Return whether the API keys are as recent as the deployment requires."""
        max_age = self.max_key_age_seconds
        if queue.public or max_age is None or self._config_age() <= max_age:
            return True
        return await self.follower.async_catch_up()

    def _reject(self, request: Request, code: str, detail: str) -> Reply:
        return self.refusals.reject(request.path, code, detail)

    def _log_unknown_api_key(self, request: Request) -> None:
        config = self.configuration.config
        _LOGGER.info(
            "api_key_unknown",
            request=request.path,
            key_given=bool(request.key),
            version=config.version if config is not None else 0,
            age=self._config_age(),
        )


def _destination(queue: Queue) -> tuple[str, str]:
    return queue_key(queue), queue.service
