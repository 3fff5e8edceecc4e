"""Publish the clients of the platform's services."""

from __future__ import annotations

from typing import Final

import httpx

from ...const import HEADER_DATA_CENTRE
from ...core import Core, Unload
from ...standin.protocol.http import PlatformHttp
from ...standin.protocol.instances import HttpListingService, HttpPowerService
from ...standin.protocol.log import HttpLogService
from ...standin.protocol.worker import HttpWorkerService
from ..keys import LISTING_SERVICE, LOG_SERVICE, POWER_SERVICE, WORKER_SERVICE

PLATFORM_CONNECTIONS: Final = httpx.Limits(
    max_connections=32, max_keepalive_connections=16, keepalive_expiry=30.0
)
WORKER_CONNECTIONS: Final = httpx.Limits(
    max_connections=64, max_keepalive_connections=32, keepalive_expiry=10.0
)


async def async_start_clients(core: Core) -> Unload:
    """Publish the clients and return what closes them."""
    settings = core.settings.platform
    headers = {HEADER_DATA_CENTRE: core.settings.entry.data_centre}
    # Workers have a client of their own: a worker that hangs would otherwise hold the
    # connections that the log's reader needs, seen as configuration going stale.
    platform = httpx.AsyncClient(
        base_url=settings.url,
        headers=headers,
        limits=PLATFORM_CONNECTIONS,
        trust_env=False,
    )
    workers = httpx.AsyncClient(limits=WORKER_CONNECTIONS, trust_env=False)
    http = PlatformHttp(platform, settings.timeout_seconds)
    core.put(LOG_SERVICE, HttpLogService(http))
    core.put(LISTING_SERVICE, HttpListingService(http))
    core.put(POWER_SERVICE, HttpPowerService(http))
    worker_http = PlatformHttp(workers, settings.timeout_seconds)
    core.put(WORKER_SERVICE, HttpWorkerService(worker_http))

    async def async_unload() -> None:
        core.remove(WORKER_SERVICE)
        core.remove(POWER_SERVICE)
        core.remove(LISTING_SERVICE)
        core.remove(LOG_SERVICE)
        await workers.aclose()
        await platform.aclose()

    return async_unload
