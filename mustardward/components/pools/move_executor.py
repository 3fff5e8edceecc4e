"""Carry out moves: collect acknowledgements, drain the worker, transfer it once."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import count

import anyio
from returns.result import Failure

from ...exceptions import PeerError, PlatformError
from ...helpers.logging import get_logger
from ...standin.protocol.models import PowerState
from ...state.models.pools import AcknowledgeMove, Move, TransferInstance
from ..explain.models import SubjectKind
from ..maintenance.const import CONFIRM_TIMEOUT_SECONDS
from ..maintenance.decisions import DecisionJournal
from ..maintenance.models import ExecutorDependencies, executor_name
from ..membership.models import Member
from ..peers.protocols import Peers
from .acknowledger import Acknowledger
from .const import ACKNOWLEDGEMENT_TIMEOUT_SECONDS
from .messages import Acknowledgement, AcknowledgementRequest

_LOGGER = get_logger(__name__)


@dataclass(slots=True, eq=False)
class _Progress:
    """Hold what this process has observed of a move.

    ``sequence`` is unique within the process and makes operation ids unique.
    ``acknowledged`` names the entries that have stopped using the instance, including
    entries that joined after the request. ``drained`` is set once the worker was empty
    after that. ``refused_offset`` is the log offset at which the transfer was refused.
    """

    sequence: int
    acknowledged: set[str] = field(default_factory=set)
    drained: bool = False
    refused_offset: int = -1


class MoveExecutor:
    """Carry out the moves of one data centre whose duty this process owns.

    Each entry process has to acknowledge for itself. One that is unreachable blocks
    the move, but no requests, until it has verifiably ended.
    """

    def __init__(
        self,
        dependencies: ExecutorDependencies,
        peers: Peers | None,
        acknowledger: Acknowledger,
    ) -> None:
        self._dependencies = dependencies
        self._peers = peers
        self._acknowledger = acknowledger
        self._journal = DecisionJournal(dependencies.events, dependencies.log)
        self._progress: dict[str, _Progress] = {}
        self._sequences = count(1)

    async def async_step(self) -> None:
        """Advance each move whose duty this process owns by one step."""
        if not self._dependencies.may_start():
            return
        moves = self._get_owned_moves()
        self._progress = {
            move.move_id: self._progress.get(move.move_id)
            or _Progress(next(self._sequences))
            for move in moves
        }
        async with anyio.create_task_group() as group:
            for move in moves:
                group.start_soon(self._async_step_move, move)

    def _get_owned_moves(self) -> list[Move]:
        state = self._dependencies.log.state
        return [
            move
            for move in list(state.moves.values())
            if state.instances[move.instance_id].data_centre
            == self._dependencies.data_centre
            and self._dependencies.membership.owns_duty(f"move:{move.move_id}")
        ]

    async def _async_step_move(self, move: Move) -> None:
        try:
            await self._async_collect_acknowledgements(move)
            if self._get_missing_acknowledgements(move):
                self._record_blocked(move)
            elif await self._async_drain(move):
                await self._async_transfer(move)
        except PlatformError as error:
            _LOGGER.warning("move_postponed", move=move.move_id, cause=error.code)

    async def _async_collect_acknowledgements(self, move: Move) -> None:
        """Ask each entry that is not gone for acknowledgement; log the result."""
        acknowledged = self._progress[move.move_id].acknowledged
        async with anyio.create_task_group() as group:
            for member in self._get_members():
                if executor_name(member) not in acknowledged:
                    group.start_soon(self._async_request_acknowledgement, move, member)
        waiting = move.expected - move.acknowledged
        entries = tuple(sorted(waiting & acknowledged))
        gone = tuple(
            sorted(name for name in waiting - acknowledged if self._is_gone(name))
        )
        if entries or gone:
            await self._dependencies.log.async_propose(
                AcknowledgeMove(move.move_id, entries, gone),
                actor=self._dependencies.executor,
            )

    def _get_members(self) -> tuple[Member, ...]:
        return self._dependencies.membership.members(self._dependencies.data_centre)

    def _is_gone(self, name: str) -> bool:
        entry, _, start = name.rpartition("#")
        return start.isdigit() and self._dependencies.membership.is_gone(
            entry, int(start)
        )

    async def _async_request_acknowledgement(self, move: Move, member: Member) -> None:
        request = AcknowledgementRequest(move.move_id, move.instance_id)
        try:
            reply = await self._async_call(member, request)
        except PeerError as error:
            _LOGGER.debug(
                "move_acknowledgement_failed", entry=member.name, cause=error.code
            )
            return
        # A process restarted under the same name may reply; it acknowledges for itself
        # alone, so the name in its reply counts.
        if reply is not None and reply.given_up:
            self._progress[move.move_id].acknowledged.add(reply.entry)

    async def _async_call(
        self, member: Member, request: AcknowledgementRequest
    ) -> Acknowledgement | None:
        if member.name == self._dependencies.membership.own.name:
            return await self._acknowledger.async_acknowledge(request)
        if self._peers is None:
            return None
        reply: Acknowledgement = await self._peers.async_call(
            member, request, ACKNOWLEDGEMENT_TIMEOUT_SECONDS
        )
        return reply

    def _get_missing_acknowledgements(self, move: Move) -> list[str]:
        """Return the entries that may still send work to the instance.

        These include entries that joined after the request: the record does not name
        them, and they may have started from a snapshot older than the move.
        """
        acknowledged = self._progress[move.move_id].acknowledged
        joined = {
            executor_name(member) for member in self._get_members()
        } - acknowledged
        return sorted((move.expected - move.acknowledged) | joined)

    async def _async_drain(self, move: Move) -> bool:
        """Drain the worker, return it to service, and tell whether both are done.

        No entry selects the worker while the move is in progress, so it stays empty
        until the transfer. It is returned to service before that, so that it isn't
        left drained if this process ends.
        """
        progress = self._progress[move.move_id]
        power = await self._dependencies.power.async_get(move.instance_id)
        if power.state is PowerState.SERVING:
            if progress.drained:
                return True
            await self._dependencies.power.async_drain(
                move.instance_id,
                self._build_operation_id(move, "drain"),
                move.requested,
            )
            return False
        if power.state is not PowerState.DRAINED or power.running > 0:
            return False
        if not await self._dependencies.vacate(move.instance_id):
            return False
        progress.drained = True
        power = await self._dependencies.power.async_return(
            move.instance_id, self._build_operation_id(move, "return"), move.requested
        )
        return power.state is PowerState.SERVING

    def _build_operation_id(self, move: Move, action: str) -> str:
        # A previous executor may have drained and returned the instance before it
        # ended. The platform would take a second drain under the same id for a
        # repetition that is already done, so the id names the executor too.
        sequence = self._progress[move.move_id].sequence
        return f"move.{move.move_id}.{self._dependencies.executor}.{sequence}.{action}"

    async def _async_transfer(self, move: Move) -> None:
        log = self._dependencies.log
        if not await log.async_confirm_tail(CONFIRM_TIMEOUT_SECONDS):
            return
        current = log.state.moves.get(move.instance_id)
        if current is None or current.move_id != move.move_id or not log.may_decide:
            return
        progress = self._progress[move.move_id]
        if progress.refused_offset == log.next_offset:
            # The log has not advanced since the refusal; it would be refused again.
            return
        result = await log.async_propose(
            TransferInstance(move.move_id), actor=self._dependencies.executor
        )
        if isinstance(result, Failure):
            progress.refused_offset = log.next_offset
            self._record_decision(move, "move-refused", result.failure().code)
            return
        self._record_decision(move, "instance-moved", "acknowledged-and-empty")

    def _record_blocked(self, move: Move) -> None:
        waiting = ",".join(self._get_missing_acknowledgements(move))
        self._record_decision(move, "move-waiting", "entries-not-acknowledged", waiting)

    def _record_decision(
        self, move: Move, decision: str, cause: str, waiting: str = ""
    ) -> None:
        self._journal.record(
            SubjectKind.INSTANCE,
            move.instance_id,
            decision,
            cause,
            f"move={move.move_id}",
            f"source={move.source}",
            f"target={move.target}",
            *((f"waiting={waiting}",) if waiting else ()),
        )
