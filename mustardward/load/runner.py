"""Send a planned load and take its answers down."""

from __future__ import annotations

import anyio
import httpx

from ..const import HEADER_CLASS, HEADER_DEADLINE, HEADER_RAN, HEADER_REQUEST_ID
from ..helpers.timer import TimerService
from ..state.models.templates import Urgency
from .models import ClassResult, LoadPlan, LoadResult, PlannedRequest, plan_requests


class LoadRunner:
    """Send the requests of a plan at their times, whatever the answers do.

    Latency counts from when a request was due. Counting from when it was sent would
    hide every wait behind a slow entry, and a stalled entry would look fast.
    """

    def __init__(
        self, plan: LoadPlan, timers: TimerService, client: httpx.AsyncClient
    ) -> None:
        self._plan = plan
        self._timers = timers
        self._client = client
        self._result = LoadResult()
        self._open = 0

    async def async_run(self) -> LoadResult:
        """Return the result when every request has its answer or timed out."""
        start = self._timers.monotonic()
        async with anyio.create_task_group() as tasks:
            for request in plan_requests(self._plan):
                wait = start + request.due - self._timers.monotonic()
                if wait > 0:
                    await self._timers.async_sleep(wait)
                if self._open >= self._plan.most_open:
                    self._result.held_back += 1
                    continue
                self._open += 1
                tasks.start_soon(self._async_one, request, start + request.due)
        self._result.seconds = self._timers.monotonic() - start
        return self._result

    async def _async_one(self, request: PlannedRequest, due: float) -> None:
        counts = self._result.classes[str(request.urgency)]
        try:
            answer = await self._async_send(request)
            _count(counts, answer, request_id(request))
            if answer.status_code < 500:
                counts.record(self._timers.monotonic() - due)
        except httpx.TransportError:
            counts.unreachable += 1
        finally:
            self._open -= 1

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
    """Return the id by which an answer is matched to its request."""
    return f"load-{request.number}"


def _count(counts: ClassResult, answer: httpx.Response, wanted: str) -> None:
    ran = answer.headers.get(HEADER_RAN, "")
    if answer.is_error and ran == "no":
        counts.refused_not_run += 1
    elif answer.is_error and ran == "unknown":
        counts.refused_unknown += 1
    elif answer.status_code >= 500:
        counts.failed += 1
    else:
        counts.answered += 1
        if _named_request(answer) not in (wanted, ""):
            counts.mixed_up += 1


def _named_request(answer: httpx.Response) -> str:
    """Return the request that a stand-in worker's answer names, if it does."""
    try:
        body = answer.json()
    except ValueError:
        return ""
    return str(body.get("request", "")) if isinstance(body, dict) else ""
