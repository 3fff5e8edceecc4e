"""Exchange digests with peers and detect peers that don't respond."""

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
    INDIRECT_PROBES,
    PROBE_TIMEOUT_SECONDS,
    RECENT_CONTACT_SECONDS,
    VIEW_INTERVAL_SECONDS,
)
from .digests import Digests
from .failure_detector import DataCentreFailureDetector
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
from .table import UNCONFIRMED, MemberTable
from .targets import TargetChooser, is_live

_LOGGER = get_logger(__name__)

_MAX_CONCURRENT_CALLS: Final = 16
_MAX_FAILURES_AFTER_PAUSE: Final = 3


class Gossip:
    """Exchange digests with peers and suspect those that fail indirect probes.

    :param refresh_own: updates the vitals of the own member.
    """

    def __init__(
        self,
        peers: Peers,
        timers: TimerService,
        table: MemberTable,
        digests: Digests,
        failure_detector: DataCentreFailureDetector,
        targets: TargetChooser,
        reporter: Reporter,
        refresh_own: Callable[[], None],
    ) -> None:
        self._peers = peers
        self._timers = timers
        self._table = table
        self._digests = digests
        self._failure_detector = failure_detector
        self._targets = targets
        self._reporter = reporter
        self._refresh_own = refresh_own
        self._joined = False
        self._pauses = 0
        self._contact_confirmed = True
        self._failures = 0
        self._view_fetched_at = float("-inf")

    @property
    def confirmed(self) -> bool:
        """Return whether contact with peers is settled since the last pause.

        True after a successful exchange, after several failed ones, and without peers.
        """
        return self._contact_confirmed

    def handlers(self) -> list[tuple[type, Callable[[str, Any], Awaitable[Any]]]]:
        """Return the handler of each message type."""
        return [
            (Exchange, self.async_handle_exchange),
            (ViewRequest, self.async_handle_view_request),
            (ProbeRequest, self.async_handle_probe),
            (Ping, self.async_handle_ping),
        ]

    def handle_pause(self, pause_seconds: float) -> None:
        """Discard own evidence of failures after this process was paused.

        Calls in flight appear to have timed out and every data centre to be
        unreachable, though only this process was stopped. Without this, a resumed
        process would suspect all its peers at once.
        """
        self._pauses += 1
        self._contact_confirmed = False
        self._failures = 0
        self._failure_detector.exclude_pause(pause_seconds)

    async def async_round(self) -> None:
        """Exchange digests with a few peers."""
        now = self._timers.monotonic()
        self._refresh_own()
        self._failure_detector.set_data_centres(
            {m.data_centre for m in self._table.members()}, now
        )
        await self._async_call_each(self._choose(now), self._async_contact)
        self._reporter.report(
            self._failure_detector.check(self._timers.monotonic()), False
        )

    def _choose(self, now: float) -> list[Member]:
        if not self._joined:
            targets = self._targets.choose_join_contacts()
        else:
            targets = self._targets.choose_local(now)
            if self._targets.is_delegate():
                targets += self._targets.choose_remote(now)
        if not targets:
            self._contact_confirmed = True
        return targets

    async def async_flush(self) -> None:
        """Exchange digests with all live local peers if there are urgent changes."""
        if self._reporter.consume_urgent():
            peers = [
                member for member in self._targets.local_peers() if is_live(member)
            ]
            await self._async_call_each(peers, self._async_exchange)

    async def async_broadcast(self) -> None:
        """Exchange digests with all local peers and all remote delegates at once."""
        self._refresh_own()
        local = self._targets.local_peers()
        confirmed_peers = [
            member for member in local if member.incarnation != UNCONFIRMED
        ]
        members = confirmed_peers + self._targets.remote_delegates()
        await self._async_call_each(members, self._async_exchange)

    async def async_handle_exchange(self, sender: str, message: Any) -> ExchangeReply:
        """Apply a peer's digest and return the own one."""
        if not sender:
            raise PeerRefusedError("sender name is empty")
        now = self._timers.monotonic()
        self._apply_digest(sender, message, now)
        return self._digests.build(ExchangeReply, sender, now)

    async def async_handle_view_request(self, sender: str, message: Any) -> View:
        """Return the members of the data centres whose digest differs at the sender."""
        digests = self._table.digests()
        differing = [
            centre
            for centre, digest in digests.items()
            if message.known.get(centre) != digest
        ]
        members = self._table.confirmed_members(differing)
        return View(tuple(MemberState.of(member) for member in members))

    async def async_handle_probe(self, sender: str, message: Any) -> ProbeReply:
        """Ping a member that doesn't respond to the sender."""
        member = self._table.get(message.name)
        if member is None:
            raise PeerRefusedError("member is unknown to this peer")
        return ProbeReply(await self._async_ping(member))

    async def async_handle_ping(self, sender: str, message: Any) -> ProbeReply:
        """Return that this process is reachable."""
        return ProbeReply(True)

    async def _async_call_each(
        self, members: Iterable[Member], call: Callable[[Member], Awaitable[Any]]
    ) -> None:
        limiter = anyio.CapacityLimiter(_MAX_CONCURRENT_CALLS)

        async def async_one(member: Member) -> None:
            async with limiter:
                await call(member)

        async with anyio.create_task_group() as group:
            for member in members:
                group.start_soon(async_one, member)

    async def _async_contact(self, member: Member) -> None:
        pauses = self._pauses
        if await self._async_exchange(member):
            await self._async_fetch_view(member)
            return
        if pauses == self._pauses and self._needs_probe(member):
            await self._async_probe_indirectly(member, pauses)

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
            self._handle_call_failure(member, error)
            return False
        self._targets.record_success(member.name)
        self._apply_digest(member.name, reply, self._timers.monotonic())
        self._contact_confirmed = True
        return True

    def _apply_digest(self, sender: str, digest: Any, now: float) -> None:
        events = self._digests.apply(sender, digest, now)
        member = self._table.get(sender)
        own_centre = self._table.own.data_centre
        from_elsewhere = member is None or member.data_centre != own_centre
        self._reporter.report(events, propagate=from_elsewhere)

    def _handle_call_failure(self, member: Member, error: MustardwardError) -> None:
        _LOGGER.debug("peer_call_failed", peer=member.name, code=error.code)
        self._targets.record_failure(member.name, self._timers.monotonic())
        self._failures += 1
        if self._failures >= _MAX_FAILURES_AFTER_PAUSE:
            self._contact_confirmed = True

    async def _async_fetch_view(self, member: Member) -> None:
        now = self._timers.monotonic()
        interval_elapsed = now - self._view_fetched_at >= VIEW_INTERVAL_SECONDS
        if self._joined and not (
            self._digests.needs_view(member.name) and interval_elapsed
        ):
            return
        self._view_fetched_at = now
        known = self._table.digests() if self._joined else {}
        try:
            view = await self._peers.async_call(member, ViewRequest(known))
        except PeerError:
            return
        received = [state.to_member() for state in view.members]
        events = self._digests.apply_view(
            member.name, received, self._timers.monotonic()
        )
        self._reporter.report(events, propagate=False)
        self._joined = True
        self._table.mark_joined()

    def _needs_probe(self, member: Member) -> bool:
        # Only members of the same data centre suspect each other: otherwise, after a
        # network partition between data centres, each side would suspect all members
        # of the other.
        known = self._table.get(member.name)
        if known is None or known.status is not MemberStatus.ALIVE:
            return False
        if known.data_centre != self._table.own.data_centre:
            return False
        last_contact = self._digests.last_contact(member.name)
        return self._timers.monotonic() - last_contact > RECENT_CONTACT_SECONDS

    async def _async_probe_indirectly(self, member: Member, pauses: int) -> None:
        helpers = self._targets.choose_helpers(member, INDIRECT_PROBES)
        reached: list[str] = []

        async def async_ask(helper: Member) -> None:
            if await self._async_request_probe(helper, member.name):
                reached.append(helper.name)

        await self._async_call_each(helpers, async_ask)
        if reached or pauses != self._pauses:
            _LOGGER.warning(
                "peer_unreachable_from_here", peer=member.name, reached_by=len(reached)
            )
            return
        events = self._table.apply_evidence(
            member, MemberStatus.SUSPECT, self._timers.monotonic()
        )
        self._reporter.report(events, propagate=True)

    async def _async_request_probe(self, helper: Member, name: str) -> bool:
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
