"""Ask the owner whether it still has its authority, before the shard is claimed."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

import anyio
import msgspec

from ...helpers.policies import switchable
from ..forwarding.const import OWNER_METHOD
from ..forwarding.models import PeerReply, PeerRequest
from .const import MAX_ENTRIES_ASKED, OWNER_QUERY_TIMEOUT_SECONDS


class PeerQuerier(Protocol):
    """Send queries to other entry nodes."""

    def ranked_peers(self) -> list[tuple[str, str]]:
        """Return names and addresses of the other entry nodes, best first."""
        ...

    async def async_send_to_node(
        self, name: str, request: PeerRequest
    ) -> PeerReply | None:
        """Send a query to one entry node; return its answer or None."""
        ...


class OwnerStatus(msgspec.Struct, frozen=True, array_like=True):
    """Answer of an entry that is asked about its ownership.

    :param epoch: the epoch that it owns or claims; 0 if none.
    :param valid: whether it had its authority when it answered.
    :param age_seconds: age of its last stored renewal then, from the sending of that.
    :param starting: whether it does not know yet that its claim has won.
    """

    epoch: int = 0
    valid: bool = False
    age_seconds: float = 0.0
    starting: bool = False


async def _async_ask_nobody(query: OwnerQuery, /, node: str) -> OwnerStatus | None:
    return None


@dataclass(frozen=True, slots=True, eq=False)
class OwnerQuery:
    """Ask about an ownership, and answer about this entry's own.

    An answer only ever delays a claim: what a new owner may start never depends on it.

    :param node: this entry's name.
    :param status: returns the state of this entry's ownership.
    :param peers: None where entries can't reach each other; every query then fails.
    """

    node: str
    status: Callable[[], OwnerStatus]
    peers: PeerQuerier | None = None

    @switchable(
        "owner-queried",
        "an owner that a slow store keeps from renewing in time is not deposed",
        without=_async_ask_nobody,
    )
    async def async_ask(self, node: str) -> OwnerStatus | None:
        """Return the status of an owner, or None if no answer arrives in time.

        If it does not answer, two other entries are asked to ask it: the connection
        between two entries may be cut while the owner is sound. If they get no answer
        either, the shard is claimed: an owner that nobody reaches may be lost, and its
        next renewal in the log would restart the timeout.
        """
        if self.peers is None:
            return None
        others = [name for name, _ in self.peers.ranked_peers() if name != node]
        status = await self._async_ask_first([node], node)
        if status is None:
            status = await self._async_ask_first(others[:MAX_ENTRIES_ASKED], node)
        return status

    async def async_answer(self, request: PeerRequest) -> PeerReply:
        """Answer about this entry, or pass the query on to the entry that it names."""
        status: OwnerStatus | None = self.status()
        if request.host != self.node:
            status = await self._async_ask_one(
                request.host, request.host, request.timeout_seconds
            )
        if status is None:
            return PeerReply(404, b"")
        return PeerReply(200, msgspec.msgpack.encode(status))

    async def _async_ask_first(
        self, names: Iterable[str], node: str
    ) -> OwnerStatus | None:
        """Return the first answer of some entries, all of which are asked at once."""
        answers: list[OwnerStatus] = []
        with anyio.move_on_after(OWNER_QUERY_TIMEOUT_SECONDS):
            async with anyio.create_task_group() as tasks:

                async def async_ask(name: str) -> None:
                    status = await self._async_ask_one(
                        name, node, OWNER_QUERY_TIMEOUT_SECONDS
                    )
                    if status is not None:
                        answers.append(status)
                        tasks.cancel_scope.cancel()

                for name in names:
                    tasks.start_soon(async_ask, name)
        return answers[0] if answers else None

    async def _async_ask_one(
        self, name: str, node: str, timeout_seconds: float
    ) -> OwnerStatus | None:
        if self.peers is None:
            return None
        request = PeerRequest(OWNER_METHOD, node, "", b"", timeout_seconds)
        reply = await self.peers.async_send_to_node(name, request)
        if reply is None or reply.status != 200:
            return None
        try:
            return msgspec.msgpack.decode(reply.body, type=OwnerStatus)
        except msgspec.MsgspecError:
            # An older build answers the unknown method like a caller's request.
            return None
