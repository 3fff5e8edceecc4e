"""Run a real entry process whose directory and workers are given: NAME ADDRESS…."""

from __future__ import annotations

import sys
from functools import partial
from typing import cast

import anyio

from mustardward.cli.serve import async_serve
from mustardward.components.entry.setup import async_setup_entry
from mustardward.components.keys import (
    DIRECTORY,
    FLEET_LOG,
    LIMITER,
    RETRY_POLICY,
    ROUTER,
)
from mustardward.core import Core, Unload
from mustardward.helpers.log_output import set_up_logging
from mustardward.settings.models import (
    EntryIdentity,
    Listener,
    PlatformSettings,
    Settings,
)
from mustardward.state.protocols import FleetLog

from .entry import FakeDirectory, FakeLimiter, FakeRetries, FakeRouter, ReadyLog

LEAVING_SECONDS = 0.6


async def async_setup(addresses: list[str], core: Core) -> list[Unload]:
    core.put(FLEET_LOG, cast(FleetLog, ReadyLog()))
    core.put(DIRECTORY, FakeDirectory())
    core.put(LIMITER, FakeLimiter())
    core.put(ROUTER, FakeRouter(addresses))
    core.put(RETRY_POLICY, FakeRetries())
    return [await async_setup_entry(core)]


def main() -> None:
    """Serve until SIGTERM."""
    name, *addresses = sys.argv[1:]
    settings = Settings(
        entry=EntryIdentity(
            name=name, data_centre="dc-a", leaving_seconds=LEAVING_SECONDS
        ),
        callers=Listener(port=0),
        platform=PlatformSettings(url="http://127.0.0.1:1"),
    )
    set_up_logging()
    anyio.run(async_serve, settings, partial(async_setup, addresses))


if __name__ == "__main__":
    main()
