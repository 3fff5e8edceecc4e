"""Run an entry node as a process against the simulated platform."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import anyio
import httpx
import msgspec
from anyio.abc import Process

from mustardward.platform.boot import (
    PATH_VARIABLE,
    BootBounds,
    BootFleet,
    BootLimits,
    BootListen,
    BootSettings,
    BootStore,
)
from mustardward.standin.estate.app import async_run_estate
from mustardward.standin.estate.estate import Estate, EstatePlan

_NUMBER: Final = os.getpid() % 50_000
IP: Final = f"127.9.{_NUMBER // 250 + 1}.{_NUMBER % 250 + 1}"
"""Address of the entry; test runs beside this one have others."""

LOG_NAME: Final = "entry.log"
METRICS_ADDRESS: Final = f"{IP}:9464"
CALLERS_HOST: Final = "calls.example"
QUEUE: Final = "/q/"
JOB_BODY: Final = msgspec.json.encode(
    {"spec": "x", "steps": [{"count": 1, "cpu": 100}]}
)

READY_TIMEOUT_SECONDS: Final = 60.0
CALL_TIMEOUT_SECONDS: Final = 10.0
ANSWER_TIMEOUT_SECONDS: Final = 120.0
RETRY_DELAY_SECONDS: Final = 0.05
WATCH_INTERVAL_SECONDS: Final = 0.05
LISTEN_STATE: Final = "0A"

RESERVED_FDS: Final = 200
"""Descriptors of ``max-fds`` that sockets and pipes can't use."""


@dataclass(slots=True, eq=False)
class EntryProcess:
    """A running entry node."""

    boot: BootSettings
    process: Process
    estate: Estate
    jobs: int = 0
    _peak_mb: float = 0.0

    @property
    def alive(self) -> bool:
        """Return whether the process runs."""
        return self.process.returncode is None

    def peak_memory_mb(self) -> float:
        """Return the highest memory seen, with bytes received and not yet read."""
        resident_kb = self._status_kb("VmRSS")
        seen_mb = (resident_kb + _unread_bytes(self.boot.ip) / 1024) / 1024
        self._peak_mb = max(self._peak_mb, seen_mb, self._status_kb("VmHWM") / 1024)
        return self._peak_mb

    async def async_watch_memory(self) -> None:
        """Note the highest memory until cancelled."""
        while self.alive:
            self.peak_memory_mb()
            await anyio.sleep(WATCH_INTERVAL_SECONDS)

    def _status_kb(self, name: str) -> int:
        status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
        line = next(row for row in status.splitlines() if row.startswith(name))
        return int(line.split()[1])

    def socket_count(self) -> int:
        """Return the number of open sockets and pipes."""
        count = 0
        for name in os.listdir(f"/proc/{self.process.pid}/fd"):
            try:
                target = os.readlink(f"/proc/{self.process.pid}/fd/{name}")
            except OSError:
                continue
            count += target.startswith(("socket:", "pipe:"))
        return count

    async def async_submit_until_answered(self) -> int:
        """Submit a job, again after each failure; return the first proper status."""
        self.jobs += 1
        url = f"http://{self.boot.listen.front}{QUEUE}{self.jobs:016x}"
        with anyio.fail_after(ANSWER_TIMEOUT_SECONDS):
            while True:
                status = await _async_submit(url)
                if status not in (0, 429, 503, 504):
                    return status
                await anyio.sleep(RETRY_DELAY_SECONDS)

    async def async_wait_ready(self) -> None:
        """Wait until the load balancer would send callers here."""
        url = f"http://{self.boot.listen.ready}/mustardward/readiness"
        with anyio.fail_after(READY_TIMEOUT_SECONDS):
            async with httpx.AsyncClient(trust_env=False) as client:
                while True:
                    try:
                        if (await client.get(url)).status_code == 200:
                            return
                    except httpx.TransportError:
                        pass
                    await anyio.sleep(RETRY_DELAY_SECONDS)


async def _async_submit(url: str) -> int:
    """Return the status of a submission, or 0 without a response."""
    headers = {"Host": CALLERS_HOST}
    timeout = CALL_TIMEOUT_SECONDS
    try:
        async with httpx.AsyncClient(trust_env=False, timeout=timeout) as client:
            return (
                await client.post(url, content=JOB_BODY, headers=headers)
            ).status_code
    except httpx.TransportError:
        return 0


@asynccontextmanager
async def async_run_entry(
    folder: Path,
    limits: BootLimits,
    variables: dict[str, str] | None = None,
    is_configured: bool = True,
) -> AsyncIterator[EntryProcess]:
    """Run an entry node, ready for callers, until the block ends.

    :param limits: resource limits that its settings file states.
    :param variables: additional environment variables.
    :param is_configured: whether the operator has published a configuration.
    """
    async with async_run_estate(EstatePlan(), "127.0.0.1") as estate:
        if is_configured:
            estate.publish_config({QUEUE: "pool-a"}, CALLERS_HOST)
        boot = build_boot(estate.address, limits)
        settings = folder / "boot.json"
        settings.write_bytes(msgspec.json.encode(boot))
        async with async_spawn_entry(folder, settings, variables) as process:
            entry = EntryProcess(boot, process, estate)
            if is_configured:
                await entry.async_wait_ready()
            else:
                await _async_wait_listening(boot.listen.front)
            yield entry


def build_boot(
    store_address: str, limits: BootLimits, bounds: BootBounds | None = None
) -> BootSettings:
    """Return the settings of an entry on free ports."""
    front, ready, peers = _free_ports(3)
    return BootSettings(
        node="entry-1",
        ip=IP,
        zone="z1",
        listen=BootListen(front=f"{IP}:{front}", ready=f"{IP}:{ready}"),
        platform=BootStore(address=store_address),
        cloud=BootFleet(address=store_address),
        limits=limits,
        bounds=bounds or BootBounds(),
        port_range=(peers, peers),
    )


@asynccontextmanager
async def async_spawn_entry(
    folder: Path, settings: Path, variables: dict[str, str] | None = None
) -> AsyncIterator[Process]:
    """Start an entry's process, and kill it if it still runs when the block ends.

    Its log is the file ``entry.log`` of the folder.
    """
    environment = os.environ | {PATH_VARIABLE: str(settings)} | (variables or {})
    with (folder / LOG_NAME).open("wb") as log:
        process = await anyio.open_process(
            [sys.executable, "-m", "mustardward.node"],
            stdout=log,
            stderr=subprocess.STDOUT,
            env=environment,
        )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def _async_wait_listening(address: str) -> None:
    host, _, port = address.rpartition(":")
    with anyio.fail_after(READY_TIMEOUT_SECONDS):
        while True:
            try:
                stream = await anyio.connect_tcp(host, int(port))
            except OSError:
                await anyio.sleep(RETRY_DELAY_SECONDS)
                continue
            await stream.aclose()
            return


def _unread_bytes(ip: str) -> int:
    """Return the bytes in the receive queues of an address's connections."""
    local = socket.inet_aton(ip)[::-1].hex().upper()
    rows = Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]
    columns = [row.split()[1:5] for row in rows]
    return sum(
        int(queues.partition(":")[2], 16)
        for address, _, state, queues in columns
        if address.startswith(local) and state != LISTEN_STATE
    )


def _free_ports(count: int) -> list[int]:
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((IP, 0))
    ports = [int(probe.getsockname()[1]) for probe in probes]
    for probe in probes:
        probe.close()
    return ports
