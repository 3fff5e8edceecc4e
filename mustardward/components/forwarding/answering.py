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
from ..front.services import Front
from .const import (
    ALONE_SECONDS,
    CHECK_METHOD,
    ENDED_METHOD,
    FAILING_SECONDS,
    HEDGE_SECONDS,
    OUTCOME_UNKNOWN,
    RELAY_METHOD,
    WITNESS_METHOD,
)
from .ends import Ends
from .models import AskedReply, AskedRequest
from .relay import StoreRelay
from .services import AskOutcome, Forwarder

_LOGGER = get_logger(__name__)

_UNSURE = (503, 504)


async def _async_answer_here(answering: Answering, /, request: Request) -> Reply:
    return await answering.front.async_answer(request)


async def _async_ask_nobody(answering: Answering, /, request: Request) -> AskOutcome:
    return AskOutcome(None, may_have_effect=False)


async def _async_ask_each_time(answering: Answering, /, request: Request) -> AskOutcome:
    return await answering.async_ask(request)


async def _async_tell_stored(answering: Answering, /, request: Request) -> bool:
    return False


@dataclass(slots=True, eq=False)
class Answering:
    """Answer callers whether or not the log can be reached from here."""

    front: Front
    forwarder: Forwarder
    timers: TimerService
    ends: Ends
    relay: StoreRelay
    _seen_version: int = 0
    _alone_until: float = 0.0

    def _version(self) -> int:
        config = self.front.configuration.config
        return config.version if config is not None else 0

    def _behind(self) -> bool:
        """Return whether a peer answered here by a newer configuration.

        To answer by the own one then would take callers back to an older version.
        """
        return self._version() < self._seen_version

    def cut_off(self) -> bool:
        """Return whether the log could not be reached for a while."""
        front = self.front
        outage = longest_outage(
            self.timers.monotonic(),
            front.follower.failing_since,
            front.config_follower.failing_since,
            front.appender.failing_since,
        )
        return outage > FAILING_SECONDS

    async def async_answer(self, request: Request) -> Reply:
        """Return the answer to a caller."""
        if request.method != "GET":
            return await self._async_answer(request)
        failed_before = self.front.log_failing
        if failed_before and await self._async_ended(request):
            return self.front.tell_done()
        reply = await self._async_answer(request)
        if failed_before or not self.front.log_failing:
            return reply
        # That the log fails was found by this very request.
        return self.front.tell_done() if await self._async_ended(request) else reply

    @switchable(
        "ends-ahead",
        "a job that ended while the store is away is told as done",
        without=_async_tell_stored,
    )
    async def _async_ended(self, request: Request) -> bool:
        """Return whether a caller asks for a job that is known to be done."""
        job_id = self.front.open_job(request)
        return job_id is not None and await self.ends.async_ended(job_id)

    async def _async_answer(self, request: Request) -> Reply:
        if not self.cut_off() and not self._behind():
            return await self._async_hedged(request)
        outcome = await self._async_ask_unless_alone(request)
        if outcome.reply is not None:
            reply = _reply(outcome.reply)
            return _unless_unknown(request, reply, outcome.may_have_effect)
        if request.method == "GET" and not self._behind():
            return await self.front.async_answer(request)
        # It can't be stored from here, and would only wait for its deadline: its
        # caller is told at once, and has time left to try elsewhere.
        reply = self.front.refuse_cut_off(request)
        return _unless_unknown(request, reply, outcome.may_have_effect)

    async def async_answer_peer(self, asked: AskedRequest) -> AskedReply:
        """Return the answer to a peer's question, from the log here or not at all."""
        if asked.method in (ENDED_METHOD, WITNESS_METHOD):
            return self.ends.answer_peer(asked)
        if asked.method == RELAY_METHOD:
            return await self.relay.async_answer_peer(asked)
        if self.cut_off():
            return AskedReply(503, b"", confirmed=False)
        if asked.method == CHECK_METHOD:
            return AskedReply(200, b"")
        if asked.version > self._version():
            # By an older configuration its caller would be taken back behind what it
            # has seen at the asker.
            return AskedReply(503, b"", confirmed=False)
        deadline = self.timers.monotonic() + asked.patience
        request = Request(
            asked.method, asked.host, asked.path, asked.body, deadline, asked.key
        )
        reply = await self.front.async_answer(request)
        confirmed = reply.status not in _UNSURE
        return AskedReply(
            reply.status, reply.body, reply.retry_after, confirmed, self._version()
        )

    @switchable(
        "hedged-appends",
        "a slow answer here is asked of a peer too",
        without=_async_answer_here,
    )
    async def _async_hedged(self, request: Request) -> Reply:
        """Answer here, and ask a peer too if that takes long.

        The job's id makes both the same job, so that it is accepted once.
        """
        replies: list[Reply] = []
        asked: list[AskOutcome] = []
        async with anyio.create_task_group() as tasks:

            async def async_here() -> None:
                reply = await self.front.async_answer(request)
                replies.append(reply)
                if reply.status not in _UNSURE:
                    tasks.cancel_scope.cancel()
                elif not asked:
                    # It is over here before a peer was asked: ask one now.
                    hedge.set()

            async def async_elsewhere() -> None:
                with anyio.move_on_after(HEDGE_SECONDS):
                    await hedge.wait()
                asked.append(AskOutcome(None, True))
                asked[0] = await self.async_ask(request)
                if asked[0].reply is not None or self.cut_off():
                    tasks.cancel_scope.cancel()

            hedge = anyio.Event()
            tasks.start_soon(async_here)
            tasks.start_soon(async_elsewhere)
        for reply in replies:
            if reply.status not in _UNSURE:
                return reply
        unknown = bool(asked) and asked[0].may_have_effect
        if asked and asked[0].reply is not None:
            # What is under way here, or was unanswered, may still take its effect.
            under_way = not replies or replies[0].status == OUTCOME_UNKNOWN
            return self._told(request, _reply(asked[0].reply), unknown or under_way)
        here = replies[0] if replies else _unknown()
        return self._told(request, here, unknown)

    def _told(self, request: Request, reply: Reply, unknown: bool) -> Reply:
        """Return what a caller is told, with a line if that is that nothing is sure."""
        told = _unless_unknown(request, reply, unknown)
        if told.status == OUTCOME_UNKNOWN:
            _LOGGER.warning("outcome_unknown", request=request.path, outcome="cut-off")
        return told

    @switchable(
        "refused-alone",
        "callers are refused at once where no peer had the log a moment ago",
        without=_async_ask_each_time,
    )
    async def _async_ask_unless_alone(self, request: Request) -> AskOutcome:
        """Ask peers, unless none had the log a moment ago.

        Symptom without it: callers' time runs out, though it is known that nothing can
        be stored. Each request asks one peer after the other, and some of them are
        behind a cut and give no sign. One request looks for a peer now and then; the
        others are refused at once meanwhile.
        """
        now = self.timers.monotonic()
        if now < self._alone_until:
            return AskOutcome(None, may_have_effect=False)
        if self._alone_until:
            self._alone_until = now + ALONE_SECONDS
        outcome = await self.async_ask(request)
        found = outcome.reply is not None
        self._alone_until = 0.0 if found else self.timers.monotonic() + ALONE_SECONDS
        return outcome

    @switchable(
        "peer-answers",
        "an entry without the log answers through one that has it",
        without=_async_ask_nobody,
    )
    async def async_ask(self, request: Request) -> AskOutcome:
        """Ask peers, one after the other."""
        left = request.deadline - self.timers.monotonic() - ANSWER_MARGIN_SECONDS
        asked = AskedRequest(
            request.method,
            request.host,
            request.path,
            request.body,
            max(0.0, left),
            max(self._version(), self._seen_version),
            request.key,
        )
        outcome = await self.forwarder.async_ask(asked)
        if outcome.reply is not None:
            self._seen_version = max(self._seen_version, outcome.reply.version)
        PEER_ANSWERS.labels(str(outcome.reply is not None).lower()).inc()
        _LOGGER.info(
            "peer_asked",
            method=request.method,
            path=request.path,
            status=outcome.reply.status if outcome.reply else None,
        )
        return outcome


def _reply(asked: AskedReply) -> Reply:
    return Reply(asked.status, asked.body, asked.retry_after)


def _unknown() -> Reply:
    body = callers.encode_error("outcome-unknown", "ask again with the same id")
    return Reply(OUTCOME_UNKNOWN, body)


def _unless_unknown(request: Request, reply: Reply, unknown: bool) -> Reply:
    """Return a refusal only if nobody may have taken the request.

    Symptom without it: a job runs though its caller was refused. Sequence: an append is
    under way at an entry that was just cut off; a peer is asked beside it, and knows
    that the caller's key was withdrawn meanwhile, or its queue; the append is stored.
    """
    if unknown and _refuses(reply) and request.method != "GET":
        return _unknown()
    return reply


def _refuses(reply: Reply) -> bool:
    return reply.status == 503 or 400 <= reply.status < 500
