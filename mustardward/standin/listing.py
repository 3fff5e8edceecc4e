"""Simulate the platform's lagging list of live and leaving instances."""

from __future__ import annotations

from collections import deque
from dataclasses import asdict, dataclass

from pydantic import BaseModel, ConfigDict
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ..helpers.timer import TimerService
from .common import async_parse_body, async_with_faults
from .faults import FaultSwitch, ListingFaults
from .protocol.models import ListedInstance, ListedState


class RegisterModel(BaseModel):
    """Body of the admin call that adds an instance to the list."""

    model_config = ConfigDict(extra="forbid")

    instance_id: str
    kind: str = "worker"
    data_centre: str
    rack: str = "rack-1"
    address: str
    boot: int = 1


@dataclass(frozen=True, slots=True)
class _Change:
    """A change of the list; ``listed`` is None for a removed instance."""

    changed_at: float
    instance_id: str
    listed: ListedInstance | None


class StandInListing:
    """Serve the list with a delay.

    :param lag_seconds: delay until a change becomes visible.
    """

    def __init__(self, timers: TimerService, lag_seconds: float = 2.0) -> None:
        self._timers = timers
        self._lag_seconds = lag_seconds
        self._current: dict[str, ListedInstance] = {}
        self._visible: dict[str, ListedInstance] = {}
        self._changes: deque[_Change] = deque()
        self.faults = FaultSwitch(ListingFaults())

    @property
    def current(self) -> dict[str, ListedInstance]:
        """Return the current instances, without the lag."""
        return self._current

    def put(self, listed: ListedInstance) -> None:
        """Add or update an instance."""
        self._current[listed.instance_id] = listed
        self._record_change(listed.instance_id, listed)

    def remove(self, instance_id: str) -> None:
        """Remove an instance."""
        if self._current.pop(instance_id, None) is not None:
            self._record_change(instance_id, None)

    def list_visible(self) -> tuple[ListedInstance, ...]:
        """Return the list that callers see, delayed by the lag."""
        lag = self.faults.active.lag_seconds
        visible_until = self._timers.monotonic() - (
            self._lag_seconds if lag is None else lag
        )
        while self._changes and self._changes[0].changed_at <= visible_until:
            change = self._changes.popleft()
            if change.listed is None:
                self._visible.pop(change.instance_id, None)
            else:
                self._visible[change.instance_id] = change.listed
        return tuple(self._visible.values())

    def routes(self) -> list[Route]:
        """Return the public route and the admin routes."""
        instance_path = "/admin/instances/{instance_id}"
        return [
            Route("/instances", self._async_get, methods=["GET"]),
            Route("/admin/instances", self._async_register, methods=["POST"]),
            Route(instance_path, self._async_remove, methods=["DELETE"]),
        ]

    def _record_change(self, instance_id: str, listed: ListedInstance | None) -> None:
        now = self._timers.monotonic()
        self._changes.append(_Change(now, instance_id, listed))

    async def _async_get(self, request: Request) -> Response:
        async def run() -> Response:
            data_centre = request.query_params.get("data_centre", "")
            return JSONResponse(
                [
                    asdict(listed)
                    for listed in self.list_visible()
                    if data_centre in ("", listed.data_centre)
                ]
            )

        return await async_with_faults(request, self.faults, self._timers, run)

    async def _async_register(self, request: Request) -> Response:
        model = await async_parse_body(request, RegisterModel)
        self.put(ListedInstance(**model.model_dump(), state=ListedState.LIVE))
        return JSONResponse({"instance_id": model.instance_id}, status_code=201)

    async def _async_remove(self, request: Request) -> Response:
        self.remove(request.path_params["instance_id"])
        return Response(status_code=204)
