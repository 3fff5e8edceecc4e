"""Define the messages between entry nodes about idempotency keys."""

from __future__ import annotations

from dataclasses import dataclass

from ..entry.models import RequestRefusal
from ..entry.protocols import StoredResponse
from ..peers.protocols import peer_message


@dataclass(frozen=True, slots=True)
class KeyReply:
    """Return the result of opening an intent: ``opened`` is its sequence, or 0.

    Without an intent, an answer or a refusal, the log couldn't accept the intent;
    ``unseen`` then means that the log was read to its end and has no earlier one.
    ``unsure`` means that the log may still accept the intent.
    """

    opened: int = 0
    answer: StoredResponse | None = None
    refusal: RequestRefusal | None = None
    unseen: bool = False
    unsure: bool = False


@peer_message("intents.open", KeyReply)
@dataclass(frozen=True, slots=True)
class KeyRequest:
    """Request the data centre that owns a key to open an intent for ``home``.

    ``home`` is the incarnation that may dispatch. ``record_id`` is the same for all
    repetitions to any peer; ``repeated`` means that the log may
    contain an earlier copy.
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
    """Report whether an outcome is durable or was settled before."""

    taken: bool


@peer_message("intents.close", OutcomeReply)
@dataclass(frozen=True, slots=True)
class OutcomeReport:
    """Report the outcome of an intent to the data centre that owns its key."""

    organisation: str
    key: str
    home: str
    ran: str
    status: int
    content_type: str
    body: bytes
    opened: int
