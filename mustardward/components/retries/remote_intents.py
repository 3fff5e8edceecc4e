"""Open and close intents in the data centre that owns a key.

The request itself is dispatched where it arrived. Only its intent and its outcome are
sent to the data centre whose stream decides on the key.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import asdict, dataclass, field, replace
from typing import Final

from ...exceptions import PeerError, PeerOutcomeUnknownError
from ...helpers.logging import get_logger
from ...helpers.rendezvous import rendezvous_order
from ...helpers.timer import TimerService
from ...state.models.jobs import CloseIntent
from ...state.work import intent_name
from ..membership.models import Member
from ..membership.protocols import Membership
from ..peers.protocols import Peers
from .intent_messages import KeyReply, KeyRequest, OutcomeReply, OutcomeReport
from .intent_recorder import IntentRecorder

_LOGGER = get_logger(__name__)

CALL_TIMEOUT_SECONDS: Final = 6.0
"""Call timeout; above the peer's own wait for an earlier request to finish."""

RETRY_INITIAL_SECONDS: Final = 1.0
RETRY_MAX_SECONDS: Final = 30.0
MAX_PEERS: Final = 3
MAX_UNCERTAIN: Final = 10_000


@dataclass(slots=True, eq=False)
class RemoteIntentClient:
    """Request entry nodes of other data centres to record intents in their stream.

    ``unsure`` holds the record ids of intents that may be open without a known reply.
    """

    peers: Peers
    membership: Membership
    timers: TimerService
    unsure: dict[str, None] = field(default_factory=dict)

    async def async_open(self, request: KeyRequest, data_centre: str) -> KeyReply:
        """Return a peer's reply; without one, the same as with the log unavailable.

        After a lost reply the request is repeated to the next peer; its record id
        ensures that the log accepts the intent only once.
        """
        for member in self._members(request, data_centre)[:MAX_PEERS]:
            try:
                reply: KeyReply = await self.peers.async_call(
                    member,
                    request,
                    min(request.remaining_seconds, CALL_TIMEOUT_SECONDS),
                )
            except PeerOutcomeUnknownError:
                self.unsure[request.record_id] = None
                request = replace(request, repeated=True)
            except PeerError as error:
                _LOGGER.info(
                    "intent_peer_call_failed", peer=member.name, code=error.code
                )
            else:
                self._record_reply(request, reply)
                return reply
        return KeyReply()

    def _record_reply(self, request: KeyRequest, reply: KeyReply) -> None:
        settled = reply.opened or reply.answer or reply.refusal
        if reply.unsure:
            self.unsure[request.record_id] = None
        elif settled:
            self.unsure.pop(request.record_id, None)

    async def async_resolve(self, request: KeyRequest, data_centre: str) -> None:
        """Close an intent as not run that may be open after a lost reply."""
        if len(self.unsure) > MAX_UNCERTAIN:
            del self.unsure[request.record_id]
            _LOGGER.error("intent_left_open", record_id=request.record_id)
        request = replace(request, repeated=True)
        delay = RETRY_INITIAL_SECONDS
        while request.record_id in self.unsure:
            await self.timers.async_sleep(delay)
            delay = min(2 * delay, RETRY_MAX_SECONDS)
            reply = await self.async_open(request, data_centre)
            if reply.opened:
                body = (request.organisation, request.key, request.home)
                close = CloseIntent(*body, "no", opened=reply.opened)
                await self.async_close(close, data_centre)

    async def async_close(self, close: CloseIntent, data_centre: str) -> None:
        """Report the outcome until a peer has recorded it."""
        report = OutcomeReport(**asdict(close))
        delay = RETRY_INITIAL_SECONDS
        while not await self._async_report(report, data_centre):
            await self.timers.async_sleep(delay)
            delay = min(2 * delay, RETRY_MAX_SECONDS)

    async def _async_report(self, report: OutcomeReport, data_centre: str) -> bool:
        for member in self._members(report, data_centre)[:MAX_PEERS]:
            try:
                reply: OutcomeReply = await self.peers.async_call(
                    member, report, CALL_TIMEOUT_SECONDS
                )
            except PeerError:
                continue
            except PeerOutcomeUnknownError:
                continue
            return reply.taken
        return False

    def _members(
        self, message: KeyRequest | OutcomeReport, data_centre: str
    ) -> list[Member]:
        live = {item.name: item for item in self.membership.live(data_centre)}
        name = intent_name(message.organisation, message.key)
        return [live[item] for item in rendezvous_order(name, live)]


def serve_recorder(peers: Peers, recorder: IntentRecorder) -> Callable[[], None]:
    """Handle requests of other data centres; return the function that stops it."""

    async def async_open(caller: str, request: KeyRequest) -> KeyReply:
        return await recorder.async_open(request)

    async def async_close(caller: str, report: OutcomeReport) -> OutcomeReply:
        body = CloseIntent(**asdict(report))
        return OutcomeReply(await recorder.closer.async_propose_once(body))

    unsubscribes = (
        peers.handle(KeyRequest, async_open),
        peers.handle(OutcomeReport, async_close),
    )

    def stop() -> None:
        for unsubscribe in unsubscribes:
            unsubscribe()

    return stop
