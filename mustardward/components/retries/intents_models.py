"""Model what entries say to each other about idempotency keys."""

from __future__ import annotations

from dataclasses import dataclass

from ..entry.models import RequestRefusal
from ..entry.protocols import StoredResponse
from ..peers.protocols import peer_message


@dataclass(frozen=True, slots=True)
class KeyReply:
    """Say what a key allows: ``opened`` is the intent's sequence, or 0.

    With neither an intent, an answer nor a refusal, the log could not take the intent;
    ``unseen`` then says that its tail was read and holds no earlier one.
    """

    opened: int = 0
    answer: StoredResponse | None = None
    refusal: RequestRefusal | None = None
    unseen: bool = False
    unsure: bool = False


@peer_message("intents.open", KeyReply)
@dataclass(frozen=True, slots=True)
class KeyRequest:
    """Ask the data centre that keeps a key to open an intent for ``home``.

    ``record_id`` stays the same over repetitions, whoever is asked; ``repeated`` says
    that an earlier copy may stand in the log.
    """

    organisation: str
    key: str
    request_digest: str
    home: str
    record_id: str
    remaining_seconds: float
    repeated: bool = False


@dataclass(frozen=True, slots=True)
class OutcomeReply:
    """Say that an outcome is durable, or was settled before."""

    taken: bool


@peer_message("intents.close", OutcomeReply)
@dataclass(frozen=True, slots=True)
class OutcomeReport:
    """Tell the data centre that keeps a key what became of an intent."""

    organisation: str
    key: str
    home: str
    ran: str
    status: int
    content_type: str
    body: bytes
    opened: int
