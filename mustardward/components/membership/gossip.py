"""Exchange digests with peers, and find out which of them do not answer."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from typing import Any, Final

import anyio

from ...exceptions import MustardwardError, PeerError
from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ..peers.exceptions import PeerRefusedError
from ..peers.protocols import Peers
from .const import (
    EXCHANGE_TIMEOUT_SECONDS,
    HEARD_RECENTLY_SECONDS,
    PROBE_HELPERS,
    PROBE_TIMEOUT_SECONDS,
    VIEW_INTERVAL_SECONDS,
)
from .digests import Digests
from .messages import (
    Exchange,
    ExchangeReply,
    MemberState,
    Ping,
    ProbeReply,
    ProbeRequest,
    View,
    ViewRequest,
)
from .models import Member, MemberStatus
from .reporter import Reporter
from .silence import SilenceDetector
from .table import UNMET, MemberTable
from .targets import TargetChooser, is_live

_LOGGER = get_logger(__name__)

_FAN_OUT: Final = 16
_CONFIRMING_FAILURES: Final = 3


class Gossip:
    """Carry digests between this process and its peers.

    :param refresh: brings the own member's vitals up to date.
    """

    def __init__(
        self,
        peers: Peers,
        timers: TimerService,
        table: MemberTable,
        digests: Digests,
        silence: SilenceDetector,
        targets: TargetChooser,
        reporter: Reporter,
        refresh: Callable[[], None],
    ) -> None:
        self._peers = peers
        self._timers = timers
        self._table = table
        self._digests = digests
        self._silence = silence
        self._targets = targets
        self._reporter = reporter
        self._refresh = refresh
        self._joined = False
        self._pauses = 0
        self._confirmed = True
        self._failures = 0
        self._view_fetched = float("-inf")

    @property
    def confirmed(self) -> bool:
        """Tell whether a peer was heard since the last pause, or none can be."""
        return self._confirmed

    def handlers(self) -> list[tuple[type, Callable[[str, Any], Awaitable[Any]]]]:
        """Return what answers each kind of message."""
        return [
            (Exchange, self.async_answer_exchange),
            (ViewRequest, self.async_answer_view),
            (ProbeRequest, self.async_answer_probe),
            (Ping, self.async_answer_ping),
        ]

    def note_pause(self, lost_seconds: float) -> None:
        """Distrust own evidence after a time in which this process stood still.

        Calls in flight seem to have timed out and every data centre to be silent,
        though it was this process that did not listen. One would notice all peers
        suspected at once by the one that woke up.
        """
        self._pauses += 1
        self._confirmed = False
        self._failures = 0
        self._silence.forgive(lost_seconds)

    async def async_round(self) -> None:
        """Exchange digests with a few peers."""
        now = self._timers.monotonic()
        self._refresh()
        self._silence.know({m.data_centre for m in self._table.members()}, now)
        await self._async_each(self._choose(now), self._async_meet)
        self._reporter.report(self._silence.check(self._timers.monotonic()), False)

    def _choose(self, now: float) -> list[Member]:
        if not self._joined:
            targets = self._targets.first_contacts()
        else:
            targets = self._targets.next_local(now)
            if self._targets.is_delegate():
                targets += self._targets.next_remote(now)
        if not targets:
            self._confirmed = True
        return targets

    async def async_flush(self) -> None:
        """Tell all peers of the own data centre at once, if there is urgent news."""
        if self._reporter.take_urgent():
            peers = [
                member for member in self._targets.local_peers() if is_live(member)
            ]
            await self._async_each(peers, self._async_exchange)

    async def async_tell_everyone(self) -> None:
        """Tell all peers here, and the delegates elsewhere, at once."""
        self._refresh()
        local = self._targets.local_peers()
        met = [member for member in local if member.incarnation != UNMET]
        members = met + self._targets.remote_delegates()
        await self._async_each(members, self._async_exchange)

    async def async_answer_exchange(self, sender: str, message: Any) -> ExchangeReply:
        """Take in a peer's news and answer with ours."""
        if not sender:
            raise PeerRefusedError("sender has no name")
        now = self._timers.monotonic()
        self._take(sender, message, now)
        return self._digests.build(ExchangeReply, sender, now)

    async def async_answer_view(self, sender: str, message: Any) -> View:
        """Return the members of the data centres that the sender knows differently."""
        digests = self._table.digests()
        differing = [
            centre
            for centre, digest in digests.items()
            if message.known.get(centre) != digest
        ]
        members = self._table.all_met(differing)
        return View(tuple(MemberState.of(member) for member in members))

    async def async_answer_probe(self, sender: str, message: Any) -> ProbeReply:
        """Try to reach a member that the sender does not."""
        member = self._table.get(message.name)
        if member is None:
            raise PeerRefusedError("member is not known here")
        return ProbeReply(await self._async_ping(member))

    async def async_answer_ping(self, sender: str, message: Any) -> ProbeReply:
        """Answer."""
        return ProbeReply(True)

    async def _async_each(
        self, members: Iterable[Member], call: Callable[[Member], Awaitable[Any]]
    ) -> None:
        limiter = anyio.CapacityLimiter(_FAN_OUT)

        async def async_one(member: Member) -> None:
            async with limiter:
                await call(member)

        async with anyio.create_task_group() as group:
            for member in members:
                group.start_soon(async_one, member)

    async def _async_meet(self, member: Member) -> None:
        pauses = self._pauses
        if await self._async_exchange(member):
            await self._async_learn_view(member)
            return
        if pauses == self._pauses and self._is_doubtful(member):
            await self._async_doubt(member, pauses)

    async def _async_exchange(self, member: Member) -> bool:
        now = self._timers.monotonic()
        exchange = self._digests.build(Exchange, member.name, now)
        try:
            reply = await self._peers.async_call(
                member, exchange, EXCHANGE_TIMEOUT_SECONDS
            )
        except PeerRefusedError:
            return True
        except PeerError as error:
            self._note_failure(member, error)
            return False
        self._targets.note_success(member.name)
        self._take(member.name, reply, self._timers.monotonic())
        self._confirmed = True
        return True

    def _take(self, sender: str, news: Any, now: float) -> None:
        events = self._digests.take(sender, news, now)
        member = self._table.get(sender)
        own_centre = self._table.own.data_centre
        from_elsewhere = member is None or member.data_centre != own_centre
        self._reporter.report(events, pass_on=from_elsewhere)

    def _note_failure(self, member: Member, error: MustardwardError) -> None:
        _LOGGER.debug("peer_silent", peer=member.name, code=error.code)
        self._targets.note_failure(member.name, self._timers.monotonic())
        self._failures += 1
        if self._failures >= _CONFIRMING_FAILURES:
            self._confirmed = True

    async def _async_learn_view(self, member: Member) -> None:
        now = self._timers.monotonic()
        rested = now - self._view_fetched >= VIEW_INTERVAL_SECONDS
        if self._joined and not (self._digests.wants_view(member.name) and rested):
            return
        self._view_fetched = now
        known = self._table.digests() if self._joined else {}
        try:
            view = await self._peers.async_call(member, ViewRequest(known))
        except PeerError:
            return
        told = [state.to_member() for state in view.members]
        events = self._digests.take_view(member.name, told, self._timers.monotonic())
        self._reporter.report(events, pass_on=False)
        self._joined = True
        self._table.mark_joined()

    def _is_doubtful(self, member: Member) -> bool:
        # Only the members of a data centre judge each other: a cut between data
        # centres would otherwise make each side suspect all of the other.
        known = self._table.get(member.name)
        if known is None or known.status is not MemberStatus.ALIVE:
            return False
        if known.data_centre != self._table.own.data_centre:
            return False
        heard = self._digests.heard(member.name)
        return self._timers.monotonic() - heard > HEARD_RECENTLY_SECONDS

    async def _async_doubt(self, member: Member, pauses: int) -> None:
        helpers = self._targets.helpers(member, PROBE_HELPERS)
        reached: list[str] = []

        async def async_ask(helper: Member) -> None:
            if await self._async_probe(helper, member.name):
                reached.append(helper.name)

        await self._async_each(helpers, async_ask)
        if reached or pauses != self._pauses:
            _LOGGER.warning(
                "peer_unreachable_from_here", peer=member.name, reached_by=len(reached)
            )
            return
        events = self._table.signal(
            member, MemberStatus.SUSPECT, self._timers.monotonic()
        )
        self._reporter.report(events, pass_on=True)

    async def _async_probe(self, helper: Member, name: str) -> bool:
        try:
            reply = await self._peers.async_call(
                helper, ProbeRequest(name), PROBE_TIMEOUT_SECONDS
            )
        except PeerError:
            return False
        return bool(reply.reached)

    async def _async_ping(self, member: Member) -> bool:
        try:
            await self._peers.async_call(member, Ping(), EXCHANGE_TIMEOUT_SECONDS)
        except PeerError:
            return False
        return True
