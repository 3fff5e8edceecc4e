"""Call the platform over HTTP and turn what goes wrong into typed failures."""

from __future__ import annotations

from typing import Any, Final

import httpx

from ...const import HEADER_RAN
from ...exceptions import (
    MustardwardError,
    PlatformOutcomeUnknownError,
    PlatformRefusedError,
    PlatformUnavailableError,
    StaleGenerationError,
)

_NOT_SENT: Final = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class PlatformHttp:
    """Send calls to one base URL, or to absolute URLs.

    :param client: carries the calls; its owner closes it.
    :param timeout_seconds: longest wait for an answer.
    """

    def __init__(self, client: httpx.AsyncClient, timeout_seconds: float) -> None:
        self._client = client
        self._timeout_seconds = timeout_seconds

    async def async_read(
        self, path: str, extra_seconds: float = 0.0, **params: Any
    ) -> httpx.Response:
        """Make a call that has no effect.

        :param extra_seconds: added to the time-out, for a long poll.
        :raises PlatformUnavailableError: if there was no usable answer.
        """
        try:
            answer = await self._client.get(
                path, params=params, timeout=self._timeout_seconds + extra_seconds
            )
        except httpx.TransportError as error:
            raise PlatformUnavailableError(_describe(error)) from error
        if answer.status_code >= 500 or answer.status_code == 429:
            raise PlatformUnavailableError(f"status={answer.status_code}")
        return answer

    async def async_send(
        self,
        method: str,
        path: str,
        *,
        content: bytes | None = None,
        json: Any = None,
    ) -> httpx.Response:
        """Make a call that may have an effect.

        :raises PlatformUnavailableError: if it certainly had none.
        :raises PlatformOutcomeUnknownError: if it was sent and its answer was lost.
        """
        try:
            answer = await self._client.request(
                method,
                path,
                content=content,
                json=json,
                timeout=self._timeout_seconds,
            )
        except _NOT_SENT as error:
            raise PlatformUnavailableError(_describe(error)) from error
        except httpx.TransportError as error:
            # From here on bytes may have reached the platform. To call this "had no
            # effect" would let a caller act twice, seen as two entries or two reboots
            # for one wish.
            raise PlatformOutcomeUnknownError(_describe(error)) from error
        if answer.status_code == 503 and HEADER_RAN not in answer.headers:
            raise PlatformUnavailableError("status=503")
        if answer.status_code >= 500 and answer.status_code != 503:
            raise PlatformOutcomeUnknownError(f"status={answer.status_code}")
        return answer


def refused(answer: httpx.Response) -> MustardwardError:
    """Return the failure that a refusal names."""
    code = _code(answer)
    if code == StaleGenerationError.code:
        return StaleGenerationError(answer.text)
    return PlatformRefusedError(f"status={answer.status_code} code={code}")


def _code(answer: httpx.Response) -> str:
    try:
        body = answer.json()
    except ValueError:
        return ""
    return str(body.get("code", "")) if isinstance(body, dict) else ""


def _describe(error: httpx.TransportError) -> str:
    return f"{type(error).__name__} {error}".strip()
