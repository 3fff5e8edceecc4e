"""Call the platform over HTTP and map failures to typed errors."""

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

_CONNECT_ERRORS: Final = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class PlatformHttp:
    """Send calls to one base URL, or to absolute URLs.

    :param client: HTTP client, closed by its owner.
    :param timeout_seconds: timeout of a response.
    """

    def __init__(self, client: httpx.AsyncClient, timeout_seconds: float) -> None:
        self._client = client
        self._timeout_seconds = timeout_seconds

    async def async_read(
        self, path: str, extra_seconds: float = 0.0, **params: Any
    ) -> httpx.Response:
        """Make a call without side effects.

        :param extra_seconds: added to the timeout, for a long poll.
        :raises PlatformUnavailableError: if there was no usable response.
        """
        try:
            response = await self._client.get(
                path, params=params, timeout=self._timeout_seconds + extra_seconds
            )
        except httpx.TransportError as error:
            raise PlatformUnavailableError(_format_error(error)) from error
        if response.status_code >= 500 or response.status_code == 429:
            raise PlatformUnavailableError(f"status={response.status_code}")
        return response

    async def async_send(
        self,
        method: str,
        path: str,
        *,
        content: bytes | None = None,
        json: Any = None,
    ) -> httpx.Response:
        """Make a call with side effects.

        :raises PlatformUnavailableError: if the call definitely had no effect.
        :raises PlatformOutcomeUnknownError: if it was sent but its response was lost.
        """
        try:
            response = await self._client.request(
                method,
                path,
                content=content,
                json=json,
                timeout=self._timeout_seconds,
            )
        except _CONNECT_ERRORS as error:
            raise PlatformUnavailableError(_format_error(error)) from error
        except httpx.TransportError as error:
            # The request may have reached the platform. If it were reported as without
            # effect, the caller would repeat it, which could append an entry or reboot
            # an instance twice.
            raise PlatformOutcomeUnknownError(_format_error(error)) from error
        if response.status_code == 503 and HEADER_RAN not in response.headers:
            raise PlatformUnavailableError("status=503")
        if response.status_code >= 500 and response.status_code != 503:
            raise PlatformOutcomeUnknownError(f"status={response.status_code}")
        return response


def build_refusal_error(response: httpx.Response) -> MustardwardError:
    """Return the error for the code in a refusal."""
    code = _refusal_code(response)
    if code == StaleGenerationError.code:
        return StaleGenerationError(response.text)
    return PlatformRefusedError(f"status={response.status_code} code={code}")


def _refusal_code(response: httpx.Response) -> str:
    try:
        body = response.json()
    except ValueError:
        return ""
    return str(body.get("code", "")) if isinstance(body, dict) else ""


def _format_error(error: httpx.TransportError) -> str:
    return f"{type(error).__name__} {error}".strip()
