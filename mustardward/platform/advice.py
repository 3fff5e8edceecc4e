"""Call the advice service, which says which workers may run a step."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import msgspec

from . import names
from .bodies import AdviceBody, AdviseBody
from .exceptions import RECORD_ERRORS, CallRefusedError, CallUnknownError
from .http import HttpCaller

MAX_WORKERS: Final = 100
"""Most workers that the service accepts in one call."""


@dataclass(frozen=True, slots=True)
class StepAdvice:
    """Tickets of the workers that may run a step, and how long they are valid."""

    tickets: dict[str, str]
    valid_ms: float


class AdviceClient:
    """Client of the advice service."""

    def __init__(self, http: HttpCaller, address: str) -> None:
        self._http = http
        self._url = f"http://{address}{names.ADVISE}"

    async def async_request_advice(
        self,
        job: str,
        occurrence: int,
        step: int,
        workers: list[str],
        timeout_seconds: float,
    ) -> StepAdvice:
        """Return which of the workers may run a step.

        :param workers: at most ``MAX_WORKERS`` ids.
        :raises CallRefusedError: if the service gave no usable advice.
        """
        body = AdviseBody(f"{job}.{occurrence}.{step}", workers)
        try:
            response = await self._http.async_call(
                "POST",
                self._url,
                body=msgspec.json.encode(body),
                headers={"Content-Type": "application/json"},
                timeout_seconds=timeout_seconds,
            )
            if response.status != 200:
                raise CallRefusedError(f"status={response.status}")
            allowed = msgspec.json.decode(response.body, type=AdviceBody)
        except (CallUnknownError, *RECORD_ERRORS) as error:
            raise CallRefusedError(str(error)) from error
        tickets = {row.worker: row.ticket for row in allowed.allowed}
        return StepAdvice(tickets, allowed.valid_ms)
