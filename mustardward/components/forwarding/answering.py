"""Answer from the log here, or let a peer do so."""

from __future__ import annotations

from dataclasses import dataclass

import anyio

from ...helpers.instruments import PEER_ANSWERS
from ...helpers.logging import get_logger
from ...helpers.policies import switchable
from ...helpers.timer import TimerService
from ...platform import callers
from ..front.const import ANSWER_MARGIN_SECONDS
from ..front.models import Reply, Request
from ..front.refusing import longest_outage
from ..front.services import FrontService
from .const import (
    CHECK_METHOD,
    ENDED_METHOD,
    HEDGE_DELAY_SECONDS,
    ISOLATED_RETRY_SECONDS,
    OUTAGE_SECONDS,
    OUTCOME_UNKNOWN_STATUS,
    RELAY_METHOD,
    WITNESS_METHOD,
)
from .ends import CompletionTracker
from .models import PeerReply, PeerRequest
from .relay import StoreRelay
from .services import Forwarder, PeerOutcome

_LOGGER = get_logger(__name__)

_UNCERTAIN_STATUSES = (503, 504)


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


async def _async_never_complete(failover: FailoverHandler, /, request: Request) -> bool:
    return False


@dataclass(slots=True, eq=False)
class FailoverHandler:
    """Answer callers whether or not the log can be reached from here."""

    front: FrontService
    forwarder: Forwarder
    timers: TimerService
    completions: CompletionTracker
    relay: StoreRelay
    _newest_peer_version: int = 0
    _isolated_until: float = 0.0

    def _version(self) -> int:
        config = self.front.configuration.config
        return config.version if config is not None else 0

    def _is_outdated(self) -> bool:
        """Return whether a peer answered here by a newer configuration.

        To answer by the own one then would take callers back to an older version.
        """
        return self._version() < self._newest_peer_version

    def is_log_unreachable(self) -> bool:
        """Return whether the log could not be reached for a while."""
        front = self.front
        outage = longest_outage(
            self.timers.monotonic(),
            front.follower.failing_since,
            front.config_follower.failing_since,
            front.appender.failing_since,
        )
        return outage > OUTAGE_SECONDS

    async def async_answer(self, request: Request) -> Reply:
        """Return the answer to a caller."""
        if request.method != "GET":
            return await self._async_answer_or_forward(request)
        failed_before = self.front.log_failing
        if failed_before and await self._async_is_complete(request):
            return self.front.done_reply()
        reply = await self._async_answer_or_forward(request)
        if failed_before or not self.front.log_failing:
            return reply
        # That the log fails was found by this very request.
        return (
            self.front.done_reply() if await self._async_is_complete(request) else reply
        )

    @switchable(
        "ends-ahead",
        "a job that ended while the store is away is told as done",
        without=_async_never_complete,
    )
    async def _async_is_complete(self, request: Request) -> bool:
        """Return whether a caller asks for a job that is known to be done."""
        job_id = self.front.unfinished_job_id(request)
        return job_id is not None and await self.completions.async_is_complete(job_id)

    async def _async_answer_or_forward(self, request: Request) -> Reply:
        if not self.is_log_unreachable() and not self._is_outdated():
            return await self._async_answer_hedged(request)
        outcome = await self._async_forward_unless_isolated(request)
        if outcome.reply is not None:
            reply = _reply(outcome.reply)
            return _mask_uncertain_refusal(request, reply, outcome.may_have_effect)
        if request.method == "GET" and not self._is_outdated():
            return await self.front.async_answer(request)
        # It can't be stored from here, and would only wait for its deadline: its
        # caller is told at once, and has time left to try elsewhere.
        reply = self.front.unreachable_reply(request)
        return _mask_uncertain_refusal(request, reply, outcome.may_have_effect)

    async def async_answer_peer(self, asked: PeerRequest) -> PeerReply:
        """Return the answer to a peer's question, from the log here or not at all."""
        if asked.method in (ENDED_METHOD, WITNESS_METHOD):
            return self.completions.answer_peer(asked)
        if asked.method == RELAY_METHOD:
            return await self.relay.async_answer_peer(asked)
        if self.is_log_unreachable():
            return PeerReply(503, b"", confirmed=False)
        if asked.method == CHECK_METHOD:
            return PeerReply(200, b"")
        if asked.version > self._version():
            # By an older configuration its caller would be taken back behind what it
            # has seen at the asker.
            return PeerReply(503, b"", confirmed=False)
        deadline = self.timers.monotonic() + asked.timeout_seconds
        request = Request(
            asked.method, asked.host, asked.path, asked.body, deadline, asked.key
        )
        reply = await self.front.async_answer(request)
        confirmed = reply.status not in _UNCERTAIN_STATUSES
        return PeerReply(
            reply.status, reply.body, reply.retry_after, confirmed, self._version()
        )

    @switchable(
        "hedged-appends",
        "a slow answer here is asked of a peer too",
        without=_async_answer_locally,
    )
    async def _async_answer_hedged(self, request: Request) -> Reply:
        """Answer here, and ask a peer too if that takes long.

        The job's id makes both the same job, so that it is accepted once.
        """
        replies: list[Reply] = []
        asked: list[PeerOutcome] = []
        async with anyio.create_task_group() as tasks:

            async def async_here() -> None:
                reply = await self.front.async_answer(request)
                replies.append(reply)
                if reply.status not in _UNCERTAIN_STATUSES:
                    tasks.cancel_scope.cancel()
                elif not asked:
                    # It is over here before a peer was asked: ask one now.
                    hedge.set()

            async def async_elsewhere() -> None:
                with anyio.move_on_after(HEDGE_DELAY_SECONDS):
                    await hedge.wait()
                asked.append(PeerOutcome(None, True))
                asked[0] = await self.async_forward(request)
                if asked[0].reply is not None or self.is_log_unreachable():
                    tasks.cancel_scope.cancel()

            hedge = anyio.Event()
            tasks.start_soon(async_here)
            tasks.start_soon(async_elsewhere)
        for reply in replies:
            if reply.status not in _UNCERTAIN_STATUSES:
                return reply
        unknown = bool(asked) and asked[0].may_have_effect
        if asked and asked[0].reply is not None:
            # What is under way here, or was unanswered, may still take its effect.
            under_way = not replies or replies[0].status == OUTCOME_UNKNOWN_STATUS
            return self._outcome_reply(
                request, _reply(asked[0].reply), unknown or under_way
            )
        here = replies[0] if replies else _unknown_reply()
        return self._outcome_reply(request, here, unknown)

    def _outcome_reply(self, request: Request, reply: Reply, unknown: bool) -> Reply:
        """Return what a caller is told, with a line if that is that nothing is sure."""
        told = _mask_uncertain_refusal(request, reply, unknown)
        if told.status == OUTCOME_UNKNOWN_STATUS:
            _LOGGER.warning("outcome_unknown", request=request.path, outcome="cut-off")
        return told

    @switchable(
        "refused-alone",
        "callers are refused at once where no peer had the log a moment ago",
        without=_async_forward_always,
    )
    async def _async_forward_unless_isolated(self, request: Request) -> PeerOutcome:
        """Ask peers, unless none had the log a moment ago.

        Symptom without it: callers' time runs out, though it is known that nothing can
        be stored. Each request asks one peer after the other, and some of them are
        behind a cut and give no sign. One request looks for a peer now and then; the
        others are refused at once meanwhile.
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
        "an entry without the log answers through one that has it",
        without=_async_forward_nothing,
    )
    async def async_forward(self, request: Request) -> PeerOutcome:
        """Ask peers, one after the other."""
        left = request.deadline - self.timers.monotonic() - ANSWER_MARGIN_SECONDS
        asked = PeerRequest(
            request.method,
            request.host,
            request.path,
            request.body,
            max(0.0, left),
            max(self._version(), self._newest_peer_version),
            request.key,
        )
        outcome = await self.forwarder.async_forward(asked)
        if outcome.reply is not None:
            self._newest_peer_version = max(
                self._newest_peer_version, outcome.reply.version
            )
        PEER_ANSWERS.labels(str(outcome.reply is not None).lower()).inc()
        _LOGGER.info(
            "peer_asked",
            method=request.method,
            path=request.path,
            status=outcome.reply.status if outcome.reply else None,
        )
        return outcome


def _reply(asked: PeerReply) -> Reply:
    return Reply(asked.status, asked.body, asked.retry_after)


def _unknown_reply() -> Reply:
    body = callers.encode_error("outcome-unknown", "ask again with the same id")
    return Reply(OUTCOME_UNKNOWN_STATUS, body)


def _mask_uncertain_refusal(request: Request, reply: Reply, unknown: bool) -> Reply:
    """Return a refusal only if nobody may have taken the request.

    Symptom without it: a job runs though its caller was refused. Sequence: an append is
    under way at an entry that was just cut off; a peer is asked beside it, and knows
    that the caller's key was withdrawn meanwhile, or its queue; the append is stored.
    """
    if unknown and _is_refusal(reply) and request.method != "GET":
        return _unknown_reply()
    return reply


def _is_refusal(reply: Reply) -> bool:
    return reply.status == 503 or 400 <= reply.status < 500
