"""Play the users' platform on loopback addresses for the cases of this review.

Written after the users' pages alone: a store with keyed topics, minions, the list of
machines and the advice service. Entries are real processes that are started with the
command of the deploy file. Everything that is sent, answered and run is written to the
case's record.
"""

from __future__ import annotations

import asyncio
import base64
import json
import logging
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

ROOT = Path(__file__).resolve().parents[2]
HOST = "consumers.example"
SILENT_SECONDS = 60.0
RECORD_BYTES = 262_144
LEASE_MAX_MS = 10_000
STOP_GRACE_MS = 200
TICK_SECONDS = 0.01

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
    "hold-max-ms": LEASE_MAX_MS,
    "stop-grace-ms": STOP_GRACE_MS,
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
    """Raised when a case can't be played to its end."""


def need(met: bool, detail: str) -> None:
    """Give a case up unless a condition is met."""
    if not met:
        raise CannotRunError(detail)


class Record:
    """Write what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started = time.monotonic()

    def write(self, event: str, **fields: Any) -> None:
        """Write one line."""
        seconds = time.monotonic() - self._started
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{seconds:8.3f} {event} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the record."""
        self._file.close()


@dataclass
class Topic:
    """One partition of a topic."""

    records: list[tuple[str, bytes]] = field(default_factory=list)
    newest: dict[str, int] = field(default_factory=dict)
    producers: dict[str, dict[str, Any]] = field(default_factory=dict)


class Store:
    """The platform's store: keyed topics whose history is kept in full."""

    def __init__(self) -> None:
        self._topics: dict[str, Topic] = {}
        self._news = asyncio.Event()

    def topic(self, name: str) -> Topic:
        """Return a topic, created on first use."""
        return self._topics.setdefault(name, Topic())

    def put(self, name: str, key: str, value: bytes) -> None:
        """Append one record without a producer."""
        self._append(self.topic(name), [(key, value)])

    def _append(self, topic: Topic, records: list[tuple[str, bytes]]) -> int:
        first = len(topic.records)
        for key, value in records:
            if value:
                topic.newest[key] = len(topic.records)
            else:
                topic.newest.pop(key, None)
            topic.records.append((key, value))
        self._news.set()
        self._news = asyncio.Event()
        return first

    def append(self, query: Any, body: bytes) -> tuple[int, dict[str, Any]]:
        """Answer ``log-append`` with a status and a body."""
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return 403, {}
        records = decode_records(body)
        if any(len(key) + 1 + len(value) > RECORD_BYTES for key, value in records):
            return 413, {}
        return self._append_for(query, records)

    def _append_for(
        self, query: Any, records: list[tuple[str, bytes]]
    ) -> tuple[int, dict[str, Any]]:
        topic = self.topic(query["topic"])
        name = query.get("producer")
        if name is None:
            first = self._append(topic, records)
            return 200, {"offset": first, "end": len(topic.records)}
        epoch, seq = int(query["epoch"]), int(query["seq"])
        state = topic.producers.get(name)
        if state is not None and epoch < state["epoch"]:
            return 409, {"reason": "fenced"}
        if state is None or epoch > state["epoch"]:
            state = topic.producers[name] = {"epoch": epoch, "next": seq, "last": {}}
        if seq in state["last"]:
            return 200, state["last"][seq]
        if seq != state["next"]:
            return 409, {"reason": "seq", "seq": state["next"]}
        first = self._append(topic, records)
        answer = {"offset": first, "end": len(topic.records)}
        state["next"] = seq + 1
        state["last"][seq] = answer
        for old in sorted(state["last"])[:-5]:
            del state["last"][old]
        return 200, answer

    async def async_read(self, query: Any) -> bytes:
        """Answer ``log-read``."""
        topic = self.topic(query["topic"])
        start = int(query["from"])
        until = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        while len(topic.records) <= start:
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self._news.wait(), left)
            except TimeoutError:
                break
        room = int(query.get("max-kilobytes", "1024")) * 1024
        parts = [struct.pack(">QQ", len(topic.records), 0)]
        for key, value in topic.records[start:]:
            record = encode_record(key, value)
            room -= len(record)
            if room < 0 and len(parts) > 1:
                break
            parts.append(record)
        return b"".join(parts)

    def read_newest(self, query: Any) -> dict[str, Any]:
        """Answer ``log-newest``."""
        topic = self.topic(query["topic"])
        after = query.get("after", "")
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.records[topic.newest[key]][1]).decode(),
                "offset": topic.newest[key],
            }
            for key in keys[:500]
        ]
        return {
            "items": items,
            "more-pages": len(keys) > 500,
            "end": len(topic.records),
        }


def encode_record(key: str, value: bytes) -> bytes:
    """Return a keyed record in the store's format."""
    name = key.encode()
    content = bytes((len(name),)) + name + value
    return struct.pack(">I", len(content)) + content


def decode_records(body: bytes) -> list[tuple[str, bytes]]:
    """Return the keyed records of an append."""
    records = []
    position = 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        content = body[position + 4 : position + 4 + length]
        position += 4 + length
        end = 1 + content[0]
        records.append((content[1:end].decode(), content[end:]))
    return records


@dataclass
class Run:
    """A run of a work unit on a minion."""

    task: str
    number: int
    cpu: int
    mem_mb: int
    ends_at: float
    how: str = "done"
    stops_at: float | None = None
    started_at: float = 0.0
    seconds: float = 0.0
    gang: int = 0
    together: bool = True
    lasts: bool = False


@dataclass
class Minion:
    """One life of a machine.

    :param mode: ``serving``, or ``silent``: nothing arrives and nothing is answered.
    :param late_starts: seconds by which starts are carried out late, unanswered.
    """

    id: str
    machine: str
    pool: str
    zone: str
    rack: str
    address: str
    cpu: int
    mem_mb: int
    guards: bool = True
    mode: str = "serving"
    late_starts: float = 0.0
    born: int = field(default_factory=lambda: time.time_ns() // 1_000_000)
    zero: float = field(default_factory=lambda: time.monotonic() - 0.01)
    fence: int = 0
    lease_ms: float = 0.0
    runs: dict[str, Run] = field(default_factory=dict)
    ended: list[list[Any]] = field(default_factory=list)
    ends: int = 0
    highest: dict[str, int] = field(default_factory=dict)
    tickets: dict[str, set[str]] = field(default_factory=dict)
    seq: int = 0
    state: str = "ready"

    @property
    def clock_ms(self) -> float:
        """Return the minion's steady clock."""
        return (time.monotonic() - self.zero) * 1000


class Rig:
    """The platform, the entries and the consumers of one case."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / "record.txt")
        self.store = Store()
        self.minions: dict[str, Minion] = {}
        self.machines: dict[str, dict[str, Any]] = {}
        self.entries: dict[str, Entry] = {}
        self.gates: dict[str, str] = {}
        self.jobs: dict[str, dict[str, Any]] = {}
        self.unit_seconds: Callable[[str], float] | None = None
        self.unit_how: Callable[[str, int], str] = lambda task, run: "done"
        self.needs_ticket: Callable[[str], bool] = lambda task: False
        self.on_run: Callable[[str, Minion, Run], None] = lambda what, minion, run: None
        self.on_noted: Callable[[Minion, list[Any]], None] = lambda minion, row: None
        self.lose_answers = False
        self.unanswered: list[Minion] = []
        self.advice_valid_ms = 3000
        self.advised = 0
        self._runners: list[web.ServerRunner] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._scratch = tempfile.TemporaryDirectory()
        self._block = 10 + os.getpid() % 200
        self._cloud = ""
        self._advice = ""
        self._wake = asyncio.Event()
        self._late: set[asyncio.Task[None]] = set()
        self.client: aiohttp.ClientSession | None = None

    # Set-up.

    async def async_start(self) -> None:
        """Start the services that do not belong to one machine."""
        self._cloud = await self._async_serve("127.0.0.1", self._async_cloud)
        self._advice = await self._async_serve("127.0.0.1", self._async_advise)
        self.client = aiohttp.ClientSession()
        self._tasks.append(asyncio.create_task(self._async_tick()))
        self._tasks.append(asyncio.create_task(self._async_beat()))

    async def _async_serve(
        self, host: str, handler: Callable[[Any], Awaitable[Any]]
    ) -> str:
        runner = web.ServerRunner(web.Server(handler, access_log=None))
        await runner.setup()
        await web.TCPSite(runner, host, 0, shutdown_timeout=0.1).start()
        self._runners.append(runner)
        return f"{host}:{runner.addresses[0][1]}"

    async def async_add_minion(
        self,
        machine: str,
        pool: str,
        zone: str = "z1",
        rack: str = "r1",
        cpu: int = 8000,
        mem_mb: int = 65536,
        guards: bool = True,
        number: int = 1,
    ) -> Minion:
        """Add a machine and start its minion."""
        holder: list[Minion] = []

        async def async_handle(request: web.BaseRequest) -> web.StreamResponse:
            return await self._async_minion(self._minion_at(machine), request)

        address = await self._async_serve("127.0.0.1", async_handle)
        self.machines[machine] = {
            "machine": machine,
            "pool": pool,
            "state": "up",
            "zone": zone,
            "labels": ["a", rack],
            "capacity": {"cpu": cpu, "mem-mb": mem_mb, "gpu": 0},
            "address": address,
            "fence": 0,
            "lives": number - 1,
            "guards": guards,
            "waves": set(),
        }
        holder.append(self.boot(machine))
        return holder[0]

    def boot(self, machine: str, same_id: str = "") -> Minion:
        """Start the next life of a machine."""
        row = self.machines[machine]
        row["lives"] += 1
        row["state"] = "up"
        name = same_id or f"i-{machine}-{row['lives']}"
        minion = Minion(
            name,
            machine,
            row["pool"],
            row["zone"],
            row["labels"][1],
            row["address"],
            row["capacity"]["cpu"],
            row["capacity"]["mem-mb"],
            row["guards"],
        )
        row["id"] = name
        self.minions[name] = minion
        self.record.write("minion-starts", id=name, pool=minion.pool, born=minion.born)
        self._register(minion)
        return minion

    def crash(self, minion: Minion) -> None:
        """End a minion at once, with all that runs on it."""
        row = self.machines[minion.machine]
        row["state"] = "down"
        row.pop("id", None)
        self.minions.pop(minion.id, None)
        for run in list(minion.runs.values()):
            self.on_run("lost", minion, run)
        self.record.write("minion-crashes", id=minion.id)

    def _minion_at(self, machine: str) -> Minion | None:
        name = self.machines[machine].get("id")
        return self.minions.get(name) if name else None

    def _register(self, minion: Minion) -> None:
        minion.seq += 1
        entry = {
            "service": minion.pool,
            "address": minion.address,
            "zone": minion.zone,
            "version": "v1",
            "slots": 8,
            "state": minion.state,
            "cold-left-ms": 0,
            "capacity": {"cpu": minion.cpu, "mem-mb": minion.mem_mb, "gpu": 0},
            "labels": ["a", minion.rack],
            "clock-ms": int(minion.clock_ms),
            "seq": minion.seq,
            "born": minion.born,
        }
        self.store.put("keyed.servers", minion.id, json.dumps(entry).encode())

    async def _async_beat(self) -> None:
        silent: dict[str, int] = {}
        while True:
            await asyncio.sleep(1.5)
            known = set(self.store.topic("keyed.servers").newest)
            for name in known | set(self.minions):
                minion = self.minions.get(name)
                if minion is not None and minion.mode == "serving":
                    silent.pop(name, None)
                    self._register(minion)
                elif name in known:
                    silent[name] = silent.get(name, 0) + 1
                    if silent[name] >= 3:
                        self.store.put("keyed.servers", name, b"")

    def put_config(self, version: int, routes: list[dict[str, Any]]) -> None:
        """Write a configuration; the store's answer confirms it."""
        pools = sorted({row["pool"] for row in self.machines.values()})
        config = {
            "version": version,
            "routes": routes,
            "services": [
                {"name": pool, "max-conns": 64, "admission-check": True}
                for pool in pools
            ],
            "limits": {"max-body-bytes": 262144},
        }
        self.store.put("keyed.op", "config", json.dumps(config).encode())
        names = ",".join(route["name"] for route in routes)
        self.record.write("config-confirmed", version=version, routes=names)

    def add_entry(self, name: str, number: int, zone: str = "z1") -> Entry:
        """Describe an entry; it has a loopback address of its own."""
        entry = Entry(self, name, f"127.0.{self._block}.{number}", zone)
        self.entries[name] = entry
        return entry

    async def async_gate(self, name: str) -> str:
        """Return the address at which an entry reaches the store."""
        self.gates[name] = "serving"

        async def async_handle(request: web.BaseRequest) -> web.StreamResponse:
            return await self._async_store(name, request)

        return await self._async_serve("127.0.0.1", async_handle)

    def set_gates(self, mode: str) -> None:
        """Let the store serve all entries, refuse them or not answer them."""
        for name in self.gates:
            self.gates[name] = mode
        self.record.write("store", machines="all", mode=mode)

    def settings_of(self, entry: Entry) -> dict[str, Any]:
        """Return the settings file of an entry."""
        return {
            "node": entry.name,
            "role": "entry",
            "machine-class": "edge",
            "serves": ["edge"],
            "ip": entry.ip,
            "zone": entry.zone,
            "region": "region-1",
            "zones": {e.zone: "region-1" for e in self.entries.values()},
            "listen": {"front": entry.front, "ready": entry.ready},
            "port-range": [entry.peer_port, entry.peer_port + 15],
            "seeds": [],
            "bootstrap": True,
            "in-tolerance": False,
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
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "recover",
                "sched",
                "platform",
                "advice",
                "upkeep",
                "sharing",
            ],
            "fault-tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "orders": "call",
            "advice": self._advice,
            "platform": {
                "address": entry.store_address,
                "form": "log",
                "writes-per-s": 600,
                "reads-per-s": 2000,
                "parts": 24,
                "append-ms": 1.0,
                "partition-mb-s": 20.0,
                "read-mb-s": 80.0,
                "record-bytes": RECORD_BYTES,
                "request-bytes": 2097152,
                "keep_s": 300,
                "max-partition-mb": 200,
                "ttl-min-ms": 1000,
            },
            "cloud": {
                "address": self._cloud,
                "rate-per-s": 64.0,
                "duties": [],
                "duty-per-s": 64.0,
            },
        }

    def scratch(self, name: str) -> Path:
        """Return a path in the case's temporary folder."""
        return Path(self._scratch.name) / name

    # The services of the platform.

    async def _async_store(
        self, gate: str, request: web.BaseRequest
    ) -> web.StreamResponse:
        if self.gates[gate] == "silent":
            await asyncio.sleep(SILENT_SECONDS)
        if self.gates[gate] != "serving":
            return web.Response(status=503)
        call = (request.method, request.path)
        if call == ("POST", "/mustardward/log-append"):
            body = await request.content.read(-1)
            status, answer = self.store.append(request.query, body)
            if self.lose_answers:
                await asyncio.sleep(SILENT_SECONDS)
            await asyncio.sleep(0.004)
            return json_response(answer, status)
        if call == ("GET", "/mustardward/log-read"):
            return web.Response(body=await self.store.async_read(request.query))
        if call == ("GET", "/mustardward/log-newest"):
            return json_response(self.store.read_newest(request.query))
        return web.Response(status=404)

    async def _async_cloud(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/mustardward/machines":
            names = (
                "machine",
                "pool",
                "state",
                "zone",
                "labels",
                "capacity",
                "id",
            )
            rows = [
                {name: row[name] for name in names if name in row}
                for row in self.machines.values()
            ]
            return json_response({"machines": rows, "next-token": None})
        order = json.loads(await request.content.read(-1))
        holder = request.headers["Mustardward-Lease-Holder"]
        fence = int(request.headers["Mustardward-Fencing-Token"])
        kind = request.path.rpartition("/")[2]
        reason = self._order(kind, order, fence)
        self.record.write(
            kind, holder=holder, fence=fence, refused=reason or "-", **order
        )
        if reason:
            return json_response({"reason": reason}, 409)
        return json_response({})

    def _order(self, kind: str, order: dict[str, Any], fence: int) -> str:
        row = self.machines[order["machine"]]
        if fence < row["fence"]:
            return "fence"
        row["fence"] = fence
        moves = kind == "machine-move"
        if moves and row["pool"] == order["pool"]:
            return ""
        if not moves and order["wave"] in row["waves"]:
            return ""
        if row["state"] != "up":
            return "busy"
        minion = self._minion_at(order["machine"])
        if minion is not None:
            self.crash(minion)
        if moves:
            row["pool"] = order["pool"]
        else:
            row["waves"].add(order["wave"])
        row["state"] = "moving" if moves else "upkeep"
        seconds = BOUNDS["move-s"] if moves else BOUNDS["maintenance-s"]
        asyncio.get_running_loop().call_later(seconds, self.boot, order["machine"])
        return ""

    async def _async_advise(self, request: web.BaseRequest) -> web.StreamResponse:
        order = json.loads(await request.content.read(-1))
        await asyncio.sleep(0.02)
        self.advised += 1
        allowed = []
        for name in order["workers"]:
            minion = self.minions.get(name)
            if minion is None:
                continue
            ticket = f"t-{order['step']}-{name}"
            minion.tickets.setdefault(order["step"], set()).add(ticket)
            allowed.append([name, ticket])
        self.record.write("advised", step=order["step"], allowed=len(allowed))
        return json_response({"allowed": allowed, "valid-ms": self.advice_valid_ms})

    # The minions.

    async def _async_minion(
        self, minion: Minion | None, request: web.BaseRequest
    ) -> web.StreamResponse:
        body = json.loads(await request.content.read(-1) or b"{}")
        if minion is None or minion.mode == "silent":
            await asyncio.sleep(SILENT_SECONDS)
            return web.Response(status=503)
        if request.headers.get("Mustardward-Expected-Instance") != minion.id:
            return json_response({"clock-ms": minion.clock_ms}, 421)
        kind = request.path.rpartition("/")[2]
        if kind == "run-start":
            if minion.late_starts:
                self._start_late(minion, body)
                await asyncio.sleep(SILENT_SECONDS)
            reason = self.start(minion, body)
        elif kind == "run-stop":
            reason = self._stop(minion, body)
        elif kind == "hold":
            return await self._async_hold(minion, body)
        else:
            reason = "" if self._accept(minion, body) else "fence"
        answer = {"clock-ms": minion.clock_ms}
        if reason:
            return json_response(answer | {"reason": reason}, 409)
        return json_response(answer)

    def _accept(self, minion: Minion, body: dict[str, Any]) -> bool:
        fence = body.get("fence", 0)
        minion.fence = max(minion.fence, fence)
        return bool(fence >= minion.fence)

    def _extend(self, minion: Minion, deadline_ms: float | None) -> None:
        if deadline_ms is not None:
            bounded = min(deadline_ms, minion.clock_ms + LEASE_MAX_MS)
            minion.lease_ms = max(minion.lease_ms, bounded)

    def _start_late(self, minion: Minion, body: dict[str, Any]) -> None:
        self.unanswered.append(minion)
        self.record.write(
            "start-unanswered", id=minion.id, task=body["task"], run=body["run"]
        )

        async def async_start() -> None:
            await asyncio.sleep(minion.late_starts)
            now = self._minion_at(minion.machine)
            if now is not None and now.id == minion.id:
                self.start(now, body, "late")

        task = asyncio.create_task(async_start())
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    def start(self, minion: Minion, body: dict[str, Any], note: str = "") -> str:
        """Carry out a start; return the reason of a refusal or an empty string."""
        reason = self._try_start(minion, body)
        self.record.write(
            "start",
            id=minion.id,
            task=body["task"],
            run=body["run"],
            fence=body.get("fence", 0),
            answer=reason or "200",
            note=note or "-",
        )
        return reason

    def _try_start(  # noqa: PLR0911 - one return for each answer of the pages
        self, minion: Minion, body: dict[str, Any]
    ) -> str:
        task, number = body["task"], body["run"]
        if not self._accept(minion, body):
            return "fence"
        present = minion.runs.get(task)
        if present is not None and present.number == number:
            return ""
        if number <= minion.highest.get(task, 0):
            self._extend(minion, body["deadline-ms"])
            return "old"
        if body["deadline-ms"] <= minion.clock_ms:
            return "late"
        step = task.rpartition(".")[0]
        if self.needs_ticket(task) and body.get("ticket") not in minion.tickets.get(
            step, set()
        ):
            return "ticket"
        job, _, step_number, _ = task.split(".")
        spec = self.jobs[job]["steps"][int(step_number)]
        cpu, mem_mb = spec.get("cpu", 0), spec.get("mem-mb", 0)
        used_cpu = sum(run.cpu for run in minion.runs.values())
        used_mem = sum(run.mem_mb for run in minion.runs.values())
        full = used_cpu + cpu > minion.cpu or used_mem + mem_mb > minion.mem_mb
        if full and minion.guards:
            self._extend(minion, body["deadline-ms"])
            return "room"
        if full:
            total = used_cpu + cpu
            self.record.write("over-capacity", id=minion.id, task=task, cpu=total)
        self._extend(minion, body["deadline-ms"])
        seconds = (
            self.unit_seconds(task)
            if self.unit_seconds is not None
            else spec.get("estimate-ms", 100) / 1000
        )
        if spec.get("long-running"):
            seconds = 1e6
        now = time.monotonic()
        how = self.unit_how(task, number)
        run = Run(task, number, cpu, mem_mb, now + seconds, how, None, now, seconds)
        run.lasts = spec.get("long-running", False)
        self.on_run("start", minion, run)
        minion.runs[task] = run
        if spec.get("gang"):
            run.gang, run.together = spec["count"], False
            self._gather(run)
        return ""

    def _members(self, run: Run) -> list[tuple[Minion, Run]]:
        """Return the present members of a run's gang."""
        step = run.task.rpartition(".")[0]
        return [
            (minion, other)
            for minion in self.minions.values()
            for other in minion.runs.values()
            if other.number == run.number and other.task.rpartition(".")[0] == step
        ]

    def _gather(self, run: Run) -> None:
        """Let a gang work from the moment when all its members are present."""
        members = self._members(run)
        if len(members) == run.gang:
            for _, other in members:
                other.together = True
                other.started_at = time.monotonic()
                other.ends_at = other.started_at + run.seconds

    def _stop(self, minion: Minion, body: dict[str, Any]) -> str:
        if not self._accept(minion, body):
            return "fence"
        task, number = body["task"], body["run"]
        self.record.write("stop", id=minion.id, task=task, run=number)
        run = minion.runs.get(task)
        if run is not None and run.number == number:
            if run.stops_at is None:
                run.stops_at = time.monotonic() + STOP_GRACE_MS / 1000
        else:
            minion.highest[task] = max(number, minion.highest.get(task, 0))
        return ""

    async def _async_hold(
        self, minion: Minion, body: dict[str, Any]
    ) -> web.StreamResponse:
        if not self._accept(minion, body):
            return json_response({"clock-ms": minion.clock_ms, "reason": "fence"}, 409)
        self._extend(minion, body.get("deadline-ms"))
        seen = body.get("seen-upto", 0)
        for row in minion.ended:
            if row[0] <= seen:
                self.on_noted(minion, row)
        minion.ended = [row for row in minion.ended if row[0] > seen]
        until = time.monotonic() + body.get("wait-ms", 0) / 1000
        while time.monotonic() < until and not minion.ended:  # noqa: ASYNC110
            await asyncio.sleep(TICK_SECONDS)
        if minion.mode == "silent" or self._minion_at(minion.machine) is not minion:
            await asyncio.sleep(SILENT_SECONDS)
        now = time.monotonic()
        running = []
        for run in minion.runs.values():
            total = max(0.001, run.ends_at - run.started_at)
            percent = min(99, int(100 * (now - run.started_at) / total))
            if run.lasts:
                percent = 100 if now - run.started_at > 0.15 else 0
            running.append([run.task, run.number, "", percent, run.cpu])
        return json_response(
            {
                "clock-ms": minion.clock_ms,
                "born": minion.born,
                "running": running,
                "ended": minion.ended[:500],
            }
        )

    async def _async_tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = time.monotonic()
            for minion in list(self.minions.values()):
                lapsed = minion.clock_ms > minion.lease_ms
                for run in list(minion.runs.values()):
                    if lapsed:
                        self._end(minion, run, "lapsed")
                    elif run.stops_at is not None and now >= run.stops_at:
                        self._end(minion, run, "stopped")
                    elif not run.together:
                        if now - run.started_at > BOUNDS["gang-timeout-ms"] / 1000:
                            self._end(minion, run, "alone")
                    elif now >= run.ends_at:
                        self._end(minion, run, run.how)

    def _end(self, minion: Minion, run: Run, how: str) -> None:
        if minion.runs.get(run.task) is not run:
            return
        if run.gang and run.together:
            for other_minion, other in self._members(run):
                if other is not run:
                    self._end_one(
                        other_minion, other, "done" if how == "done" else "broken"
                    )
        self._end_one(minion, run, how)

    def _end_one(self, minion: Minion, run: Run, how: str) -> None:
        del minion.runs[run.task]
        minion.highest[run.task] = max(run.number, minion.highest.get(run.task, 0))
        minion.ends += 1
        minion.ended.append([minion.ends, run.task, run.number, how, ""])
        self.record.write("end", id=minion.id, task=run.task, run=run.number, how=how)
        self.on_run(how, minion, run)

    # Consumers.

    async def async_call(
        self, method: str, entry: Entry, path: str, body: Any = None
    ) -> tuple[int, Any]:
        """Send one request of a consumer; return status and body, or 0."""
        assert self.client is not None
        if method == "POST":
            self.jobs[path.rpartition("/")[2]] = body
        try:
            async with self.client.request(
                method,
                f"http://{entry.front}{path}",
                data=encode(body) if body is not None else None,
                headers={
                    "Host": HOST,
                    "Content-Type": "application/json",
                    "Mustardward-Deadline-Ms": "3000",
                },
                timeout=aiohttp.ClientTimeout(total=3.5),
            ) as response:
                content = await response.read()
                answer = json.loads(content) if content else None
                status = response.status
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            answer, status = type(error).__name__, 0
        self.record.write(
            "consumer", call=method, entry=entry.name, path=path, status=status
        )
        return status, answer

    async def async_submit(self, path: str, body: Any, seconds: float = 20.0) -> bool:
        """Submit a job until it is accepted, at one entry after the other."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for entry in list(self.entries.values()):
                if not entry.alive:
                    continue
                status, _ = await self.async_call("POST", entry, path, body)
                if status == 200:
                    return True
            await asyncio.sleep(0.1)
        return False

    async def async_until_ready(self, entries: list[Entry], seconds: float) -> bool:
        """Wait until all these entries say that they are ready."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if all([await entry.async_is_ready() for entry in entries]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def async_start_entries(self, zones: dict[str, str]) -> list[Entry]:
        """Start entries, given with their zones, and wait until they are ready."""
        entries = [
            self.add_entry(name, number, zone)
            for number, (name, zone) in enumerate(zones.items(), start=1)
        ]
        for entry in entries:
            await entry.async_start()
        need(await self.async_until_ready(entries, 20.0), "entries never ready")
        until = time.monotonic() + 10.0
        while not self.owner() and time.monotonic() < until:  # noqa: ASYNC110
            await asyncio.sleep(0.1)
        need(bool(self.owner()), "no entry leads")
        return entries

    def owner(self) -> str:
        """Return the entry that took a lead last, by the entries' own log lines."""
        last, name = 0.0, ""
        for entry in self.entries.values():
            found = entry.last_line_at("owner_started")
            if found > last:
                last, name = found, entry.name
        return name

    async def async_close(self) -> None:
        """End all that was started here."""
        for entry in self.entries.values():
            entry.end()
        for task in [*self._tasks, *self._late]:
            task.cancel()
        if self.client is not None:
            await self.client.close()
        for runner in self._runners:
            try:
                await asyncio.wait_for(runner.cleanup(), 2.0)
            except TimeoutError:
                continue
        self.record.close()
        self._scratch.cleanup()


class Entry:
    """One entry: a process of the project on a loopback address of its own."""

    def __init__(self, rig: Rig, name: str, ip: str, zone: str) -> None:
        self.rig = rig
        self.name = name
        self.ip = ip
        self.zone = zone
        ports = free_ports(ip, 3)
        self.front = f"{ip}:{ports[0]}"
        self.ready = f"{ip}:{ports[1]}"
        self.peer_port = ports[2]
        self.store_address = ""
        self.process: subprocess.Popen[bytes] | None = None
        self.exits: list[int] = []
        self._log = rig.scratch(f"{name}.log")

    @property
    def alive(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    async def async_start(self) -> None:
        """Start the process with the command of the deploy file."""
        if not self.store_address:
            self.store_address = await self.rig.async_gate(self.name)
        settings = self.rig.scratch(f"{self.name}.json")
        settings.write_text(json.dumps(self.rig.settings_of(self)))
        variables = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        variables["MUSTARDWARD_BOOT"] = str(settings)
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(  # noqa: ASYNC220 - returns at once
                ["python3", "-m", "mustardward.node"],
                cwd=ROOT,
                env=variables,
                stdout=log,
                stderr=log,
            )
        self.rig.record.write("entry-starts", entry=self.name)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.rig.record.write("signal", entry=self.name, signal=number.name)
            self.process.send_signal(number)

    async def async_wait_exit(self, seconds: float) -> int | None:
        """Wait for the process to exit; return its status, or None."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            status = self.process.poll() if self.process is not None else 0
            if status is not None:
                self.rig.record.write("entry-exits", entry=self.name, status=status)
                return status
            await asyncio.sleep(0.05)
        return None

    async def async_is_ready(self) -> bool:
        """Return whether the entry says that it is ready."""
        assert self.rig.client is not None
        try:
            async with self.rig.client.get(
                f"http://{self.ready}/mustardward/readiness",
                timeout=aiohttp.ClientTimeout(total=1.0),
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    def lines(self, *words: str) -> list[str]:
        """Return the log lines that contain one of some words."""
        if not self._log.exists():
            return []
        text = self._log.read_text(errors="replace")
        return [line for line in text.splitlines() if any(w in line for w in words)]

    def count(self, word: str) -> int:
        """Return how many log lines contain a word."""
        return len(self.lines(word))

    def last_line_at(self, word: str) -> float:
        """Return the epoch of the last line with a word, as a measure of time."""
        found = self.lines(word)
        if not found:
            return 0.0
        for part in found[-1].split():
            if part.startswith("epoch="):
                return float(part.partition("=")[2])
        return 0.0

    def end(self) -> None:
        """Kill the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def encode(body: Any) -> bytes:
    """Return a consumer's body, without spaces."""
    return json.dumps(body, separators=(",", ":")).encode()


def json_response(body: Any, status: int = 200) -> web.Response:
    """Return a JSON response."""
    return web.Response(
        status=status,
        body=json.dumps(body).encode(),
        content_type="application/json",
    )


def free_ports(ip: str, count: int) -> list[int]:
    """Return free ports of an address."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for bound in sockets:
            bound.bind((ip, 0))
        return [int(bound.getsockname()[1]) for bound in sockets]
    finally:
        for bound in sockets:
            bound.close()


def route(name: str, prefix: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": prefix,
        "kind": "unsafe",
        "timeout-ms": 3000,
        "target-duration-ms": 600,
        "priority": 0,
        "service": service,
        "max-attempts": 3,
        "stretch": 1.6,
    } | more


def run_case(folder: Path, case: Callable[[Rig, bool], Awaitable[bool]]) -> None:
    """Play a case and exit: 0 if the rule held, 1 if it was broken, else 2."""
    logging.getLogger("aiohttp").setLevel(logging.CRITICAL)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = Path(os.environ.get("RECORD_FOLDER", folder))

    async def async_play() -> int:
        rig = Rig(folder)
        rig.record.write("case", folder=folder.name, trouble=trouble)
        try:
            await rig.async_start()
            held = await asyncio.wait_for(case(rig, trouble), 112.0)
            rig.record.write("verdict", held=held)
            return 0 if held else 1
        finally:
            await rig.async_close()

    try:
        status = asyncio.run(async_play())
    except Exception as error:  # noqa: BLE001
        print(f"the case could not run: {type(error).__name__}: {error}")
        status = 2
    sys.exit(status)
