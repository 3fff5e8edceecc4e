"""Gather the parts of all entries, one data centre at a time."""

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
from .account import Accounts
from .burn import compute_report, merge_parts
from .const import DATA_CENTRE_TIMEOUT_SECONDS, DATA_CENTRE_TRIES, PART_TIMEOUT_SECONDS
from .models import BurnPart, BurnReport, Coverage


@peer_message("reports.burn", BurnPart)
@dataclass(frozen=True, slots=True)
class AskBurn:
    """Ask for counts; with ``merged`` for those of the whole data centre.

    Another data centre sends one merged part, so that a report costs the links
    between data centres one answer each, however many entries there are.
    """

    organisation: str = ""
    merged: bool = False


@dataclass(slots=True)
class _Gathered:
    """Collect parts while calls run side by side."""

    parts: list[BurnPart] = field(default_factory=list)


class BurnReporter:
    """Count this entry's requests and report on those of all entries."""

    def __init__(self, core: Core) -> None:
        self._core = core
        self._accounts = Accounts(core.timers.monotonic())

    def record(self, event: RequestFinished) -> None:
        """Count a finished request."""
        objective = self._objectives(event.organisation).latency_seconds
        self._accounts.record(event, objective, self._core.timers.monotonic())

    async def async_answer(self, caller: str, message: AskBurn) -> BurnPart:
        """Answer a peer."""
        if message.merged:
            return await self._async_own_data_centre(message.organisation)
        return await self._async_own_part(message.organisation)

    async def async_report(self, organisation: str = "") -> BurnReport:
        """Return the report on one organisation, or on all."""
        gathered = _Gathered()
        async with anyio.create_task_group() as group:
            group.start_soon(self._async_gather_own, organisation, gathered)
            for data_centre in self._other_data_centres():
                group.start_soon(
                    self._async_gather_other, data_centre, organisation, gathered
                )
        part = merge_parts(gathered.parts)
        goals = self._all_objectives(organisation)
        return compute_report(part, goals, self._core.timers.wall())

    async def _async_own_part(self, organisation: str) -> BurnPart:
        now = self._core.timers.monotonic()
        entry = self._core.settings.entry
        coverage = Coverage(
            entry.name, entry.data_centre, self._accounts.covered_seconds(now)
        )
        parts = []
        for name in self._accounts.names(organisation):
            parts.append(self._accounts.part(name, now))
            # A millisecond for each of hundreds of organisations would hold up every
            # request in progress; urgent ones would show it as latency.
            await anyio.lowlevel.checkpoint()
        return BurnPart((coverage,), tuple(parts))

    async def _async_gather_own(self, organisation: str, gathered: _Gathered) -> None:
        gathered.parts.append(await self._async_own_data_centre(organisation))

    async def _async_own_data_centre(self, organisation: str) -> BurnPart:
        gathered = _Gathered([await self._async_own_part(organisation)])
        peers = self._core.find(PEERS)
        if peers is not None:
            question = AskBurn(organisation)
            async with anyio.create_task_group() as group:
                for member in self._neighbours():
                    group.start_soon(_async_ask, peers, member, question, gathered)
        return merge_parts(gathered.parts)

    async def _async_gather_other(
        self, data_centre: str, organisation: str, gathered: _Gathered
    ) -> None:
        membership = self._core.find(MEMBERSHIP)
        peers = self._core.find(PEERS)
        members = membership.live(data_centre) if membership is not None else ()
        for member in members[:DATA_CENTRE_TRIES]:
            if peers is None:
                break
            try:
                part: BurnPart = await peers.async_call(
                    member, AskBurn(organisation, True), DATA_CENTRE_TIMEOUT_SECONDS
                )
            except PeerError:
                continue
            gathered.parts.append(part)
            return
        gathered.parts.append(BurnPart(missing_data_centres=(data_centre,)))

    def _neighbours(self) -> list[Member]:
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
        # A data centre that is cut off may have no member left in our view; the
        # ownership of its instances still tells that it exists, so that its part is
        # missed and not taken for an absence of burn.
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


async def _async_ask(
    peers: Peers, member: Member, question: AskBurn, gathered: _Gathered
) -> None:
    try:
        part: BurnPart = await peers.async_call(member, question, PART_TIMEOUT_SECONDS)
    except PeerError:
        part = BurnPart(missing_entries=(member.name,))
    gathered.parts.append(part)
