"""Find out whether a job is complete while the log can't be read."""

from __future__ import annotations

from dataclasses import dataclass

from ...helpers.logging import get_logger
from ...helpers.timer import TimerService
from ..ledger.appender import GroupAppender, Outcome
from ..ledger.const import PREFIX_REPORTED
from ..ledger.follower import TopicFollower
from ..ledger.ledger import Ledger, encode
from ..ledger.models import ReportedRecord
from ..ledger.unlogged_completions import UnloggedCompletions
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
    """Query completions that the log lacks, and store those reported to callers.

    :param node: name of this entry node.
    """

    node: str
    unlogged: UnloggedCompletions
    ledger: Ledger
    follower: TopicFollower
    appender: GroupAppender
    forwarder: Forwarder
    timers: TimerService

    async def async_is_complete(self, job_id: str) -> bool:
        """Return whether a job is certainly done, so that a caller may be told so.

        A completion that is reported before the log has it is held by three machines:
        the worker, the owner, and the entry node that reports it. If that is the owner
        itself, another entry node must hold it as a witness. Otherwise a task could run
        again after its job was reported as done: the owner reports it during a store
        outage, then loses power, and the worker crashes before the store is back.
        """
        if self.unlogged.was_reported(job_id):
            return True
        known_here = self.unlogged.contains(job_id)
        query = self._async_find_witness if known_here else self._async_query_owner
        holder = await query(job_id)
        if not holder:
            return False
        self.unlogged.mark_reported(job_id)
        failing_since = self.follower.failing_since
        now = self.timers.monotonic()
        outage = now - failing_since if failing_since is not None else 0.0
        _LOGGER.info(
            "unlogged_completion_reported",
            job=job_id,
            owner=self.ledger.owner.node,
            holder=holder,
            outage_seconds=outage,
        )
        return True

    def answer_peer(self, request: PeerRequest) -> PeerReply:
        """Answer whether a job is known here to be done; record it for a witness query.

        Completions recorded for a peer are also written to the log from here.
        """
        job_id = request.path
        if request.method == WITNESS_METHOD:
            self.unlogged.mark_reported(job_id)
            _LOGGER.info("completion_witnessed", job=job_id)
        return PeerReply(200 if self.unlogged.contains(job_id) else 404, b"")

    async def async_run(self) -> None:
        """Store reported completions whenever the log is reachable."""
        while True:
            await self.timers.async_sleep(STORE_REPORTED_INTERVAL_SECONDS)
            if self.follower.failing_since is None:
                await self._async_store_reported()

    async def _async_store_reported(self) -> None:
        jobs = self.unlogged.pending_reports(self._is_stored)
        if not jobs:
            return
        record = encode(ReportedRecord(self.timers.wall()))
        deadline = self.timers.monotonic() + STORE_REPORTED_TIMEOUT_SECONDS
        records = [(PREFIX_REPORTED + job_id, record) for job_id in jobs]
        outcome = await self.appender.async_append(records, deadline)
        _LOGGER.info(
            "reported_completions_stored", jobs=len(jobs), outcome=outcome.value
        )
        if outcome is Outcome.STORED:
            await self.follower.async_catch_up()

    def _is_stored(self, job_id: str) -> bool:
        job = self.ledger.jobs.get(job_id)
        return job is not None and job.state.final

    async def _async_find_witness(self, job_id: str) -> str:
        """Return the entry node that recorded a completion known here, if any.

        Nodes of other data centres come first, since a failure of this node may affect
        its whole data centre.
        """
        request = PeerRequest(
            WITNESS_METHOD, "", job_id, b"", COMPLETION_QUERY_TIMEOUT_SECONDS
        )
        for name, _ in self.forwarder.ranked_peers()[:MAX_WITNESSES_ASKED]:
            reply = await self.forwarder.async_send_to_node(name, request)
            if reply is not None and reply.status == 200:
                return name
        return ""

    async def _async_query_owner(self, job_id: str) -> str:
        """Return the owner if it knows a job to be complete."""
        owner = self.ledger.owner.node
        if owner in ("", self.node):
            return ""
        request = PeerRequest(
            ENDED_METHOD, "", job_id, b"", COMPLETION_QUERY_TIMEOUT_SECONDS
        )
        reply = await self.forwarder.async_send_to_node(owner, request)
        return owner if reply is not None and reply.status == 200 else ""
