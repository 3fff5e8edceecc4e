"""Write snapshots well before the log drops the entries that they replace."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from anyio.abc import TaskGroup

from ..exceptions import MustardwardError
from ..helpers.logging import get_logger
from ..helpers.timer import TimerService
from .log import FoldedLog
from .options import LogOptions
from .snapshots import Manifest, furthest_readable

_LOGGER = get_logger(__name__)


_MAX_MANIFESTS_CHECKED: Final = 4


@dataclass(frozen=True, slots=True)
class SnapshotConditions:
    """Hold the inputs that determine whether a snapshot is due.

    ``written_offset`` and ``written_at`` are those of the newest snapshot, if any;
    ``oldest`` is the first offset that the log retains.
    """

    next_offset: int
    oldest: int
    now: float
    written_offset: int | None = None
    written_at: float = 0.0


def snapshot_due_cause(conditions: SnapshotConditions, options: LogOptions) -> str:
    """Return the cause that makes a snapshot due, or an empty string."""
    if conditions.next_offset == 0:
        return ""
    if conditions.written_offset is None:
        return "missing"
    new_entries = conditions.next_offset - conditions.written_offset
    if new_entries >= options.snapshot_entries:
        return "entries"
    # Once the entries after the snapshot are more than half of the retained log, a slow
    # writer could finish after retention has dropped the first of them.
    if new_entries > 0 and new_entries * 2 > conditions.next_offset - conditions.oldest:
        return "retention"
    # The snapshot's own stream has limited retention too, even if nothing changes.
    if conditions.now - conditions.written_at >= options.snapshot_seconds:
        return "age"
    return ""


class SnapshotWriter:
    """Write snapshots of one log while this process is responsible for them.

    :param log: the folded log.
    :param owns_duty: returns whether to write; concurrent writers are safe.
    """

    def __init__(
        self, log: FoldedLog[Any], timers: TimerService, owns_duty: Callable[[], bool]
    ) -> None:
        self._log = log
        self._timers = timers
        self._owns_duty = owns_duty
        self._busy = False

    def subscribe(self, tasks: TaskGroup) -> Callable[[], None]:
        """Check periodically until unsubscribed; snapshots are written in a task."""

        async def check() -> None:
            tasks.start_soon(self.async_check)

        name = f"snapshot.{self._log.spec.name}"
        seconds = self._log.options.snapshot_check_seconds
        return self._timers.subscribe(name, seconds, check)

    async def async_check(self) -> None:
        """Write a snapshot if this process is responsible and one is due."""
        if self._busy or not self._owns_duty() or not self._log.may_decide:
            return
        self._busy = True
        try:
            await self._async_check()
        except MustardwardError as error:
            _LOGGER.warning(
                "snapshot_not_written",
                stream=self._log.spec.name,
                error=error.code,
                detail=error.detail,
            )
        except Exception as error:
            # An exception that escapes this task would end the whole entry process.
            _LOGGER.error(
                "snapshot_not_written",
                stream=self._log.spec.name,
                error=type(error).__name__,
                detail=str(error),
            )
        finally:
            self._busy = False

    async def _async_check(self) -> None:
        manifests = await self._log.store.async_manifests(_MAX_MANIFESTS_CHECKED)
        latest = furthest_readable(manifests, self._log.spec)
        cause = snapshot_due_cause(self._get_conditions(latest), self._log.options)
        if not cause:
            return
        manifest = await self._log.store.async_write(self._log.image())
        _LOGGER.info(
            "snapshot_written",
            stream=self._log.spec.name,
            cause=cause,
            offset=manifest.header.next_offset,
            chunks=len(manifest.chunks),
        )

    def _get_conditions(self, latest: Manifest | None) -> SnapshotConditions:
        return SnapshotConditions(
            next_offset=self._log.next_offset,
            oldest=self._log.oldest_offset,
            now=self._timers.wall(),
            written_offset=latest.header.next_offset if latest else None,
            written_at=latest.written_at if latest else 0.0,
        )
