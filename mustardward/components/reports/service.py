"""Collect the counts of all entries, merged by data centre."""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio
import anyio.lowlevel

from ...core import Core
from ...exceptions import PeerError
from ...state.models.templates import Objectives
from ..entry.models import RequestFinished
from ..keys import FLEET_LOG, MEMBERSHIP, PEERS
from ..membership.models import Member, MemberStatus
from ..peers.protocols import Peers, peer_message
from .burn import compute_report, merge_parts
from .const import (
    DATA_CENTRE_TIMEOUT_SECONDS,
    MAX_DATA_CENTRE_ATTEMPTS,
    PART_TIMEOUT_SECONDS,
)
from .models import BurnPart, BurnReport, Coverage
from .request_counters import RequestCounters


@peer_message("reports.burn", BurnPart)
@dataclass(frozen=True, slots=True)
class BurnRequest:
    """Request counts; if ``merged`` is set, those of the whole data centre.

    Another data centre sends one merged part, so a report needs one response over
    each link between data centres, regardless of the number of entries.
    """

    organisation: str = ""
    merged: bool = False


@dataclass(slots=True)
class _Responses:
    """Collect the parts of concurrent calls."""

    parts: list[BurnPart] = field(default_factory=list)


class BurnReporter:
    """Count this entry's requests, and report on the requests of all entries."""

    def __init__(self, core: Core) -> None:
        self._core = core
        self._counters = RequestCounters(core.timers.monotonic())

    def record(self, event: RequestFinished) -> None:
        """Count a finished request."""
        objective = self._objectives(event.organisation).latency_seconds
        self._counters.record(event, objective, self._core.timers.monotonic())

    async def async_handle_request(self, caller: str, message: BurnRequest) -> BurnPart:
        """Return this entry's or this data centre's counts to a peer."""
        if message.merged:
            return await self._async_own_data_centre(message.organisation)
        return await self._async_own_part(message.organisation)

    async def async_report(self, organisation: str = "") -> BurnReport:
        """Return the report on one organisation, or on all of them."""
        responses = _Responses()
        async with anyio.create_task_group() as group:
            group.start_soon(self._async_gather_own, organisation, responses)
            for data_centre in self._other_data_centres():
                group.start_soon(
                    self._async_gather_other, data_centre, organisation, responses
                )
        part = merge_parts(responses.parts)
        goals = self._all_objectives(organisation)
        return compute_report(part, goals, self._core.timers.wall())

    async def _async_own_part(self, organisation: str) -> BurnPart:
        now = self._core.timers.monotonic()
        entry = self._core.settings.entry
        coverage = Coverage(
            entry.name, entry.data_centre, self._counters.covered_seconds(now)
        )
        parts = []
        for name in self._counters.names(organisation):
            parts.append(self._counters.part(name, now))
            # Each organisation takes a millisecond; hundreds in a row would delay every
            # request in progress, which shows as latency of urgent ones.
            await anyio.lowlevel.checkpoint()
        return BurnPart((coverage,), tuple(parts))

    async def _async_gather_own(self, organisation: str, responses: _Responses) -> None:
        responses.parts.append(await self._async_own_data_centre(organisation))

    async def _async_own_data_centre(self, organisation: str) -> BurnPart:
        responses = _Responses([await self._async_own_part(organisation)])
        peers = self._core.find(PEERS)
        if peers is not None:
            request = BurnRequest(organisation)
            async with anyio.create_task_group() as group:
                for member in self._members_of_own_data_centre():
                    group.start_soon(
                        _async_request_part, peers, member, request, responses
                    )
        return merge_parts(responses.parts)

    async def _async_gather_other(
        self, data_centre: str, organisation: str, responses: _Responses
    ) -> None:
        membership = self._core.find(MEMBERSHIP)
        peers = self._core.find(PEERS)
        members = membership.live(data_centre) if membership is not None else ()
        for member in members[:MAX_DATA_CENTRE_ATTEMPTS]:
            if peers is None:
                break
            try:
                part: BurnPart = await peers.async_call(
                    member, BurnRequest(organisation, True), DATA_CENTRE_TIMEOUT_SECONDS
                )
            except PeerError:
                continue
            responses.parts.append(part)
            return
        responses.parts.append(BurnPart(missing_data_centres=(data_centre,)))

    def _members_of_own_data_centre(self) -> list[Member]:
        membership = self._core.find(MEMBERSHIP)
        if membership is None:
            return []
        entry = self._core.settings.entry
        members = membership.members(entry.data_centre)
        return [
            item
            for item in members
            if item.name != entry.name and item.status is not MemberStatus.GONE
        ]

    def _other_data_centres(self) -> list[str]:
        # A disconnected data centre may have no known member left. Its instances in the
        # fleet state show that it exists, so its part is reported as missing instead of
        # being counted as no burn.
        known: set[str] = set()
        fleet = self._core.find(FLEET_LOG)
        if fleet is not None:
            known |= {item.data_centre for item in fleet.state.instances.values()}
        membership = self._core.find(MEMBERSHIP)
        if membership is not None:
            known |= {item.data_centre for item in membership.members()}
        return sorted(known - {self._core.settings.entry.data_centre})

    def _objectives(self, organisation: str) -> Objectives:
        fleet = self._core.find(FLEET_LOG)
        found = fleet.state.organisations.get(organisation) if fleet else None
        return found.parameters.objectives if found else Objectives()

    def _all_objectives(self, organisation: str) -> dict[str, Objectives]:
        fleet = self._core.find(FLEET_LOG)
        if fleet is None:
            return {}
        return {
            name: item.parameters.objectives
            for name, item in fleet.state.organisations.items()
            if organisation in ("", name)
        }


async def _async_request_part(
    peers: Peers, member: Member, request: BurnRequest, responses: _Responses
) -> None:
    try:
        part: BurnPart = await peers.async_call(member, request, PART_TIMEOUT_SECONDS)
    except PeerError:
        part = BurnPart(missing_entries=(member.name,))
    responses.parts.append(part)
