"""Carry out moves: ask every entry, empty the worker, change the owner once."""

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
from .acknowledge import Acknowledger
from .const import ASK_TIMEOUT_SECONDS
from .messages import Acknowledgement, AskAcknowledgement

_LOGGER = get_logger(__name__)


@dataclass(slots=True, eq=False)
class _Progress:
    """Hold what this process saw of a move.

    ``given_up`` names the entries that gave the instance up, also such as joined after
    the request; ``emptied`` tells that the worker was then seen empty, and
    ``refused_at`` how far the log was when the transfer was refused.
    """

    number: int
    given_up: set[str] = field(default_factory=set)
    emptied: bool = False
    refused_at: int = -1


class MoveExecutor:
    """Carry out the moves of one data centre, as far as this process has the duty.

    Only acknowledgements of single processes count. One that cannot be reached blocks
    the move, never the serving, until it is proven to have ended.
    """

    def __init__(
        self,
        parts: ExecutorDependencies,
        peers: Peers | None,
        acknowledger: Acknowledger,
    ) -> None:
        self._parts = parts
        self._peers = peers
        self._acknowledger = acknowledger
        self._journal = DecisionJournal(parts.events, parts.log)
        self._progress: dict[str, _Progress] = {}
        self._numbers = count(1)

    async def async_step(self) -> None:
        """Take each move of this process's duty a step further."""
        if not self._parts.may_start():
            return
        moves = self._duties()
        self._progress = {
            move.move_id: self._progress.get(move.move_id)
            or _Progress(next(self._numbers))
            for move in moves
        }
        async with anyio.create_task_group() as group:
            for move in moves:
                group.start_soon(self._async_step_move, move)

    def _duties(self) -> list[Move]:
        state = self._parts.log.state
        return [
            move
            for move in list(state.moves.values())
            if state.instances[move.instance_id].data_centre == self._parts.data_centre
            and self._parts.membership.owns_duty(f"move:{move.move_id}")
        ]

    async def _async_step_move(self, move: Move) -> None:
        try:
            await self._async_gather(move)
            if self._missing(move):
                self._note_blocked(move)
            elif await self._async_empty(move):
                await self._async_transfer(move)
        except PlatformError as error:
            _LOGGER.warning("move_postponed", move=move.move_id, cause=error.code)

    async def _async_gather(self, move: Move) -> None:
        """Ask every entry that is not gone, and fold what they answered."""
        given_up = self._progress[move.move_id].given_up
        async with anyio.create_task_group() as group:
            for member in self._members():
                if executor_name(member) not in given_up:
                    group.start_soon(self._async_ask, move, member)
        waiting = move.expected - move.acknowledged
        entries = tuple(sorted(waiting & given_up))
        gone = tuple(sorted(name for name in waiting - given_up if self._gone(name)))
        if entries or gone:
            await self._parts.log.async_propose(
                AcknowledgeMove(move.move_id, entries, gone),
                actor=self._parts.executor,
            )

    def _members(self) -> tuple[Member, ...]:
        return self._parts.membership.members(self._parts.data_centre)

    def _gone(self, name: str) -> bool:
        entry, _, start = name.rpartition("#")
        return start.isdigit() and self._parts.membership.is_gone(entry, int(start))

    async def _async_ask(self, move: Move, member: Member) -> None:
        question = AskAcknowledgement(move.move_id, move.instance_id)
        try:
            answer = await self._async_call(member, question)
        except PeerError as error:
            _LOGGER.debug("move_ask_failed", entry=member.name, cause=error.code)
            return
        # Another process under the same name may answer; it speaks for itself alone.
        if answer is not None and answer.given_up:
            self._progress[move.move_id].given_up.add(answer.entry)

    async def _async_call(
        self, member: Member, question: AskAcknowledgement
    ) -> Acknowledgement | None:
        if member.name == self._parts.membership.own.name:
            return await self._acknowledger.async_acknowledge(question)
        if self._peers is None:
            return None
        answer: Acknowledgement = await self._peers.async_call(
            member, question, ASK_TIMEOUT_SECONDS
        )
        return answer

    def _missing(self, move: Move) -> list[str]:
        """Return who may still send work there.

        An entry that joined after the request is not named in the record, and may
        have begun from a state that knew nothing of the move.
        """
        given_up = self._progress[move.move_id].given_up
        joined = {executor_name(member) for member in self._members()} - given_up
        return sorted((move.expected - move.acknowledged) | joined)

    async def _async_empty(self, move: Move) -> bool:
        """Wait until nothing runs on the worker, then let it serve again.

        No entry chooses it while the move stands, so it stays empty until the owner
        has changed; returned before that, it is not left drained if this process dies.
        """
        progress = self._progress[move.move_id]
        power = await self._parts.power.async_get(move.instance_id)
        if power.state is PowerState.SERVING:
            if progress.emptied:
                return True
            await self._parts.power.async_drain(
                move.instance_id, self._operation(move, "drain"), move.requested
            )
            return False
        if power.state is not PowerState.DRAINED or power.running > 0:
            return False
        if not await self._parts.vacate(move.instance_id):
            return False
        progress.emptied = True
        power = await self._parts.power.async_return(
            move.instance_id, self._operation(move, "return"), move.requested
        )
        return power.state is PowerState.SERVING

    def _operation(self, move: Move, action: str) -> str:
        # Another executor may have drained and returned the instance before it died;
        # under its name the platform would take a second drain for done.
        number = self._progress[move.move_id].number
        return f"move.{move.move_id}.{self._parts.executor}.{number}.{action}"

    async def _async_transfer(self, move: Move) -> None:
        log = self._parts.log
        if not await log.async_confirm_tail(CONFIRM_TIMEOUT_SECONDS):
            return
        held = log.state.moves.get(move.instance_id)
        if held is None or held.move_id != move.move_id or not log.may_decide:
            return
        progress = self._progress[move.move_id]
        if progress.refused_at == log.next_offset:
            # Nothing was folded since the refusal, so the answer would be the same.
            return
        result = await log.async_propose(
            TransferInstance(move.move_id), actor=self._parts.executor
        )
        if isinstance(result, Failure):
            progress.refused_at = log.next_offset
            self._note(move, "move-refused", result.failure().code)
            return
        self._note(move, "instance-moved", "acknowledged-and-empty")

    def _note_blocked(self, move: Move) -> None:
        waiting = ",".join(self._missing(move))
        self._note(move, "move-waiting", "entries-not-acknowledged", waiting)

    def _note(self, move: Move, decision: str, cause: str, waiting: str = "") -> None:
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
