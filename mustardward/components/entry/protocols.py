"""Define what the entry asks of limits, routing, retries, intents and workers.

Each is set up by its own component and found under a key of ``keys.py``; tests put
small fakes in their place.
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
    """Hold a place within the limits until released."""

    def release(self, latency_seconds: float, succeeded: bool) -> None:
        """Give the place back; a second call does nothing."""
        ...


class Limiter(Protocol):
    """Admit requests."""

    @property
    def in_flight(self) -> int:
        """Return the number of requests that hold a permit."""
        ...

    async def async_admit(self, facts: RequestFacts) -> Result[Permit, RequestRefusal]:
        """Wait in the organisation's queue for a place, or say why there is none."""
        ...


@dataclass(frozen=True, slots=True)
class Choice:
    """Hold the worker chosen for one attempt."""

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
        """End the in-flight count and judge the worker by the outcome."""
        ...

    def choose_remote(
        self, facts: RequestFacts, exclude: frozenset[str] = frozenset()
    ) -> RemoteChoice | None:
        """Choose an entry of another data centre, if that helps before the deadline.

        Asked after the limiter or :meth:`choose` refused with a code of
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
    """Say whether to try again, after which pause (seconds)."""

    should_retry: bool
    delay_seconds: float = 0.0
    cause: str = ""


class RetryPolicy(Protocol):
    """Decide on further attempts."""

    def decide(
        self, facts: RequestFacts, attempts: tuple[Attempt, ...], now: float
    ) -> RetryDecision:
        """Decide after the last attempt in ``attempts``."""
        ...

    def record_first(self, facts: RequestFacts) -> None:
        """Note that a request made its first attempt."""
        ...

    def hedge_after(self, facts: RequestFacts) -> float | None:
        """Return the seconds after which a second attempt may run beside the first.

        Nothing unless the request is urgent and idempotent.
        """
        ...

    def take_hedge(self, facts: RequestFacts, now: float) -> bool:
        """Take a hedged attempt out of the budget; tell whether it may be made."""
        ...


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """Hold the answer kept under an idempotency key."""

    status: int
    content_type: str
    body: bytes


class IdempotencyGuard(Protocol):
    """Make sure that a request under an idempotency key runs at most once."""

    def reportable_ran(self, facts: RequestFacts, ran: Ran) -> Ran:
        """Return what a refusal may say, with earlier attempts under the key in mind.

        A keyed request that is refused before ``async_open`` may have run before.
        """
        ...

    async def async_open(
        self, facts: RequestFacts
    ) -> Result[StoredResponse | None, RequestRefusal]:
        """Return nothing if this process may dispatch, or the stored answer."""
        ...

    async def async_close(
        self, facts: RequestFacts, ran: str, answer: StoredResponse | None
    ) -> None:
        """Make the outcome durable; ``ran`` ``no`` lets a later try dispatch."""
        ...


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """Hold a request as it goes to a worker; ``body`` is ``None`` once streamed."""

    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes | AsyncIterator[bytes]


@dataclass(slots=True, eq=False)
class WorkerResponse:
    """Hold the beginning of a worker's answer and the stream of its body.

    ``chunks`` raises :class:`TruncatedAnswerError` when the worker ends too early.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    chunks: AsyncIterator[bytes]


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """Say how an attempt without an answer ended."""

    outcome: AttemptOutcome
    cause: str


class WorkerDispatcher(Protocol):
    """Send one attempt to one worker."""

    async def async_send(
        self, choice: Choice, facts: RequestFacts, request: OutgoingRequest
    ) -> Result[WorkerResponse, FailedAttempt]:
        """Send and return when the answer's head is there."""
        ...
