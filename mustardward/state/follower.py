"""Keep a replica at the tail: from the log, a snapshot, or a peer."""

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
    """Read one stream for ever.

    :param replica: what is kept at the tail.
    :param store: snapshots to start from and to recover by.
    :param options: waits and sizes.
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
        self._lost = False
        self._started = False
        self._log_failed = False
        self._last_refusal = ""
        self._oldest = 0
        self._asked_offset = -1

    @property
    def oldest(self) -> int:
        """Return the oldest offset that the log kept at the last read."""
        return self._oldest

    @property
    def ready(self) -> bool:
        """Tell whether the state once stood at a tail, or came from a peer."""
        return self._ready

    @property
    def lost(self) -> bool:
        """Tell whether entries are missing between the state and the log."""
        return self._lost

    @property
    def log_failed(self) -> bool:
        """Tell whether the last read of the log failed."""
        return self._log_failed

    def set_relay(self, relay: RelaySource | None) -> None:
        """Ask peers through ``relay`` from now on."""
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
                # A snapshot of the other history would undo what was accepted here.
                self._lost = True
                self._note_refusal(error.code, error.detail)
                await self._async_pause(backoff)
            except LogGapError as error:
                await self._async_recover(f"gap {error.detail}")
                await self._async_pause(backoff)
            except PlatformError as error:
                self._note_log(error)
                await self._async_pause(backoff)
            else:
                self._note_log(None)
                backoff.reset()

    async def async_answer_questions(self) -> None:
        """Read at once, beside a waiting read, whenever the tail is asked for."""
        backoff = self._options.backoff(self._random)
        while True:
            await self._tail.async_wait_for_question()
            while self._tail.has_questions:
                await self._async_read_for_question(backoff)

    async def _async_read_for_question(self, backoff: Backoff) -> None:
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
        """Ask peers whenever the log has been silent for long."""
        began = self._timers.monotonic()
        while True:
            await self._timers.async_sleep(self._relay_wait_seconds())
            waited = self._timers.monotonic() - began
            silent = min(self._tail.age_seconds, waited)
            if silent > self._options.relay_after_seconds or self._log_failed:
                await self._async_ask_peers()

    def _relay_wait_seconds(self) -> float:
        # With the whole log out every entry asks all the time, and nobody has news.
        seconds = self._options.relay_interval_seconds
        if self._ready and self._replica.fold.next_offset == self._asked_offset:
            seconds = self._options.relay_idle_seconds
        return seconds * (0.75 + 0.5 * self._random.random())

    def _wait_seconds(self) -> float:
        # At the start, after a pause and after an outage the tail is wanted at once; a
        # long poll at an idle log would hold it back.
        fresh = self._tail.confirmed_once and self._tail.sufficient
        whole = not self._lost and not self._log_failed
        return self._options.poll_seconds if fresh and whole else 0.0

    async def _async_read(self, wait_seconds: float) -> None:
        if not self._started:
            await self._async_start()
        offset = self._replica.fold.next_offset
        await self._continuity.async_check(offset)
        ticket = self._tail.begin_read()
        page = await self._service.async_read(
            self._spec.name, offset, self._options.page_entries, wait_seconds
        )
        self._continuity.check_page(page, offset)
        self._oldest = page.oldest
        await self._replica.async_apply_page(ticket, page)
        self._lost = False
        if not self._ready and self._tail.confirmed_once:
            self._become_ready("log")

    async def _async_start(self) -> None:
        # A snapshot spares reading all that the log keeps. Without one, the log's
        # first offset does, if it is still kept; never its latest.
        try:
            image = await self._store.async_load(self._replica.fold.next_offset)
            self._replica.adopt(image)
        except SnapshotUnusableError as error:
            _LOGGER.info(
                "start_without_snapshot", stream=self._spec.name, detail=error.detail
            )
        else:
            self._note_jump("start", "snapshot")
        self._started = True

    async def _async_recover(self, cause: str) -> None:
        self._lost = True
        least = self._replica.fold.next_offset + 1
        try:
            self._replica.adopt(await self._store.async_load(least))
        except (SnapshotUnusableError, PlatformError) as error:
            self._note_refusal(cause, error.detail)
            await self._async_take_image()
        else:
            self._note_jump(cause, "snapshot")

    async def _async_ask_peers(self) -> None:
        if self._relay is None:
            return
        if not self._ready:
            await self._async_take_image()
            return
        fold = self._replica.fold
        asked_at = self._timers.monotonic()
        self._asked_offset = fold.next_offset
        question = RelayRequest(self._spec.name, fold.next_offset, fold.digest)
        answer = await self._relay.async_entries(question)
        if answer.status is RelayStatus.IMAGE_NEEDED:
            await self._async_take_image()
        elif answer.status is RelayStatus.DIVERGED:
            _LOGGER.error(
                "peer_diverged", stream=self._spec.name, offset=fold.next_offset
            )
        elif answer.status is RelayStatus.ENTRIES:
            await self._async_take_entries(answer, asked_at)

    async def _async_take_entries(self, answer: RelayResponse, asked_at: float) -> None:
        try:
            await self._replica.async_apply_relayed(answer)
        except LogGapError as error:
            self._note_refusal("relay", error.detail)
            return
        if self._replica.fold.next_offset >= answer.next_offset:
            self._tail.record_peer(asked_at, answer.tail_age_seconds)

    async def _async_take_image(self) -> None:
        if self._relay is None:
            return
        fold = self._replica.fold
        question = RelayRequest(
            self._spec.name, fold.next_offset, fold.digest, RelayRequestKind.IMAGE
        )
        asked_at = self._timers.monotonic()
        answer = await self._relay.async_image(question)
        if answer.image is None:
            self._note_peers_behind(answer)
            return
        try:
            self._replica.adopt(answer.image)
        except SnapshotUnusableError as error:
            self._note_refusal("relay", error.detail)
            return
        self._started = True
        self._note_jump("relay", "peer")
        self._tail.record_peer(asked_at, answer.tail_age_seconds)
        if not self._ready:
            self._become_ready("peer")

    def _note_peers_behind(self, answer: RelayResponse) -> None:
        # A snapshot may reach further than any peer; serving from an older state than
        # one's own would be a step back.
        held = self._replica.fold.next_offset
        if answer.status is RelayStatus.BEHIND and held > 0 and not self._ready:
            self._become_ready("snapshot")

    def _become_ready(self, source: str) -> None:
        self._ready = True
        _LOGGER.info(
            "state_ready",
            stream=self._spec.name,
            source=source,
            offset=self._replica.fold.next_offset,
        )

    def _note_jump(self, cause: str, source: str) -> None:
        self._last_refusal = ""
        _LOGGER.info(
            "state_adopted",
            stream=self._spec.name,
            cause=cause,
            source=source,
            offset=self._replica.fold.next_offset,
        )

    def _note_refusal(self, cause: str, detail: str) -> None:
        # Tried again and again; one line for each new reason is enough.
        refusal = f"{cause} {detail}"
        if refusal == self._last_refusal:
            return
        self._last_refusal = refusal
        _LOGGER.error(
            "recovery_failed", stream=self._spec.name, cause=cause, detail=detail
        )

    def _note_log(self, error: PlatformError | None) -> None:
        failed = error is not None
        if failed != self._log_failed:
            event = "log_out" if failed else "log_back"
            code = error.code if error is not None else "-"
            _LOGGER.warning(event, stream=self._spec.name, error=code)
        self._log_failed = failed

    async def _async_pause(self, backoff: Backoff) -> None:
        await self._timers.async_sleep(backoff.next_seconds())
