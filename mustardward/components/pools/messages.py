"""Define how entries tell each other that they gave an instance up."""

from __future__ import annotations

from dataclasses import dataclass

from ..peers.protocols import peer_message


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Reply whether an entry gave an instance up, and why not yet.

    ``entry`` names the process and its start: a process started later is another one.
    """

    entry: str
    given_up: bool
    cause: str = ""


@peer_message("pools.acknowledge", Acknowledgement)
@dataclass(frozen=True, slots=True)
class AskAcknowledgement:
    """Ask an entry whether it has given an instance up for a move."""

    move_id: str
    instance_id: str
