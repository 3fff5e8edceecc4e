"""A small deployment: the platform and its minions here, entries as processes."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
from aiohttp import web

from .minions import Minion, Minions
from .record import Record
from .store import Store

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("z1", "z2", "z3")
HOST = "calls.example"
HEARTBEAT_SECONDS = 1.5
RESTART_SECONDS = 0.5
READY_SECONDS = 20.0

BOUNDS = {
    "seed-lag-s": 3,
    "reuse-after-s": 2,
    "stability-window-ms": 3000,
    "ack-ms": 4000,
    "catch-up-s": 4,
    "drain-ms": 2000,
    "grace-s": 6,
    "loss-slack-ms": 200,
    "config-apply-ms": 2000,
    "rollback-slack-ms": 250,
    "max-skew-ms": 5000,
    "recovery-s": 12,
    "hold-max-ms": 10000,
    "stop-grace-ms": 200,
    "gang-timeout-ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "remote-factor": 3,
    "checkpoint-interval-s": 0.5,
    "restore-ms": 250,
    "notice-ms": 4500,
    "move-s": 1.5,
    "maintenance-s": 2,
    "require-fence": True,
    "lease-ms": 3000,
    "thaw-slack-ms": 300,
    "pace-ms": 100,
    "harm-ms": 4000,
}


class CannotRunError(Exception):
    """Raised when a case can't run here."""


@dataclass
class Entry:
    """One entry of the product, started with the command of the deploy file."""

    name: str
    ip: str
    front: str
    settings: Path
    log: Path
    process: subprocess.Popen[bytes] | None = None
    starts: int = 0

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


@dataclass
class Estate:
    """The platform, its minions and the entries.

    :param services: pool by queue.
    """

    record: Record
    minions: Minions
    store: Store = field(default_factory=Store)
    entries: list[Entry] = field(default_factory=list)
    version: int = 0
    _net: int = 0
    _port: int = 0
    _folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp()))
    _runner: web.ServerRunner | None = None
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _down: set[str] = field(default_factory=set)

    async def open(self, pools: dict[str, int], cpu: int, mem_mb: int) -> None:
        """Start the platform and its minions: a number of machines for each pool."""
        total = sum(pools.values())
        self._net, self._port = _free_net(total)
        self._runner = web.ServerRunner(web.Server(self._handle, access_log=None))
        await self._runner.setup()
        for host in [7, *range(100, 100 + total)]:
            site = web.TCPSite(self._runner, self._ip(host), self._port, backlog=512)
            await site.start()
        number = 0
        for pool, count in pools.items():
            for _ in range(count):
                ip = self._ip(100 + number)
                zone = ZONES[number % len(ZONES)]
                self.minions.add(
                    Minion(
                        f"i-{pool}-{number}",
                        f"m-{number}",
                        pool,
                        zone,
                        f"r-{zone}",
                        f"{ip}:{self._port}",
                        cpu,
                        mem_mb,
                        self.minions,
                    )
                )
                number += 1
        self._tasks.append(asyncio.create_task(self.minions.advance_forever()))
        self._tasks.append(asyncio.create_task(self._heartbeat()))

    def configure(self, routes: list[dict[str, object]]) -> None:
        """Write a configuration, as the operator does."""
        self.version += 3
        services = sorted({m.service for m in self.minions.minions.values()})
        config = {
            "version": self.version,
            "routes": [{"host": HOST, **route} for route in routes],
            "services": [
                {"name": name, "max-conns": 64, "admission-check": True}
                for name in services
            ],
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 262144,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
        }
        self.store.put("keyed.op", "config", config)
        self.record.add("config", version=self.version)

    async def start_entries(self, count: int) -> None:
        """Start entries and wait until all are ready."""
        run = _run_line()
        for number in range(count):
            ip = self._ip(11 + number)
            front, ready, peer = _free_ports(ip, 3)
            name = f"edge-{ZONES[number % len(ZONES)]}-{number + 1}"
            entry = Entry(
                name,
                ip,
                f"{ip}:{front}",
                self._folder / f"{name}.json",
                self._folder / f"{name}.log",
            )
            zone = ZONES[number % len(ZONES)]
            settings = self._settings(entry, zone, ready, peer)
            entry.settings.write_text(json.dumps(settings), encoding="utf-8")
            self.entries.append(entry)
            self._spawn(entry, run)
        self._tasks.append(asyncio.create_task(self._restart_forever(run)))
        await self.wait_ready()

    async def wait_ready(self) -> None:
        """Wait until each entry answers a call for its queue's count."""
        until = time.monotonic() + READY_SECONDS
        async with aiohttp.ClientSession() as session:
            for entry in self.entries:
                ready = json.loads(entry.settings.read_text())["listen"]["ready"]
                while not await _is_ready(session, ready):
                    if time.monotonic() > until:
                        raise CannotRunError(f"{entry.name} is not ready")
                    await asyncio.sleep(0.05)
        self.record.add("ready", entries=len(self.entries))

    def hold_down(self, entry: Entry) -> None:
        """Keep an entry from being started again."""
        self._down.add(entry.name)

    def release(self, entry: Entry) -> None:
        """Start an entry again."""
        self._down.discard(entry.name)

    async def close(self, keep_logs: bool = False) -> None:
        """End all processes that were started, and the platform."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for entry in self.entries:
            entry.send(signal.SIGCONT)
            entry.send(signal.SIGKILL)
        for entry in self.entries:
            if entry.process is not None:
                entry.process.wait()
        if self._runner is not None:
            await self._runner.cleanup()
        if not keep_logs:
            shutil.rmtree(self._folder, ignore_errors=True)

    def owner(self) -> Entry | None:
        """Return the entry that the newest owner record names, by the entries' logs."""
        newest: tuple[int, Entry] | None = None
        for entry in self.entries:
            for line in entry.log.read_text(errors="replace").splitlines():
                if "owner_started" in line and " epoch=" in line:
                    epoch = int(line.partition(" epoch=")[2].split()[0])
                    if newest is None or epoch > newest[0]:
                        newest = (epoch, entry)
        return newest[1] if newest else None

    def count_in_logs(self, text: str) -> int:
        """Return how many lines of the entries' logs contain a text."""
        return sum(
            text in line
            for entry in self.entries
            for line in entry.log.read_text(errors="replace").splitlines()
        )

    def _ip(self, host: int) -> str:
        return f"127.{self._net}.0.{host}"

    def _settings(
        self, entry: Entry, zone: str, ready: int, peer: int
    ) -> dict[str, object]:
        platform = f"{self._ip(7)}:{self._port}"
        return {
            "node": entry.name,
            "role": "entry",
            "machine-class": "edge",
            "serves": ["edge"],
            "ip": entry.ip,
            "zone": zone,
            "region": "r1",
            "zones": dict.fromkeys(ZONES, "r1"),
            "listen": {"front": entry.front, "ready": f"{entry.ip}:{ready}"},
            "port-range": [peer, peer + 1],
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpu-share": 0.537,
                "cores": 2,
                "memory-mb": 300,
                "max-fds": 4100,
                "link-mbps": 1000.0,
                "disk-mb": 0,
            },
            "data-dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat-ms": 1500,
            "contracts": ["base", "drain", "config", "recover", "sched", "platform"],
            "fault-tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "orders": "call",
            "advice": platform if self.minions.advice is not None else None,
            "platform": {
                "address": platform,
                "form": "log",
                "writes-per-s": 600,
                "reads-per-s": 2000,
                "parts": 24,
                "append-ms": 1.0,
                "partition-mb-s": 20.0,
                "read-mb-s": 80.0,
                "record-bytes": 262144,
                "request-bytes": 2097152,
                "keep_s": 300,
                "max-partition-mb": 200,
                "ttl-min-ms": 1000,
            },
            "cloud": {
                "address": platform,
                "rate-per-s": 64.0,
                "duties": [],
                "duty-per-s": 64.0,
            },
        }

    def _spawn(self, entry: Entry, run: list[str]) -> None:
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["MUSTARDWARD_BOOT"] = str(entry.settings)
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with entry.log.open("ab") as log:
            entry.process = subprocess.Popen(
                run, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        entry.starts += 1
        self.record.add("entry_started", name=entry.name, times=entry.starts)

    async def _restart_forever(self, run: list[str]) -> None:
        """Start entries that have ended again after a short delay."""
        while True:
            await asyncio.sleep(0.05)
            for entry in self.entries:
                if entry.process is None or entry.name in self._down:
                    continue
                code = entry.process.poll()
                if code is not None:
                    self.record.add("entry_ended", name=entry.name, code=code)
                    await asyncio.sleep(RESTART_SECONDS)
                    self._spawn(entry, run)

    async def _heartbeat(self) -> None:
        seq = 0
        while True:
            seq += 1
            for minion in list(self.minions.minions.values()):
                self.store.put("keyed.servers", minion.id, minion.entry(seq))
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        answer = await self.store.handle(request)
        if answer is None:
            answer = await self.minions.handle(request)
        if answer is None and self.minions.advice is not None:
            answer = await self.minions.advice.handle(request)
        if answer is None and request.path == "/mustardward/machines":
            answer = self._list()
        return answer or web.Response(status=400, text='{"reason":""}')

    def _list(self) -> web.Response:
        rows = [
            {
                "machine": minion.machine,
                "pool": minion.service,
                "state": "up",
                "zone": minion.zone,
                "labels": ["a", minion.rack],
                "capacity": {"cpu": minion.cpu, "mem-mb": minion.mem_mb, "gpu": 0},
                "id": minion.id,
            }
            for minion in self.minions.minions.values()
        ]
        text = json.dumps({"machines": rows, "next-token": None})
        return web.Response(text=text, content_type="application/json")


class Consumer:
    """A consumer that submits, reads and cancels jobs at the entries."""

    def __init__(self, estate: Estate) -> None:
        self._estate = estate
        self._session = aiohttp.ClientSession()

    async def close(self) -> None:
        """Close all channels."""
        await self._session.close()

    async def call(
        self, method: str, path: str, body: object = None, entry: Entry | None = None
    ) -> tuple[int, dict[str, object]]:
        """Make one call; return status 0 if there was no answer."""
        entry = entry or random.choice(self._estate.entries)
        headers = {"Host": HOST, "Mustardward-Deadline-Ms": "3000"}
        data = None if body is None else json.dumps(body)
        if data is not None:
            headers["Content-Type"] = "application/json"
        try:
            async with self._session.request(
                method,
                f"http://{entry.front}{path}",
                data=data,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=3.2),
            ) as response:
                text = await response.text()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            status, text = 0, ""
        answer = json.loads(text) if text.startswith("{") else {}
        self._estate.record.add(
            "call",
            method=method,
            path=path,
            entry=entry.name,
            status=status,
            answer=json.dumps(answer),
        )
        return status, answer

    async def submit(self, path: str, body: object, seconds: float = 20.0) -> bool:
        """Hand in a job until it is accepted; return whether it was."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            status, _ = await self.call("POST", path, body)
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, path: str) -> str:
        """Return the state of a job, or an empty text if there is no answer."""
        status, answer = await self.call("GET", path)
        if status == 200:
            return str(answer["state"])
        return "gone" if status == 410 else ""

    async def wait(self, path: str, wanted: set[str], seconds: float) -> str:
        """Ask for a job's state until it is one of some; return the last answer."""
        until = time.monotonic() + seconds
        state = ""
        while time.monotonic() < until:
            state = await self.state(path)
            if state in wanted:
                break
            await asyncio.sleep(0.25)
        return state


def _run_line() -> list[str]:
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    words: list[str] = deploy["roles"]["entry"]["run"].split()
    if words[0] == "python3":
        words[0] = sys.executable
    return words


def _free_net(count: int) -> tuple[int, int]:
    """Return a part of the loopback range and a port that is free in it."""
    for _ in range(200):
        net, port = random.randrange(20, 240), random.randrange(20000, 30000)
        hosts = [7, *range(100, 100 + count)]
        if all(_is_free(f"127.{net}.0.{host}", port) for host in hosts) and all(
            _is_free(f"127.{net}.0.{host}", 9464) for host in range(11, 20)
        ):
            return net, port
    raise CannotRunError("no free addresses")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def _free_ports(ip: str, count: int) -> list[int]:
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(30000, 32000)
        if port not in ports and _is_free(ip, port):
            ports.append(port)
    return ports


async def _is_ready(session: aiohttp.ClientSession, address: str) -> bool:
    try:
        async with session.get(
            f"http://{address}/mustardward/readiness",
            timeout=aiohttp.ClientTimeout(total=1),
        ) as response:
            return response.status == 200
    except (aiohttp.ClientError, TimeoutError, OSError):
        return False
