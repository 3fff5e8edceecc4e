"""Set up the folded logs of the fleet and of the data centre's work."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final

from ...core import COMPONENTS, ComponentDescription, Core, Unload
from ..keys import FLEET_LOG, LOG_SERVICE, MEMBERSHIP, PEERS, WORK_LOG

if TYPE_CHECKING:
    from ...state.fleet import FleetState
    from ...state.log import FoldedLog

DIVERGENCE_SECONDS: Final = 5.0


async def async_setup(core: Core) -> Unload:
    """Follow the logs in the background; readiness comes later."""
    from ...state.log import FoldedLog
    from ...state.streams import FLEET_SPEC, work_spec

    options = _options(core)
    service = core.get(LOG_SERVICE)
    fleet = FoldedLog(FLEET_SPEC, service, core.timers, options)
    core.put(FLEET_LOG, fleet)
    logs: list[FoldedLog[Any]] = [fleet]
    if folds_work(core):
        spec = work_spec(core.settings.entry.data_centre)
        work = FoldedLog(spec, service, core.timers, options)
        core.put(WORK_LOG, work)
        logs.append(work)
    undo = [_start(core, log) for log in logs]
    undo.append(_serve_relay(core, logs))
    undo.append(_watch_divergence(core, fleet))

    async def async_unload() -> None:
        core.remove(FLEET_LOG)
        core.remove(WORK_LOG)
        for stop in reversed(undo):
            stop()

    return async_unload


def folds_work(core: Core) -> bool:
    """Tell whether this entry is a home of keys and jobs of its data centre.

    Every entry is one at present. What uses ``WORK_LOG`` finds nothing on an entry
    that is none, and asks a home instead.
    """
    return True


def _options(core: Core) -> Any:
    from ...state.options import LogOptions

    platform = core.settings.platform
    return LogOptions(
        poll_seconds=platform.poll_seconds,
        append_interval_seconds=platform.append_interval_seconds,
        relay_after_seconds=platform.poll_seconds + 1.0,
    )


def _start(core: Core, log: FoldedLog[Any]) -> Callable[[], None]:
    from random import Random

    from ...state.snapshot_writer import SnapshotWriter
    from .relay import PeerRelay

    log.set_relay(PeerRelay(core, Random()))
    writer = SnapshotWriter(log, core.timers, lambda: _owns(core, log.spec.name))
    unsubscribe = writer.subscribe(core.tasks)
    core.tasks.start_soon(log.async_run)

    def stop() -> None:
        unsubscribe()
        log.stop()

    return stop


def _serve_relay(core: Core, logs: list[FoldedLog[Any]]) -> Callable[[], None]:
    from .relay import RelayServer

    return RelayServer(logs).subscribe(core.get(PEERS))


def _watch_divergence(core: Core, fleet: FoldedLog[FleetState]) -> Callable[[], None]:
    from .divergence import DivergenceWatch

    watch = DivergenceWatch(fleet)

    async def check() -> None:
        membership = core.find(MEMBERSHIP)
        if membership is not None:
            watch.check(membership.members())

    return core.timers.subscribe("log.divergence", DIVERGENCE_SECONDS, check)


def _owns(core: Core, stream: str) -> bool:
    membership = core.find(MEMBERSHIP)
    return membership is None or membership.owns_duty(f"snapshot:{stream}")


COMPONENTS.register("log")(
    ComponentDescription("log", async_setup, ("platform", "peers"))
)
