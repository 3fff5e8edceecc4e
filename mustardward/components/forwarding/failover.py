"""Answer callers from the local log replica, or through a peer if the log fails."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import msgspec

from ...helpers.instruments import PEER_ANSWERS
from ...helpers.logging import get_logger
from ...helpers.policies import switchable
from ...helpers.timer import TimerService
from ...platform import callers
from ..front.const import ANSWER_MARGIN_SECONDS
from ..front.models import Reply, Request
from ..front.refusals import longest_outage
from ..front.services import FrontService
from ..ledger.store_latency import SLOW_SECONDS, StoreLatency
from .collectors import choose_collectors, collector_count, rank_collectors
from .const import (
    CHECK_METHOD,
    HEDGE_DELAY_SECONDS,
    HEDGE_POLL_SECONDS,
    ISOLATED_RETRY_SECONDS,
    OUTAGE_SECONDS,
    OUTCOME_UNKNOWN_STATUS,
    OWNER_METHOD,
    RELAY_METHOD,
    SUSPECT_POLL_SECONDS,
    UNCONFIRMED_METHODS,
)
from .final_replies import FinalReplies
from .models import PeerReply, PeerRequest
from .relay import StoreRelay
from .services import Forwarder, PeerOutcome, PeerRequestHandler

_LOGGER = get_logger(__name__)

_UNCERTAIN_STATUSES = (503, 504)
_APPENDED_METHODS = ("POST", "DELETE")


async def _async_answer_locally(
    failover: FailoverHandler, /, request: Request
) -> Reply:
    return await failover.front.async_answer(request)


async def _async_forward_nothing(
    failover: FailoverHandler, /, request: Request
) -> PeerOutcome:
    return PeerOutcome(None, may_have_effect=False)


async def _async_forward_always(
    failover: FailoverHandler, /, request: Request
) -> PeerOutcome:
    return await failover.async_forward(request)


async def _async_never_collect(failover: FailoverHandler, /, request: Request) -> Reply:
    return await failover.async_answer_hedged(request)


def _never_draining() -> bool:
    return False


@dataclass(slots=True, eq=False)
class FailoverHandler:
    """Answer callers whether or not the log is reachable from this entry node.

    :param latency: the store's latency.
    :param is_draining: returns whether this entry node is about to stop.
    :param answer_owner_query: answers about this node's ownership; None without one.
    """

    front: FrontService
    forwarder: Forwarder
    timers: TimerService
    relay: StoreRelay
    latency: StoreLatency = field(default_factory=StoreLatency)
    is_draining: Callable[[], bool] = _never_draining
    answer_owner_query: PeerRequestHandler | None = None
    _isolated_until: float = 0.0
    _final_replies: FinalReplies = field(default_factory=FinalReplies)

    def _version(self) -> int:
        return self.front.configuration.version

    def _is_outdated(self) -> bool:
        """Return whether a peer answered for this node by a newer configuration.

        An answer by the local one would then take callers back to an older version.
        """
        return self.front.configuration.outdated

    def _is_current(self, reply: Reply) -> bool:
        """Return whether a reply takes no caller back to an older version."""
        if reply.status in _UNCERTAIN_STATUSES:
            return True
        return reply.version >= self.front.configuration.newest_version

    def is_log_unreachable(self) -> bool:
        """Return whether the log has been unreachable for over OUTAGE_SECONDS.

        A slow store answers, even if earlier calls to it have timed out.
        """
        now = self.timers.monotonic()
        if self.latency.is_slow(now):
            return False
        front = self.front
        outage = longest_outage(
            now,
            front.follower.failing_since,
            front.config_follower.failing_since,
            front.appender.failing_since,
        )
        return outage > OUTAGE_SECONDS

    async def async_answer(self, request: Request) -> Reply:
        """Return the answer to a caller's request.

        An answer is not given if another caller may have been answered by a newer
        version meanwhile. The request is then answered once more, by that version.
        """
        reply = await self._async_answer_or_forward(request)
        if self._is_current(reply):
            return reply
        _LOGGER.info(
            "reply_outdated",
            method=request.method,
            path=request.path,
            status=reply.status,
            version=reply.version,
        )
        await self._async_read_submitted(request)
        again = await self._async_answer_or_forward(request)
        if not self._is_current(again):
            again = self.front.unreachable_reply(request)
        # What the first attempt carried out here or at a peer stands.
        return self._outcome_reply(request, again, True)

    async def _async_read_submitted(self, request: Request) -> None:
        """Read the log, so that a job that was just stored isn't stored once more.

        Its second record could name another service.
        """
        if request.method != "POST" or self.is_log_unreachable():
            return
        with anyio.move_on_after(self._remaining_seconds(request)):
            await self.front.follower.async_catch_up()

    def _remaining_seconds(self, request: Request) -> float:
        now = self.timers.monotonic()
        return max(0.0, request.deadline - now - ANSWER_MARGIN_SECONDS)

    async def _async_answer_or_forward(self, request: Request) -> Reply:
        front = self.front
        remembered = await self._async_remembered_reply(request)
        if remembered is not None:
            return remembered
        is_append = request.method in _APPENDED_METHODS
        if is_append:
            await self._async_wait_while_suspect()
        if not self.is_log_unreachable() and not self._is_outdated():
            if is_append and self._is_store_slow() and not front.is_stored(request):
                return await self._async_answer_collected(request)
            return await self.async_answer_hedged(request)
        outcome = PeerOutcome(None, may_have_effect=False)
        if not self._is_final_here(request):
            # A peer that has just lost the log may answer from an older replica.
            outcome = await self._async_forward_unless_isolated(request)
        if outcome.reply is not None:
            reply = self._accept_peer_reply(request, outcome.reply)
            return _mask_uncertain_refusal(request, reply, outcome.may_have_effect)
        if request.method == "GET" and not self._is_outdated():
            return await front.async_answer(request)
        # The request can't be stored from here. Refusing it at once, rather than at its
        # deadline, leaves its caller time to retry at another entry node.
        reply = front.unreachable_reply(request)
        return _mask_uncertain_refusal(request, reply, outcome.may_have_effect)

    def _is_final_here(self, request: Request) -> bool:
        """Return whether the local replica has a final state that may be told."""
        if request.method != "GET" or self._is_outdated():
            return False
        return self.front.is_final(request)

    async def _async_remembered_reply(self, request: Request) -> Reply | None:
        """Return a final state that a peer told, which the local replica may lack."""
        reply = self._final_replies.find(request)
        if reply is None or self._is_outdated() or not self._is_current(reply):
            return None
        admitted = await self.front.admission.async_admit(request)
        return None if isinstance(admitted, Reply) else reply

    def _accept_peer_reply(self, request: Request, peer_reply: PeerReply) -> Reply:
        """Return a peer's reply for the caller."""
        reply = Reply(
            peer_reply.status,
            peer_reply.body,
            peer_reply.retry_after,
            peer_reply.version,
        )
        self._final_replies.record(request, reply)
        return reply

    async def async_answer_peer(self, request: PeerRequest) -> PeerReply:
        """Answer a peer, unless the log is unreachable from here too."""
        if request.method in UNCONFIRMED_METHODS:
            return PeerReply(404, b"")
        if request.method == RELAY_METHOD:
            return await self.relay.async_answer_peer(request)
        if request.method == OWNER_METHOD and self.answer_owner_query is not None:
            # An owner that can't reach the log keeps its authority for a while.
            return await self.answer_owner_query(request)
        if self._must_decline(request):
            return PeerReply(503, b"", confirmed=False)
        if request.method == CHECK_METHOD:
            return PeerReply(200, b"")
        deadline = self.timers.monotonic() + request.timeout_seconds
        front_request = Request(
            request.method,
            request.host,
            request.path,
            request.body,
            deadline,
            request.key,
        )
        reply = await self.front.async_answer(front_request)
        confirmed = reply.status not in _UNCERTAIN_STATUSES
        return PeerReply(
            reply.status, reply.body, reply.retry_after, confirmed, reply.version
        )

    def _must_decline(self, request: PeerRequest) -> bool:
        """Return whether a peer's request must not be answered here.

        An answer by an older configuration than the sender's could take the caller back
        to an older version, and a node that is about to stop may not finish an append.
        One that may merely take a very slow store for being down goes on collecting.
        """
        if request.collected and self.is_draining():
            return True
        now = self.timers.monotonic()
        collects = request.collected and self.latency.may_be_slow(now)
        if self.is_log_unreachable() and not collects:
            return True
        return request.method != CHECK_METHOD and request.version > self._version()

    @switchable(
        "hedged-appends",
        "a request that is slow to be answered here is sent to a peer too",
        without=_async_answer_locally,
    )
    async def async_answer_hedged(self, request: Request) -> Reply:
        """Answer here, and forward the request to a peer too if that takes long.

        A slow store is no reason to forward it: the peer's append would take as long.
        Both attempts have the same job id, so that the job is accepted once.
        """
        replies: list[Reply] = []
        outcomes: list[PeerOutcome] = []
        async with anyio.create_task_group() as tasks:

            async def async_answer_locally() -> None:
                reply = await self.front.async_answer(request)
                replies.append(reply)
                if reply.status not in _UNCERTAIN_STATUSES or self._is_store_slow():
                    tasks.cancel_scope.cancel()
                elif not outcomes:
                    # The local attempt failed early: forward the request now.
                    forward_now.set()

            async def async_forward_late() -> None:
                await self._async_wait_to_hedge(forward_now, replies)
                outcomes.append(PeerOutcome(None, True))
                outcomes[0] = await self.async_forward(request)
                if await self._async_ends_hedge(outcomes[0], replies):
                    tasks.cancel_scope.cancel()

            forward_now = anyio.Event()
            tasks.start_soon(async_answer_locally)
            tasks.start_soon(async_forward_late)
        for reply in replies:
            if reply.status not in _UNCERTAIN_STATUSES:
                return reply
        unknown = bool(outcomes) and outcomes[0].may_have_effect
        if outcomes and outcomes[0].reply is not None:
            # A local attempt that is in flight or unanswered may still take effect.
            maybe_stored = not replies or replies[0].status == OUTCOME_UNKNOWN_STATUS
            return self._outcome_reply(
                request,
                self._accept_peer_reply(request, outcomes[0].reply),
                unknown or maybe_stored,
            )
        local_reply = replies[0] if replies else _unknown_reply()
        return self._outcome_reply(request, local_reply, unknown)

    def _is_store_slow(self) -> bool:
        return self.latency.is_slow(self.timers.monotonic())

    async def _async_wait_while_suspect(self) -> None:
        """Wait until it is known whether the store has become slow.

        Each append that an entry node sends to a slow store without knowing so queues
        in the partition, and all those that follow wait behind it.
        """
        until = self.timers.monotonic() + SLOW_SECONDS
        while self.latency.is_suspect(self.timers.monotonic()):
            if self.timers.monotonic() >= until:
                return
            await self.timers.async_sleep(SUSPECT_POLL_SECONDS)

    @switchable(
        "collected-appends",
        "while the store is slow, a few entry nodes append the requests of all",
        without=_async_never_collect,
    )
    async def _async_answer_collected(self, request: Request) -> Reply:
        """Answer through an entry node that collects requests for the slow store.

        One that does not answer is replaced by the next one, and in the end by this
        node's own append. Since all of them have the same job id, the job is accepted
        once; a refusal is returned only if none of them may have accepted it.
        """
        front = self.front
        if front.holds(request):
            # The caller asks again for what this node is appending.
            return await self.async_answer_hedged(request)
        may_have_effect = False
        for number, name in enumerate(self.collectors(request.path)):
            if name == front.follower.node:
                break
            if number:
                # The first collecting node refuses by itself what is late, since it
                # knows whether an earlier request with the same id is in flight there.
                now = self.timers.monotonic()
                expected_seconds = self.latency.unqueued_seconds(now)
                refusal = front.refuse_if_late(request, expected_seconds)
                if refusal is not None:
                    return self._outcome_reply(request, refusal, may_have_effect)
            outcome = await self._async_send_collected(name, request)
            may_have_effect = may_have_effect or outcome.may_have_effect
            if outcome.reply is not None:
                reply = self._accept_peer_reply(request, outcome.reply)
                return self._outcome_reply(request, reply, may_have_effect)
        if self.is_log_unreachable():
            reply = front.unreachable_reply(request)
        elif may_have_effect and self._remaining_seconds(request) <= 0.0:
            reply = _unknown_reply()
        else:
            reply = await self.async_answer_hedged(request)
        return self._outcome_reply(request, reply, may_have_effect)

    def collecting(self) -> list[str]:
        """Return the entry nodes that collect requests in this one's view."""
        return self._available()[: self._collector_count()]

    def collectors(self, path: str) -> list[str]:
        """Return the entry nodes to send a request to, one after the other."""
        return choose_collectors(path, self._available(), self._collector_count())

    def _collector_count(self) -> int:
        now = self.timers.monotonic()
        return collector_count(self.latency.max_read_seconds(now))

    def _available(self) -> list[str]:
        """Return the entry nodes that can collect, the best ones first."""
        ledger = self.front.ledger
        ranked = rank_collectors(ledger.nodes, ledger.owner.node)
        return [name for name in ranked if not self._is_left_out(name)]

    def _is_left_out(self, name: str) -> bool:
        if name == self.front.follower.node:
            return self.is_draining()
        return self.forwarder.is_backed_off(name)

    async def _async_send_collected(self, name: str, request: Request) -> PeerOutcome:
        """Send a request to one collecting entry node."""
        peer_request = self._build_peer_request(request, collected=True)
        outcome = await self.forwarder.async_send_watched(name, peer_request)
        PEER_ANSWERS.labels(str(outcome.reply is not None).lower()).inc()
        _LOGGER.info(
            "request_forwarded",
            method=request.method,
            path=request.path,
            status=outcome.reply.status if outcome.reply else None,
            collector=name,
        )
        return self._record_version(peer_request, outcome)

    async def _async_wait_to_hedge(
        self, forward_now: anyio.Event, replies: list[Reply]
    ) -> None:
        """Wait until a request should be forwarded in addition to the local append.

        :param replies: gets the reply of the local append.
        """
        with anyio.move_on_after(HEDGE_DELAY_SECONDS):
            await forward_now.wait()
        while self._is_store_slow() and not replies:
            await self.timers.async_sleep(HEDGE_POLL_SECONDS)

    async def _async_ends_hedge(
        self, outcome: PeerOutcome, replies: list[Reply]
    ) -> bool:
        """Return whether to end the local append after a request was forwarded.

        If no peer can reach the log either, the store is down or very slow. In the
        latter case the append that is outstanding here will be answered.

        :param replies: gets the reply of the local append.
        """
        if outcome.reply is not None:
            return True
        while not replies and self.latency.may_be_slow(self.timers.monotonic()):
            await self.timers.async_sleep(HEDGE_POLL_SECONDS)
        return self.is_log_unreachable()

    def _outcome_reply(self, request: Request, reply: Reply, unknown: bool) -> Reply:
        """Return the reply for a caller; log it if the outcome is unknown."""
        masked = _mask_uncertain_refusal(request, reply, unknown)
        if masked.status == OUTCOME_UNKNOWN_STATUS:
            _LOGGER.warning("outcome_unknown", request=request.path, outcome="unknown")
        return masked

    @switchable(
        "refused-alone",
        "callers are refused at once if no peer could reach the log a moment ago",
        without=_async_forward_always,
    )
    async def _async_forward_unless_isolated(self, request: Request) -> PeerOutcome:
        """Forward a request, unless no peer could reach the log a moment ago.

        Each request tries one peer after the other, and partitioned peers only fail by
        a timeout, so that callers would run out of time although it is known that
        nothing can be stored. Only one request per interval tries the peers; all others
        are refused at once.
        """
        now = self.timers.monotonic()
        if now < self._isolated_until:
            return PeerOutcome(None, may_have_effect=False)
        if self._isolated_until:
            self._isolated_until = now + ISOLATED_RETRY_SECONDS
        outcome = await self.async_forward(request)
        found = outcome.reply is not None
        self._isolated_until = (
            0.0 if found else self.timers.monotonic() + ISOLATED_RETRY_SECONDS
        )
        return outcome

    @switchable(
        "peer-answers",
        "an entry node that can't reach the log answers through one that can",
        without=_async_forward_nothing,
    )
    async def async_forward(self, request: Request) -> PeerOutcome:
        """Forward a request to peers, one after the other."""
        peer_request = self._build_peer_request(request)
        if self.latency.was_slow(self.timers.monotonic()):
            outcome = await self._async_forward_to_collectors(request)
        else:
            outcome = await self.forwarder.async_forward(peer_request)
        outcome = self._record_version(peer_request, outcome)
        PEER_ANSWERS.labels(str(outcome.reply is not None).lower()).inc()
        _LOGGER.info(
            "request_forwarded",
            method=request.method,
            path=request.path,
            status=outcome.reply.status if outcome.reply else None,
        )
        return outcome

    async def _async_forward_to_collectors(self, request: Request) -> PeerOutcome:
        """Forward a request to the collecting entry nodes, one after the other.

        Any other peer's append would lengthen the queue of a slow partition.
        """
        node = self.front.follower.node
        peers = [name for name in self._available() if name != node]
        count = self._collector_count()
        may_have_effect = False
        for name in choose_collectors(request.path, peers, count):
            peer_request = self._build_peer_request(request)
            if peer_request.timeout_seconds <= 0.0:
                break
            outcome = await self.forwarder.async_send_watched(name, peer_request)
            may_have_effect = may_have_effect or outcome.may_have_effect
            if outcome.reply is not None and outcome.reply.confirmed:
                return PeerOutcome(outcome.reply, may_have_effect)
        return PeerOutcome(None, may_have_effect)

    def _build_peer_request(
        self, request: Request, collected: bool = False
    ) -> PeerRequest:
        return PeerRequest(
            request.method,
            request.host,
            request.path,
            request.body,
            self._remaining_seconds(request),
            self.front.configuration.newest_version,
            request.key,
            collected,
        )

    def _record_version(
        self, request: PeerRequest, outcome: PeerOutcome
    ) -> PeerOutcome:
        """Record the configuration version of a peer's reply, and return it in it.

        A peer never answers by an older version than the request names, and an older
        build may not name the version that it used.
        """
        if outcome.reply is None:
            return outcome
        version = max(outcome.reply.version, request.version)
        self.front.configuration.record_seen(version)
        reply = msgspec.structs.replace(outcome.reply, version=version)
        return PeerOutcome(reply, outcome.may_have_effect)


def _unknown_reply() -> Reply:
    body = callers.encode_error("outcome-unknown", "ask again with the same id")
    return Reply(OUTCOME_UNKNOWN_STATUS, body)


def _mask_uncertain_refusal(request: Request, reply: Reply, unknown: bool) -> Reply:
    """Replace a refusal by "outcome unknown" if the request may have taken effect.

    Otherwise a job could run although its caller was refused: an append is in flight at
    an entry node that was just partitioned; a peer that gets the request too refuses
    it, because the caller's key or the queue was removed meanwhile; then the append is
    stored.

    :param unknown: whether another attempt at the request may have taken effect.
    """
    if unknown and _is_refusal(reply) and request.method != "GET":
        return _unknown_reply()
    return reply


def _is_refusal(reply: Reply) -> bool:
    return reply.status == 503 or 400 <= reply.status < 500
