"""Set up the fleet log and the work log of this data centre."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final

from ...core import COMPONENTS, ComponentDescription, Core, Unload
from ..keys import FLEET_LOG, LOG_SERVICE, MEMBERSHIP, PEERS, WORK_LOG

if TYPE_CHECKING:
    from ...state.fleet import FleetState
    from ...state.log import FoldedLog

DIVERGENCE_CHECK_INTERVAL_SECONDS: Final = 5.0


async def async_setup(core: Core) -> Unload:
    """Start to follow the logs; they become ready in the background."""
    from ...state.log import FoldedLog
    from ...state.streams import FLEET_SPEC, work_spec

    options = _build_options(core)
    service = core.get(LOG_SERVICE)
    fleet = FoldedLog(FLEET_SPEC, service, core.timers, options)
    core.put(FLEET_LOG, fleet)
    logs: list[FoldedLog[Any]] = [fleet]
    if follows_work_log(core):
        spec = work_spec(core.settings.entry.data_centre)
        work = FoldedLog(spec, service, core.timers, options)
        core.put(WORK_LOG, work)
        logs.append(work)
    undo = [_start_log(core, log) for log in logs]
    undo.append(_serve_relay(core, logs))
    undo.append(_start_divergence_check(core, fleet))

    async def async_unload() -> None:
        core.remove(FLEET_LOG)
        core.remove(WORK_LOG)
        for stop in reversed(undo):
            stop()

    return async_unload


def follows_work_log(core: Core) -> bool:
    """Return whether this entry follows the work log of its data centre.

    Every entry does, and so can own keys and jobs. Users of ``WORK_LOG`` handle its
    absence by calling an entry that follows the work log.
    """
    return True


def _build_options(core: Core) -> Any:
    from ...state.options import LogOptions

    platform = core.settings.platform
    return LogOptions(
        poll_seconds=platform.poll_seconds,
        append_interval_seconds=platform.append_interval_seconds,
        relay_after_seconds=platform.poll_seconds + 1.0,
    )


def _start_log(core: Core, log: FoldedLog[Any]) -> Callable[[], None]:
    from random import Random

    from ...state.snapshot_writer import SnapshotWriter
    from .relay import PeerRelay

    log.set_relay(PeerRelay(core, Random()))
    writer = SnapshotWriter(
        log, core.timers, lambda: _owns_snapshot_duty(core, log.spec.name)
    )
    unsubscribe = writer.subscribe(core.tasks)
    core.tasks.start_soon(log.async_run)

    def stop() -> None:
        unsubscribe()
        log.stop()

    return stop


def _serve_relay(core: Core, logs: list[FoldedLog[Any]]) -> Callable[[], None]:
    from .relay import RelayServer

    return RelayServer(logs).subscribe(core.get(PEERS))


def _start_divergence_check(
    core: Core, fleet: FoldedLog[FleetState]
) -> Callable[[], None]:
    from .divergence import DivergenceDetector

    detector = DivergenceDetector(fleet)

    async def check() -> None:
        membership = core.find(MEMBERSHIP)
        if membership is not None:
            detector.check(membership.members())

    return core.timers.subscribe(
        "log.divergence", DIVERGENCE_CHECK_INTERVAL_SECONDS, check
    )


def _owns_snapshot_duty(core: Core, stream: str) -> bool:
    membership = core.find(MEMBERSHIP)
    return membership is None or membership.owns_duty(f"snapshot:{stream}")


COMPONENTS.register("log")(
    ComponentDescription("log", async_setup, ("platform", "peers"))
)
