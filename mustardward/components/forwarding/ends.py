"""Ask the owner whether a job has ended, while the log can't be read."""

from __future__ import annotations

from dataclasses import dataclass

from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ..ledger.ahead import UnloggedCompletions
from ..ledger.appender import GroupAppender, Outcome
from ..ledger.const import PREFIX_REPORTED
from ..ledger.follower import TopicFollower
from ..ledger.ledger import Ledger, encode
from ..ledger.models import ReportedRecord
from .const import (
    COMPLETION_QUERY_TIMEOUT_SECONDS,
    ENDED_METHOD,
    MAX_WITNESSES_ASKED,
    STORE_REPORTED_INTERVAL_SECONDS,
    STORE_REPORTED_TIMEOUT_SECONDS,
    WITNESS_METHOD,
)
from .models import PeerReply, PeerRequest
from .services import Forwarder

_LOGGER = get_logger(__name__)


@dataclass(slots=True, eq=False)
class CompletionTracker:
    """Learn of ends that the log can't tell, and bring to it what callers were told.

    :param node: this entry's name.
    """

    node: str
    unlogged: UnloggedCompletions
    ledger: Ledger
    follower: TopicFollower
    appender: GroupAppender
    forwarder: Forwarder
    timers: TimerService

    async def async_is_complete(self, job_id: str) -> bool:
        """Return whether a job is surely done; a caller is told so then.

        Three machines hold an end that is told before the log has it: the worker, the
        owner, and the entry that tells it. Where the owner tells it itself, another
        entry has to hold it too. Symptom without that: a task runs again after its job
        was told as done. Sequence: the store is away; the owner tells a caller of its
        own; it loses power, and the worker crashes, before the store is back.
        """
        if self.unlogged.was_reported(job_id):
            return True
        known_here = self.unlogged.contains(job_id)
        ask = self._async_find_witness if known_here else self._async_query_owner
        if not await ask(job_id):
            return False
        self.unlogged.mark_reported(job_id)
        _LOGGER.info("end_told_ahead", job=job_id, owner=self.ledger.owner.node)
        return True

    def answer_peer(self, asked: PeerRequest) -> PeerReply:
        """Return whether a job is known here as done, from now on if asked to hold it.

        What is held for a peer is brought to the log from here too.
        """
        job_id = asked.path
        if asked.method == WITNESS_METHOD:
            self.unlogged.mark_reported(job_id)
            _LOGGER.info("end_witnessed", job=job_id)
        return PeerReply(200 if self.unlogged.contains(job_id) else 404, b"")

    async def async_run(self) -> None:
        """Bring to the log what callers were told, once it can be reached."""
        while True:
            await self.timers.async_sleep(STORE_REPORTED_INTERVAL_SECONDS)
            if self.follower.failing_since is None:
                await self._async_store_reported()

    async def _async_store_reported(self) -> None:
        jobs = self.unlogged.unlogged_reports(self._is_stored)
        if not jobs:
            return
        record = encode(ReportedRecord(self.timers.wall()))
        until = self.timers.monotonic() + STORE_REPORTED_TIMEOUT_SECONDS
        records = [(PREFIX_REPORTED + job_id, record) for job_id in jobs]
        outcome = await self.appender.async_append(records, until)
        _LOGGER.info("ends_brought", jobs=len(jobs), outcome=outcome.value)
        if outcome is Outcome.STORED:
            await self.follower.async_catch_up()

    def _is_stored(self, job_id: str) -> bool:
        job = self.ledger.jobs.get(job_id)
        return job is not None and job.state.final

    async def _async_find_witness(self, job_id: str) -> bool:
        """Return whether another entry holds an end that is known here.

        Those of other data centres come first: what takes this one may take its own.
        """
        asked = PeerRequest(
            WITNESS_METHOD, "", job_id, b"", COMPLETION_QUERY_TIMEOUT_SECONDS
        )
        for name, _ in self.forwarder.ranked_peers()[:MAX_WITNESSES_ASKED]:
            reply = await self.forwarder.async_send_to_node(name, asked)
            if reply is not None and reply.status == 200:
                return True
        return False

    async def _async_query_owner(self, job_id: str) -> bool:
        owner = self.ledger.owner.node
        if owner in ("", self.node):
            return False
        asked = PeerRequest(
            ENDED_METHOD, "", job_id, b"", COMPLETION_QUERY_TIMEOUT_SECONDS
        )
        reply = await self.forwarder.async_send_to_node(owner, asked)
        return reply is not None and reply.status == 200
