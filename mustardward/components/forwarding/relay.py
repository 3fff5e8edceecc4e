"""Call the store through a peer while the store fails for this entry node alone.

Without this, an owner that alone is refused by the store or partitioned from it misses
its renewals. Another entry node takes over 1.3 s later and has to query all workers, so
that jobs that complete meanwhile are late. An append keeps its producer's sequence
number on either path, so that the log stores it once.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
import msgspec

from ...helpers.http_connection import HttpResponse
from ...helpers.instruments import RELAYED_CALLS
from ...helpers.logging import get_logger
from ...helpers.policies import switchable
from ...helpers.timer import TimerService
from ...platform.exceptions import CallRefusedError, CallUnknownError
from ...platform.http import HttpCaller
from ..ledger.store_latency import StoreLatency
from .const import (
    EXTENSION_POLL_SECONDS,
    MAX_EXTENSION_SECONDS,
    MAX_RELAYED_CALLS,
    PROBE_INTERVAL_SECONDS,
    RELAY_METHOD,
    RELAY_PAUSE_SECONDS,
    RELAY_TIMEOUT_SECONDS,
)
from .models import PeerReply, PeerRequest, RelayedCall
from .services import Forwarder

_LOGGER = get_logger(__name__)

_UNAVAILABLE_STATUSES = (429, 500, 502, 503)
_FAILURES = (CallRefusedError, CallUnknownError)


RelayResult = tuple[HttpResponse | None, bool]


async def _async_never_relay(relay: StoreRelay, /, call: RelayedCall) -> RelayResult:
    return None, False


@dataclass(slots=True, eq=False)
class StoreRelay:
    """Make calls to the store, directly or through a peer.

    Replaces the plain HTTP caller in the store's client.

    :param base: base URL of the store.
    :param peers_http: makes calls on behalf of peers, on separate connections, so that
        this node's appends do not wait behind the peers' long polls.
    :param async_probe: returns whether the store answers directly.
    :param latency: the store's latency, by which the timeouts of calls are extended.
    """

    http: HttpCaller
    peers_http: HttpCaller
    base: str
    forwarder: Forwarder
    timers: TimerService
    async_probe: Callable[[], Awaitable[bool]]
    latency: StoreLatency = field(default_factory=StoreLatency)
    _relaying: bool = False
    _peers_retry_at: float = 0.0
    _peer_calls_in_flight: int = 0

    @property
    def relaying(self) -> bool:
        """Return whether calls currently go through peers."""
        return self._relaying

    async def async_call(
        self,
        method: str,
        url: str,
        *,
        timeout_seconds: float,
        body: bytes | None = None,
        params: dict[str, str] | None = None,
        headers: dict[str, str] | None = None,
        read_timeout_seconds: float | None = None,
    ) -> HttpResponse:
        """Make one call.

        :raises CallRefusedError: if it was certainly not sent.
        :raises CallUnknownError: if it was sent and its answer was lost.
        """
        path = url.removeprefix(self.base)
        call = RelayedCall(
            method, path, params or {}, body, timeout_seconds, read_timeout_seconds
        )
        may_have_effect = False
        if self._relaying:
            answer, may_have_effect = await self._async_relay(call)
            if answer is not None:
                return answer
            self._set_relaying(False)
        answer, error = await self._async_try(self.http, call)
        if answer is not None and answer.status not in _UNAVAILABLE_STATUSES:
            return answer
        if self._should_relay():
            relayed, relayed_effect = await self._async_relay(call)
            if relayed is not None:
                self._set_relaying(True)
                return relayed
            may_have_effect = may_have_effect or relayed_effect
            # The store is down for all nodes: do not ask peers with each retry.
            self._peers_retry_at = self.timers.monotonic() + RELAY_PAUSE_SECONDS
        if may_have_effect:
            raise CallUnknownError("no answer to the relayed call")
        if answer is None:
            raise error or CallUnknownError("no answer")
        return answer

    def _should_relay(self) -> bool:
        """Return whether peers should be asked; a slow store is as slow for them."""
        now = self.timers.monotonic()
        return now >= self._peers_retry_at and not self.latency.is_slow(now)

    async def async_answer_peer(self, request: PeerRequest) -> PeerReply:
        """Make a peer's call directly; refuse it if this node relays itself."""
        if self._relaying or self._peer_calls_in_flight >= MAX_RELAYED_CALLS:
            return PeerReply(503, b"", confirmed=False)
        call = msgspec.msgpack.decode(request.body, type=RelayedCall)
        self._peer_calls_in_flight += 1
        try:
            answer, error = await self._async_try(self.peers_http, call)
        finally:
            self._peer_calls_in_flight -= 1
        if answer is None:
            # The peer must not treat an append that may be stored as not stored.
            unknown = isinstance(error, CallUnknownError) and not call.is_read
            return PeerReply(504 if unknown else 503, b"", confirmed=False)
        confirmed = answer.status not in _UNAVAILABLE_STATUSES
        return PeerReply(answer.status, answer.body, confirmed=confirmed)

    async def async_run(self) -> None:
        """Return to direct calls once the store is reachable again."""
        while True:
            await self.timers.async_sleep(PROBE_INTERVAL_SECONDS)
            if self._relaying and await self.async_probe():
                self._set_relaying(False)

    def _set_relaying(self, relaying: bool) -> None:
        if relaying != self._relaying:
            self._relaying = relaying
            _LOGGER.warning("store_relayed" if relaying else "store_direct")

    async def _async_try(
        self, http: HttpCaller, call: RelayedCall
    ) -> tuple[HttpResponse | None, CallRefusedError | CallUnknownError | None]:
        try:
            if call.is_read:
                late_by = self._read_extension()
                return await self._async_call_direct(http, call, late_by), None
            return await self._async_append_direct(http, call), None
        except _FAILURES as error:
            return None, error

    async def _async_call_direct(
        self, http: HttpCaller, call: RelayedCall, extension_seconds: float
    ) -> HttpResponse:
        silence_seconds = call.silence_seconds
        if silence_seconds is not None:
            silence_seconds += extension_seconds
        return await http.async_call(
            call.method,
            self.base + call.path,
            body=call.body,
            params=call.params,
            timeout_seconds=call.timeout_seconds + extension_seconds,
            read_timeout_seconds=silence_seconds,
        )

    async def _async_append_direct(
        self, http: HttpCaller, call: RelayedCall
    ) -> HttpResponse:
        """Make an append; extend its timeout if the store turns out to be slow.

        The store is often found to be slow only after the append was sent. If the
        timeout was fixed then, all entry nodes would repeat their appends at once.

        :raises CallRefusedError: if it was certainly not sent.
        :raises CallUnknownError: if it was sent and its answer was lost.
        """
        answers: list[HttpResponse] = []
        errors: list[CallRefusedError | CallUnknownError] = []
        sent_at = self.timers.monotonic()
        async with anyio.create_task_group() as tasks:

            async def async_call() -> None:
                try:
                    answers.append(
                        await self._async_call_direct(http, call, MAX_EXTENSION_SECONDS)
                    )
                except _FAILURES as error:
                    errors.append(error)
                tasks.cancel_scope.cancel()

            async def async_limit() -> None:
                await self.timers.async_sleep(call.timeout_seconds)
                while self._may_be_late(sent_at):
                    await self.timers.async_sleep(EXTENSION_POLL_SECONDS)
                tasks.cancel_scope.cancel()

            tasks.start_soon(async_call)
            tasks.start_soon(async_limit)
        if answers:
            return answers[0]
        raise errors[0] if errors else CallUnknownError("no answer in time")

    def _read_extension(self) -> float:
        """Return how much later than usual a read may be answered, in seconds."""
        seconds = self.latency.read_extension_seconds(self.timers.monotonic())
        return min(MAX_EXTENSION_SECONDS, seconds)

    def _may_be_late(self, sent_at: float) -> bool:
        """Return whether the response to an append may still arrive."""
        now = self.timers.monotonic()
        if not self.latency.is_slow(now):
            return self.latency.may_be_slow(now)
        overdue_seconds = self.latency.overdue_seconds(now)
        return now - sent_at < min(MAX_EXTENSION_SECONDS, overdue_seconds)

    @switchable(
        "store-relay",
        "an entry that can't reach the store calls it through a peer",
        without=_async_never_relay,
    )
    async def _async_relay(self, call: RelayedCall) -> RelayResult:
        """Return a peer's answer or None, and whether the call may have an effect."""
        timeout_seconds = RELAY_TIMEOUT_SECONDS + self._read_extension()
        if call.is_read:
            timeout_seconds += call.silence_seconds or 0.0
        request = PeerRequest(
            RELAY_METHOD, "", "", msgspec.msgpack.encode(call), timeout_seconds
        )
        outcome = await self.forwarder.async_forward(request, timeout_seconds)
        RELAYED_CALLS.labels(str(outcome.reply is not None).lower()).inc()
        if outcome.reply is None:
            return None, outcome.may_have_effect and not call.is_read
        return HttpResponse(outcome.reply.status, outcome.reply.body), False
