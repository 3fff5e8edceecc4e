"""Define the messages by which entries acknowledge a move."""

from __future__ import annotations

from dataclasses import dataclass

from ..peers.protocols import peer_message


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Reply whether an entry has stopped using an instance, and if not, why.

    ``entry`` names the process and its start time, so that a process restarted under
    the same name counts as another one.
    """

    entry: str
    given_up: bool
    cause: str = ""


@peer_message("pools.acknowledge", Acknowledgement)
@dataclass(frozen=True, slots=True)
class AcknowledgementRequest:
    """Ask an entry whether it has stopped using an instance that is being moved."""

    move_id: str
    instance_id: str
