"""Name the public object of each component, with its type.

A component publishes its object with ``core.put(KEY, object)`` in ``async_setup`` and
withdraws it in its unload.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ..core import ComponentKey

if TYPE_CHECKING:
    from ..helpers.listener import HttpListener
    from ..helpers.metrics import Metrics
    from ..standin.protocol.protocols import (
        ListingService,
        LogService,
        PowerService,
        WorkerService,
    )
    from ..state.protocols import FleetLog, WorkLog
    from .entry.drain import Drain
    from .entry.protocols import (
        IdempotencyGuard,
        Limiter,
        RetryPolicy,
        Router,
        WorkerDispatcher,
    )
    from .entry.service import EntryService
    from .explain.service import Explainer
    from .jobs.protocols import JobService
    from .maintenance.pool_prober import PoolProber
    from .membership.protocols import Membership
    from .peers.protocols import Peers
    from .reports.service import BurnReporter
    from .templates.protocols import Directory

LOG_SERVICE: Final[ComponentKey[LogService]] = ComponentKey("platform.log")
LISTING_SERVICE: Final[ComponentKey[ListingService]] = ComponentKey("platform.listing")
POWER_SERVICE: Final[ComponentKey[PowerService]] = ComponentKey("platform.power")
WORKER_SERVICE: Final[ComponentKey[WorkerService]] = ComponentKey("platform.worker")

FLEET_LOG: Final[ComponentKey[FleetLog]] = ComponentKey("state.fleet")
WORK_LOG: Final[ComponentKey[WorkLog]] = ComponentKey("state.work")

MEMBERSHIP: Final[ComponentKey[Membership]] = ComponentKey("membership")
PEERS: Final[ComponentKey[Peers]] = ComponentKey("peers")
DIRECTORY: Final[ComponentKey[Directory]] = ComponentKey("templates")
LIMITER: Final[ComponentKey[Limiter]] = ComponentKey("limits")
ROUTER: Final[ComponentKey[Router]] = ComponentKey("routing")
RETRY_POLICY: Final[ComponentKey[RetryPolicy]] = ComponentKey("retries")
IDEMPOTENCY_GUARD: Final[ComponentKey[IdempotencyGuard]] = ComponentKey(
    "retries.intents"
)
DISPATCHER: Final[ComponentKey[WorkerDispatcher]] = ComponentKey("entry.dispatcher")
EXPLAINER: Final[ComponentKey[Explainer]] = ComponentKey("explain")
BURN_REPORTER: Final[ComponentKey[BurnReporter]] = ComponentKey("reports")
JOBS: Final[ComponentKey[JobService]] = ComponentKey("jobs")
ENTRY: Final[ComponentKey[EntryService]] = ComponentKey("entry")
POOL_PROBER: Final[ComponentKey[PoolProber]] = ComponentKey("maintenance.look")
DRAIN: Final[ComponentKey[Drain]] = ComponentKey("entry.drain")
API: Final[ComponentKey[HttpListener]] = ComponentKey("api")
METRICS: Final[ComponentKey[Metrics]] = ComponentKey("metrics")
