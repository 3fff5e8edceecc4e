"""Keep a replica up to date from the log, a snapshot or a peer."""

from __future__ import annotations

from random import Random
from typing import Generic, TypeVar

from ..exceptions import (
    LogGapError,
    OffsetExpiredError,
    PlatformError,
    SnapshotUnusableError,
)
from ..helpers.backoff import Backoff
from ..helpers.logging import get_logger
from ..helpers.timer import TimerService
from ..standin.protocol.protocols import LogService
from .continuity import Continuity, LogRewrittenError
from .options import LogOptions
from .relay import (
    RelayRequest,
    RelayRequestKind,
    RelayResponse,
    RelaySource,
    RelayStatus,
)
from .replica import Replica
from .snapshots import SnapshotStore
from .streams import StreamSpec
from .tail import TailTracker

_LOGGER = get_logger(__name__)

S = TypeVar("S")


class Follower(Generic[S]):
    """Follow one stream of the log.

    :param replica: the state to keep up to date.
    :param store: snapshots to start and recover from.
    :param options: intervals and limits.
    :param random: source of jitter.
    """

    def __init__(
        self,
        replica: Replica[S],
        tail: TailTracker,
        service: LogService,
        store: SnapshotStore[S],
        spec: StreamSpec[S],
        timers: TimerService,
        options: LogOptions,
        random: Random,
    ) -> None:
        self._replica = replica
        self._tail = tail
        self._service = service
        self._store = store
        self._spec = spec
        self._timers = timers
        self._options = options
        self._random = random
        self._continuity = Continuity(replica, service, spec.name)
        self._relay: RelaySource | None = None
        self._ready = False
        self._has_gap = False
        self._started = False
        self._log_failed = False
        self._last_failure = ""
        self._oldest = 0
        self._requested_offset = -1

    @property
    def oldest(self) -> int:
        """Return the oldest offset that the log retained at the last read."""
        return self._oldest

    @property
    def ready(self) -> bool:
        """Return whether the state has reached the tail once or came from a peer."""
        return self._ready

    @property
    def has_gap(self) -> bool:
        """Return whether entries are missing between the state and the log."""
        return self._has_gap

    @property
    def log_failed(self) -> bool:
        """Return whether the last read of the log failed."""
        return self._log_failed

    def set_relay(self, relay: RelaySource | None) -> None:
        """Set the peers to query while the log is unreachable or silent."""
        self._relay = relay

    async def async_follow(self) -> None:
        """Read the log until cancelled."""
        backoff = self._options.backoff(self._random)
        while True:
            try:
                await self._async_read(self._wait_seconds())
            except OffsetExpiredError as error:
                await self._async_recover(f"expired {error.detail}")
                await self._async_pause(backoff)
            except LogRewrittenError as error:
                # A snapshot of the rewritten log would undo records accepted here.
                self._has_gap = True
                self._log_recovery_failure(error.code, error.detail)
                await self._async_pause(backoff)
            except LogGapError as error:
                await self._async_recover(f"gap {error.detail}")
                await self._async_pause(backoff)
            except PlatformError as error:
                self._update_log_health(error)
                await self._async_pause(backoff)
            else:
                self._update_log_health(None)
                backoff.reset()

    async def async_serve_confirmations(self) -> None:
        """Read immediately, besides the long poll, when confirmation is requested."""
        backoff = self._options.backoff(self._random)
        while True:
            await self._tail.async_wait_for_request()
            while self._tail.has_requests:
                await self._async_read_for_request(backoff)

    async def _async_read_for_request(self, backoff: Backoff) -> None:
        if not self._started:
            await self._async_pause(backoff)
            return
        try:
            await self._async_read(0.0)
        except (LogGapError, PlatformError):
            await self._async_pause(backoff)
        else:
            backoff.reset()

    async def async_relay(self) -> None:
        """Query peers while the log is unreachable or its tail unconfirmed for long."""
        started_at = self._timers.monotonic()
        while True:
            await self._timers.async_sleep(self._relay_wait_seconds())
            waited_seconds = self._timers.monotonic() - started_at
            silent_seconds = min(self._tail.age_seconds, waited_seconds)
            if silent_seconds > self._options.relay_after_seconds or self._log_failed:
                await self._async_query_peers()

    def _relay_wait_seconds(self) -> float:
        # During an outage of the whole log all entry nodes query each other without any
        # new entries, so the interval is longer.
        seconds = self._options.relay_interval_seconds
        if self._ready and self._replica.fold.next_offset == self._requested_offset:
            seconds = self._options.relay_idle_seconds
        return seconds * (0.75 + 0.5 * self._random.random())

    def _wait_seconds(self) -> float:
        # After a start, a pause or an outage the tail has to be confirmed immediately;
        # a long poll of an idle log would delay that.
        tail_confirmed = self._tail.was_confirmed and self._tail.sufficient
        log_readable = not self._has_gap and not self._log_failed
        return self._options.poll_seconds if tail_confirmed and log_readable else 0.0

    async def _async_read(self, wait_seconds: float) -> None:
        if not self._started:
            await self._async_start()
        offset = self._replica.fold.next_offset
        await self._continuity.async_check(offset)
        read_start = self._tail.begin_read()
        page = await self._service.async_read(
            self._spec.name, offset, self._options.page_entries, wait_seconds
        )
        self._continuity.check_page(page, offset)
        self._oldest = page.oldest
        await self._replica.async_apply_page(read_start, page)
        self._has_gap = False
        if not self._ready and self._tail.was_confirmed:
            self._become_ready("log")

    async def _async_start(self) -> None:
        # A snapshot avoids replaying the whole log. Without one, the replay starts at
        # the first offset, if it is still retained, and never at a later one.
        try:
            image = await self._store.async_load(self._replica.fold.next_offset)
            self._replica.adopt(image)
        except SnapshotUnusableError as error:
            _LOGGER.info(
                "start_without_snapshot", stream=self._spec.name, detail=error.detail
            )
        else:
            self._log_adoption("start", "snapshot")
        self._started = True

    async def _async_recover(self, cause: str) -> None:
        self._has_gap = True
        least_offset = self._replica.fold.next_offset + 1
        try:
            self._replica.adopt(await self._store.async_load(least_offset))
        except (SnapshotUnusableError, PlatformError) as error:
            self._log_recovery_failure(cause, error.detail)
            await self._async_adopt_peer_image()
        else:
            self._log_adoption(cause, "snapshot")

    async def _async_query_peers(self) -> None:
        if self._relay is None:
            return
        if not self._ready:
            await self._async_adopt_peer_image()
            return
        fold = self._replica.fold
        requested_at = self._timers.monotonic()
        self._requested_offset = fold.next_offset
        request = RelayRequest(self._spec.name, fold.next_offset, fold.digest)
        response = await self._relay.async_entries(request)
        if response.status is RelayStatus.IMAGE_NEEDED:
            await self._async_adopt_peer_image()
        elif response.status is RelayStatus.DIVERGED:
            _LOGGER.error(
                "peer_diverged", stream=self._spec.name, offset=fold.next_offset
            )
        elif response.status is RelayStatus.ENTRIES:
            await self._async_apply_peer_entries(response, requested_at)

    async def _async_apply_peer_entries(
        self, response: RelayResponse, requested_at: float
    ) -> None:
        try:
            await self._replica.async_apply_relayed(response)
        except LogGapError as error:
            self._log_recovery_failure("relay", error.detail)
            return
        if self._replica.fold.next_offset >= response.next_offset:
            self._tail.record_peer(requested_at, response.tail_age_seconds)

    async def _async_adopt_peer_image(self) -> None:
        if self._relay is None:
            return
        fold = self._replica.fold
        request = RelayRequest(
            self._spec.name, fold.next_offset, fold.digest, RelayRequestKind.IMAGE
        )
        requested_at = self._timers.monotonic()
        response = await self._relay.async_image(request)
        if response.image is None:
            self._handle_peers_behind(response)
            return
        try:
            self._replica.adopt(response.image)
        except SnapshotUnusableError as error:
            self._log_recovery_failure("relay", error.detail)
            return
        self._started = True
        self._log_adoption("relay", "peer")
        self._tail.record_peer(requested_at, response.tail_age_seconds)
        if not self._ready:
            self._become_ready("peer")

    def _handle_peers_behind(self, response: RelayResponse) -> None:
        # A snapshot may be newer than the state of every peer; adopting an older state
        # would revert the configuration.
        reached_offset = self._replica.fold.next_offset
        if (
            response.status is RelayStatus.BEHIND
            and reached_offset > 0
            and not self._ready
        ):
            self._become_ready("snapshot")

    def _become_ready(self, source: str) -> None:
        self._ready = True
        _LOGGER.info(
            "state_ready",
            stream=self._spec.name,
            source=source,
            offset=self._replica.fold.next_offset,
        )

    def _log_adoption(self, cause: str, source: str) -> None:
        self._last_failure = ""
        _LOGGER.info(
            "state_adopted",
            stream=self._spec.name,
            cause=cause,
            source=source,
            offset=self._replica.fold.next_offset,
        )

    def _log_recovery_failure(self, cause: str, detail: str) -> None:
        # Recovery is retried continuously, so only a changed reason is logged.
        failure = f"{cause} {detail}"
        if failure == self._last_failure:
            return
        self._last_failure = failure
        _LOGGER.error(
            "recovery_failed", stream=self._spec.name, cause=cause, detail=detail
        )

    def _update_log_health(self, error: PlatformError | None) -> None:
        failed = error is not None
        if failed != self._log_failed:
            event = "log_out" if failed else "log_back"
            code = error.code if error is not None else "-"
            _LOGGER.warning(event, stream=self._spec.name, error=code)
        self._log_failed = failed

    async def _async_pause(self, backoff: Backoff) -> None:
        await self._timers.async_sleep(backoff.next_seconds())
