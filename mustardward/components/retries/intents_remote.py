"""Reach the data centre that keeps a key.

The request itself stays where it came: only its intent goes to the one stream that may
decide on the key, and the answer to its outcome.
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
from .intents_models import KeyReply, KeyRequest, OutcomeReply, OutcomeReport
from .intents_recorder import IntentRecorder

_LOGGER = get_logger(__name__)

CALL_SECONDS: Final = 6.0
"""Longest wait for a peer; it waits itself for an earlier attempt to end."""

REPEAT_SECONDS: Final = 1.0
REPEAT_SECONDS_MAXIMUM: Final = 30.0
TRIES: Final = 3
MAXIMUM_UNSURE: Final = 10_000


@dataclass(slots=True, eq=False)
class RemoteIntentClient:
    """Ask entries of other data centres to record intents in their stream."""

    peers: Peers
    membership: Membership
    timers: TimerService
    unsure: dict[str, None] = field(default_factory=dict)

    async def async_open(self, request: KeyRequest, data_centre: str) -> KeyReply:
        """Return what a recorder there says; none there is like a log that is out.

        A lost answer is met by the same question to the next one: its record id lets
        the log take the intent once.
        """
        for member in self._members(request, data_centre)[:TRIES]:
            try:
                reply: KeyReply = await self.peers.async_call(
                    member, request, min(request.remaining_seconds, CALL_SECONDS)
                )
            except PeerOutcomeUnknownError:
                self.unsure[request.record_id] = None
                request = replace(request, repeated=True)
            except PeerError as error:
                _LOGGER.info("intent_peer_silent", peer=member.name, code=error.code)
            else:
                self._note_reply(request, reply)
                return reply
        return KeyReply()

    def _note_reply(self, request: KeyRequest, reply: KeyReply) -> None:
        settled = reply.opened or reply.answer or reply.refusal
        if reply.unsure:
            self.unsure[request.record_id] = None
        elif settled:
            self.unsure.pop(request.record_id, None)

    async def async_settle(self, request: KeyRequest, data_centre: str) -> None:
        """Close as not run what a lost answer may have opened for nobody."""
        if len(self.unsure) > MAXIMUM_UNSURE:
            del self.unsure[request.record_id]
            _LOGGER.error("intent_left_open", record_id=request.record_id)
        request = replace(request, repeated=True)
        delay = REPEAT_SECONDS
        while request.record_id in self.unsure:
            await self.timers.async_sleep(delay)
            delay = min(2 * delay, REPEAT_SECONDS_MAXIMUM)
            reply = await self.async_open(request, data_centre)
            if reply.opened:
                body = (request.organisation, request.key, request.home)
                close = CloseIntent(*body, "no", opened=reply.opened)
                await self.async_close(close, data_centre)

    async def async_close(self, close: CloseIntent, data_centre: str) -> None:
        """Tell the outcome until a recorder there has made it durable."""
        news = OutcomeReport(**asdict(close))
        delay = REPEAT_SECONDS
        while not await self._async_tell(news, data_centre):
            await self.timers.async_sleep(delay)
            delay = min(2 * delay, REPEAT_SECONDS_MAXIMUM)

    async def _async_tell(self, news: OutcomeReport, data_centre: str) -> bool:
        for member in self._members(news, data_centre)[:TRIES]:
            try:
                reply: OutcomeReply = await self.peers.async_call(
                    member, news, CALL_SECONDS
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
    """Answer the questions of other data centres; return what ends that."""

    async def async_open(caller: str, request: KeyRequest) -> KeyReply:
        return await recorder.async_open(request)

    async def async_close(caller: str, news: OutcomeReport) -> OutcomeReply:
        body = CloseIntent(**asdict(news))
        return OutcomeReply(await recorder.closer.async_try(body))

    undo = (
        peers.handle(KeyRequest, async_open),
        peers.handle(OutcomeReport, async_close),
    )

    def stop() -> None:
        for unsubscribe in undo:
            unsubscribe()

    return stop
