"""Run entry nodes as processes that use a platform at a given URL."""

from __future__ import annotations

import re
import socket
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import httpx
import yaml
from anyio.abc import Process, TaskGroup

LOG_TIMEOUT_SECONDS = 20.0


def free_port() -> int:
    """Return a free TCP port."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


@dataclass(slots=True, eq=False)
class EntryProcess:
    """Hold one running entry process and its log output."""

    name: str
    data_centre: str
    peer_port: int
    process: Process
    logged: str = ""
    grew: anyio.Event = field(default_factory=anyio.Event)

    async def async_logged(self, pattern: str) -> re.Match[str]:
        """Wait until its log output matches a pattern; return the match."""
        with anyio.fail_after(LOG_TIMEOUT_SECONDS):
            while (match := re.search(pattern, self.logged)) is None:
                await self.grew.wait()
        return match

    async def async_get(self, path: str) -> httpx.Response:
        """Send a GET request to its listener for callers."""
        match = await self.async_logged(r"event=callers_listening .*port=(\d+)")
        url = f"http://127.0.0.1:{match[1]}{path}"
        async with httpx.AsyncClient(trust_env=False) as client:
            return await client.get(url)


class EntryProcesses:
    """Start and kill entry processes."""

    def __init__(self, group: TaskGroup, folder: Path, platform_url: str) -> None:
        self._group = group
        self._folder = folder
        self._platform_url = platform_url
        self.running: list[EntryProcess] = []

    async def async_start(
        self, name: str, data_centre: str, peers: list[EntryProcess]
    ) -> EntryProcess:
        """Start an entry whose settings name some peers."""
        port = free_port()
        path = self._folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(self._settings(name, data_centre, port, peers)))
        process = await anyio.open_process(
            [sys.executable, "-m", "mustardward", "serve", str(path)],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
        )
        entry = EntryProcess(name, data_centre, port, process)
        self.running.append(entry)
        self._group.start_soon(_async_read, entry)
        return entry

    async def async_kill(self, entry: EntryProcess) -> None:
        """Kill an entry, as when its instance is replaced."""
        self.running.remove(entry)
        entry.process.kill()
        await entry.process.wait()

    def _settings(
        self, name: str, data_centre: str, port: int, peers: list[EntryProcess]
    ) -> dict[str, object]:
        any_port = {"host": "127.0.0.1", "port": 0}
        return {
            "entry": {"name": name, "data_centre": data_centre},
            "callers": any_port,
            "operators": {"listen": any_port},
            "peer_listen": {"host": "127.0.0.1", "port": port},
            "peers": [
                {
                    "name": peer.name,
                    "data_centre": peer.data_centre,
                    "host": "127.0.0.1",
                    "port": peer.peer_port,
                }
                for peer in peers
            ],
            "platform": {
                "url": self._platform_url,
                "timeout_seconds": 0.5,
                "poll_seconds": 0.5,
            },
        }


@asynccontextmanager
async def running_processes(
    folder: Path, platform_url: str
) -> AsyncIterator[EntryProcesses]:
    """Yield a manager of entry processes, and kill those that still run afterwards."""
    async with anyio.create_task_group() as group:
        processes = EntryProcesses(group, folder, platform_url)
        try:
            yield processes
        finally:
            for entry in list(processes.running):
                await processes.async_kill(entry)
            group.cancel_scope.cancel()


async def _async_read(entry: EntryProcess) -> None:
    assert entry.process.stderr is not None
    async for chunk in entry.process.stderr:
        entry.logged += chunk.decode(errors="replace")
        entry.grew.set()
        entry.grew = anyio.Event()
