"""Define the interfaces to limits, routing, retries, idempotency and workers.

Each is implemented by its own component and published under a key of ``keys.py``; tests
use fakes.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from ...state.models.pools import Instance
from ..routing.models import RemoteChoice
from .models import Attempt, AttemptOutcome, Ran, RequestFacts, RequestRefusal


class Permit(Protocol):
    """A permit within the limits, held until released."""

    def release(self, latency_seconds: float, succeeded: bool) -> None:
        """Release the permit; a second call does nothing."""
        ...


class Limiter(Protocol):
    """Admit requests."""

    @property
    def in_flight(self) -> int:
        """Return the number of requests holding a permit."""
        ...

    async def async_admit(self, facts: RequestFacts) -> Result[Permit, RequestRefusal]:
        """Wait in the organisation's queue for a permit, or return a refusal."""
        ...


@dataclass(frozen=True, slots=True)
class Choice:
    """The worker chosen for one attempt."""

    instance: Instance
    attempt_id: str
    probation: bool = False


class Router(Protocol):
    """Choose workers."""

    def choose(
        self, facts: RequestFacts, exclude: frozenset[str]
    ) -> Result[Choice, RequestRefusal]:
        """Choose a worker and count the attempt as in flight there."""
        ...

    def finish(self, choice: Choice, facts: RequestFacts, attempt: Attempt) -> None:
        """End the in-flight count and record the outcome for the worker's health."""
        ...

    def choose_remote(
        self, facts: RequestFacts, exclude: frozenset[str] = frozenset()
    ) -> RemoteChoice | None:
        """Choose an entry of another data centre that can respond by the deadline.

        Called after the limiter or :meth:`choose` refused with a code of
        ``routing.models.FORWARDABLE_REFUSAL_CODES``; ``exclude`` names the entries
        already tried.
        """
        ...

    def slots(self, pool: str) -> int:
        """Return the slots for requests of a pool's workers in this data centre."""
        ...

    def job_slots(self, pool: str) -> int:
        """Return the slots that jobs hold on a pool's workers here."""
        ...


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """Whether to retry, and after which delay."""

    should_retry: bool
    delay_seconds: float = 0.0
    cause: str = ""


class RetryPolicy(Protocol):
    """Decide on further attempts."""

    def decide(
        self, facts: RequestFacts, attempts: tuple[Attempt, ...], now: float
    ) -> RetryDecision:
        """Decide whether to retry after the last attempt in ``attempts``."""
        ...

    def record_first(self, facts: RequestFacts) -> None:
        """Record the first attempt of a request for the retry budget."""
        ...

    def hedge_after(self, facts: RequestFacts) -> float | None:
        """Return the delay in seconds after which to hedge.

        ``None`` unless the request is urgent and idempotent.
        """
        ...

    def take_hedge(self, facts: RequestFacts, now: float) -> bool:
        """Charge a hedged attempt to the budget; return whether it is allowed."""
        ...


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """A response stored under an idempotency key."""

    status: int
    content_type: str
    body: bytes


class IdempotencyGuard(Protocol):
    """Ensure that a request with an idempotency key runs at most once."""

    def reportable_ran(self, facts: RequestFacts, ran: Ran) -> Ran:
        """Return the ``ran`` value that a refusal may report for a keyed request.

        Earlier requests with the key count: a request that is refused before
        ``async_open`` may have run before.
        """
        ...

    async def async_open(
        self, facts: RequestFacts
    ) -> Result[StoredResponse | None, RequestRefusal]:
        """Return ``None`` if this process may dispatch, else the stored response."""
        ...

    async def async_close(
        self, facts: RequestFacts, ran: str, answer: StoredResponse | None
    ) -> None:
        """Make the outcome durable; ``ran`` ``no`` lets a later request dispatch."""
        ...


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request as it is sent to a worker, its body buffered or streamed."""

    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes | AsyncIterator[bytes]


@dataclass(slots=True, eq=False)
class WorkerResponse:
    """The head of a worker's response and the stream of its body.

    ``chunks`` raises :class:`TruncatedAnswerError` if the response is truncated.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    chunks: AsyncIterator[bytes]


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """The outcome of an attempt without a response."""

    outcome: AttemptOutcome
    cause: str


class WorkerDispatcher(Protocol):
    """Send attempts to workers."""

    async def async_send(
        self, choice: Choice, facts: RequestFacts, request: OutgoingRequest
    ) -> Result[WorkerResponse, FailedAttempt]:
        """Send the attempt and return once the response head is received."""
        ...
