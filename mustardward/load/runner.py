"""Send the requests of a load plan and record the responses."""

from __future__ import annotations

import anyio
import httpx

from ..const import HEADER_CLASS, HEADER_DEADLINE, HEADER_RAN, HEADER_REQUEST_ID
from ..helpers.timer import TimerService
from ..state.models.templates import Urgency
from .models import ClassResult, LoadPlan, LoadResult, PlannedRequest, plan_requests


class LoadRunner:
    """Send the requests of a plan on schedule, independent of responses (open loop).

    Latency is measured from the time a request was due. Measuring from the time it
    was sent hides queueing behind a slow entry (coordinated omission), so that a
    stalled entry looks fast.
    """

    def __init__(
        self, plan: LoadPlan, timers: TimerService, client: httpx.AsyncClient
    ) -> None:
        self._plan = plan
        self._timers = timers
        self._client = client
        self._result = LoadResult()
        self._in_flight = 0

    async def async_run(self) -> LoadResult:
        """Return the result once every request was answered or timed out."""
        start = self._timers.monotonic()
        async with anyio.create_task_group() as tasks:
            for request in plan_requests(self._plan):
                wait = start + request.due - self._timers.monotonic()
                if wait > 0:
                    await self._timers.async_sleep(wait)
                if self._in_flight >= self._plan.max_in_flight:
                    self._result.held_back += 1
                    continue
                self._in_flight += 1
                tasks.start_soon(self._async_execute, request, start + request.due)
        self._result.seconds = self._timers.monotonic() - start
        return self._result

    async def _async_execute(self, request: PlannedRequest, due: float) -> None:
        counts = self._result.classes[str(request.urgency)]
        try:
            response = await self._async_send(request)
            _count_response(counts, response, request_id(request))
            if response.status_code < 500:
                counts.record(self._timers.monotonic() - due)
        except httpx.TransportError:
            counts.unreachable += 1
        finally:
            self._in_flight -= 1

    async def _async_send(self, request: PlannedRequest) -> httpx.Response:
        target = request.target
        long = request.urgency is Urgency.LONG
        params = {"sleep": str(self._plan.long_seconds)} if long else {}
        return await self._client.get(
            f"{request.entry}/{target.organisation}/{target.service}/load",
            params=params,
            headers={
                HEADER_CLASS: str(request.urgency),
                HEADER_DEADLINE: str(self._plan.timeout_seconds),
                HEADER_REQUEST_ID: request_id(request),
            },
            timeout=self._plan.timeout_seconds + 1.0,
        )


def request_id(request: PlannedRequest) -> str:
    """Return the id that matches a response to its request."""
    return f"load-{request.number}"


def _count_response(
    counts: ClassResult, response: httpx.Response, expected_id: str
) -> None:
    ran = response.headers.get(HEADER_RAN, "")
    if response.is_error and ran == "no":
        counts.refused_not_run += 1
    elif response.is_error and ran == "unknown":
        counts.refused_unknown += 1
    elif response.status_code >= 500:
        counts.failed += 1
    else:
        counts.answered += 1
        if _response_request_id(response) not in (expected_id, ""):
            counts.mixed_up += 1


def _response_request_id(response: httpx.Response) -> str:
    """Return the request id in a stand-in worker's response, or an empty string."""
    try:
        body = response.json()
    except ValueError:
        return ""
    return str(body.get("request", "")) if isinstance(body, dict) else ""
