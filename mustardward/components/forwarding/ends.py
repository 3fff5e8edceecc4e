"""Ask the owner whether a job has ended, while the log can't be read."""

from __future__ import annotations

from dataclasses import dataclass

from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ..ledger.ahead import EndsAhead
from ..ledger.appender import GroupAppender, Outcome
from ..ledger.const import PREFIX_TOLD
from ..ledger.follower import TopicFollower
from ..ledger.ledger import Ledger, encode
from ..ledger.models import ToldRecord
from .const import (
    BRING_SECONDS,
    BRING_WAIT_SECONDS,
    ENDED_METHOD,
    ENDED_SECONDS,
    MOST_WITNESSES_ASKED,
    WITNESS_METHOD,
)
from .models import AskedReply, AskedRequest
from .services import Forwarder

_LOGGER = get_logger(__name__)


@dataclass(slots=True, eq=False)
class Ends:
    """Learn of ends that the log can't tell, and bring to it what callers were told.

    :param node: this entry's name.
    """

    node: str
    ahead: EndsAhead
    ledger: Ledger
    follower: TopicFollower
    appender: GroupAppender
    forwarder: Forwarder
    timers: TimerService

    async def async_ended(self, job_id: str) -> bool:
        """Return whether a job is surely done; a caller is told so then.

        Three machines hold an end that is told before the log has it: the worker, the
        owner, and the entry that tells it. Where the owner tells it itself, another
        entry has to hold it too. Symptom without that: a task runs again after its job
        was told as done. Sequence: the store is away; the owner tells a caller of its
        own; it loses power, and the worker crashes, before the store is back.
        """
        if self.ahead.was_told(job_id):
            return True
        known_here = self.ahead.knows(job_id)
        ask = self._async_find_witness if known_here else self._async_ask
        if not await ask(job_id):
            return False
        self.ahead.tell(job_id)
        _LOGGER.info("end_told_ahead", job=job_id, owner=self.ledger.owner.node)
        return True

    def answer_peer(self, asked: AskedRequest) -> AskedReply:
        """Return whether a job is known here as done, from now on if asked to hold it.

        What is held for a peer is brought to the log from here too.
        """
        job_id = asked.path
        if asked.method == WITNESS_METHOD:
            self.ahead.tell(job_id)
            _LOGGER.info("end_witnessed", job=job_id)
        return AskedReply(200 if self.ahead.knows(job_id) else 404, b"")

    async def async_run(self) -> None:
        """Bring to the log what callers were told, once it can be reached."""
        while True:
            await self.timers.async_sleep(BRING_SECONDS)
            if self.follower.failing_since is None:
                await self._async_bring()

    async def _async_bring(self) -> None:
        jobs = self.ahead.to_bring(self._is_stored)
        if not jobs:
            return
        record = encode(ToldRecord(self.timers.wall()))
        until = self.timers.monotonic() + BRING_WAIT_SECONDS
        records = [(PREFIX_TOLD + job_id, record) for job_id in jobs]
        outcome = await self.appender.async_append(records, until)
        _LOGGER.info("ends_brought", jobs=len(jobs), outcome=outcome.value)
        if outcome is Outcome.STORED:
            await self.follower.async_confirm()

    def _is_stored(self, job_id: str) -> bool:
        job = self.ledger.jobs.get(job_id)
        return job is not None and job.state.final

    async def _async_find_witness(self, job_id: str) -> bool:
        """Return whether another entry holds an end that is known here.

        Those of other data centres come first: what takes this one may take its own.
        """
        asked = AskedRequest(WITNESS_METHOD, "", job_id, b"", ENDED_SECONDS)
        for name, _ in self.forwarder.candidates()[:MOST_WITNESSES_ASKED]:
            reply = await self.forwarder.async_ask_node(name, asked)
            if reply is not None and reply.status == 200:
                return True
        return False

    async def _async_ask(self, job_id: str) -> bool:
        owner = self.ledger.owner.node
        if owner in ("", self.node):
            return False
        asked = AskedRequest(ENDED_METHOD, "", job_id, b"", ENDED_SECONDS)
        reply = await self.forwarder.async_ask_node(owner, asked)
        return reply is not None and reply.status == 200
