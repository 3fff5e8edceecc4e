"""Minions that run work units under leases, fence numbers and gangs."""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from aiohttp import web

from .advice import Advice
from .record import Record

HOLD_MAX_MS = 10_000
STOP_GRACE_MS = 200
GANG_TIMEOUT_MS = 3_000
CHECKPOINT_MS = 500
ENDS_LISTED = 500
START_UP_SECONDS = 0.7
TICK_SECONDS = 0.01


@dataclass
class Work:
    """What the work units of one step do.

    :param seconds: time that a unit works; of one that lasts, until it fails.
    :param fails: whether a run of a unit on a minion ends ``failed``.
    """

    cpu: int
    mem_mb: int
    seconds: float
    count: int = 1
    gang: bool = False
    saves: bool = False
    lasts: bool = False
    fails: Callable[[str, int, str], bool] = lambda task, run, minion: False


@dataclass
class Start:
    """A start that a minion has begun."""

    at: float
    task: str
    run: int
    minion: str
    checkpoint: str


@dataclass
class End:
    """An end that a minion lists.

    :param noted_at: when ``seen-upto`` reached it.
    """

    at: float
    task: str
    run: int
    how: str
    minion: str
    number: int
    noted_at: float | None = None


@dataclass
class Run:
    """One run of a work unit."""

    task: str
    number: int
    work: Work
    present_at: float
    began_at: float | None
    stops_at: float | None = None

    @property
    def step(self) -> str:
        """Return the name of the step that the unit belongs to."""
        return self.task.rpartition(".")[0]


@dataclass
class Minion:
    """One life of a minion."""

    id: str
    machine: str
    service: str
    zone: str
    rack: str
    address: str
    cpu: int
    mem_mb: int
    estate: Minions
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    zero: float = field(default_factory=lambda: time.monotonic() - 1.0)
    fence: int = 0
    lease_ms: float = 0.0
    runs: dict[str, Run] = field(default_factory=dict)
    ends: list[list[object]] = field(default_factory=list)
    all_ends: list[End] = field(default_factory=list)
    noted: int = 0
    ended_runs: dict[str, int] = field(default_factory=dict)
    numbered: int = 0
    used_cpu: int = 0
    used_mem: int = 0

    def clock_ms(self) -> float:
        """Return the minion's own steady clock."""
        return round((time.monotonic() - self.zero) * 1000, 3)

    def entry(self, seq: int) -> dict[str, object]:
        """Return the minion's entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": "ready",
            "cold-left-ms": 0,
            "seq": seq,
            "capacity": {"cpu": self.cpu, "mem-mb": self.mem_mb, "gpu": 0},
            "labels": ["a", self.rack],
            "born": self.born,
        }

    def call(
        self, path: str, order: dict[str, object]
    ) -> tuple[int, dict[str, object]]:
        """Carry out an order; return the status and the body of its answer."""
        clock = self.clock_ms()
        fence = int(str(order.get("fence", 0)))
        if fence < self.fence:
            return 409, {"clock-ms": clock, "reason": "fence"}
        self.fence = fence
        if path.endswith("/run-start"):
            return self._start(order, clock)
        if path.endswith("/run-stop"):
            self._stop(str(order["task"]), int(str(order["run"])))
        return 200, {"clock-ms": clock}

    def extend(self, deadline_ms: object, clock: float) -> None:
        """Extend the lease of all that runs; it never shortens."""
        until = min(float(str(deadline_ms)), clock + HOLD_MAX_MS)
        self.lease_ms = max(self.lease_ms, until)

    def _start(self, order: dict[str, object], clock: float) -> tuple[int, dict]:
        task, number = str(order["task"]), int(str(order["run"]))
        running = self.runs.get(task)
        if running is not None and running.number == number:
            self.extend(order["deadline-ms"], clock)
            return 200, {"clock-ms": clock}
        reason = ""
        work = self.estate.work_of(task)
        if number <= self.ended_runs.get(task, 0) or running is not None:
            reason = "old"
        elif not self.estate.has_ticket(self, task, str(order.get("ticket", ""))):
            reason = "ticket"
        elif float(str(order["deadline-ms"])) <= clock:
            reason = "late"
        elif self.used_cpu + work.cpu > self.cpu:
            reason = "room"
        elif self.used_mem + work.mem_mb > self.mem_mb:
            reason = "room"
        if reason in ("", "old", "room"):
            self.extend(order["deadline-ms"], clock)
        if reason:
            return 409, {"clock-ms": clock, "reason": reason}
        now = time.monotonic()
        run = Run(task, number, work, now, None if work.gang else now)
        self.runs[task] = run
        self.used_cpu += work.cpu
        self.used_mem += work.mem_mb
        self.estate.record_start(self, run, str(order.get("last-checkpoint", "")))
        return 200, {"clock-ms": clock}

    def _stop(self, task: str, number: int) -> None:
        run = self.runs.get(task)
        if run is not None and run.number == number:
            run.stops_at = run.stops_at or time.monotonic() + STOP_GRACE_MS / 2000
        else:
            self.ended_runs[task] = max(number, self.ended_runs.get(task, 0))

    def saved(self, run: Run) -> str:
        """Return the newest checkpoint of a run: 16 characters, as on the page."""
        if not run.work.saves or run.began_at is None:
            return ""
        steps = int((time.monotonic() - run.began_at) * 1000 / CHECKPOINT_MS)
        job = run.task.partition(".")[0]
        return f"{steps * CHECKPOINT_MS:08x}{job[8:]}" if steps else ""

    def percent(self, run: Run) -> float:
        """Return how much of a run is done."""
        if run.began_at is None:
            return 0
        elapsed = time.monotonic() - run.began_at
        if run.work.lasts:
            return 100 if elapsed >= START_UP_SECONDS else 0
        return round(min(99.9, 100 * elapsed / run.work.seconds), 1)

    def end(self, run: Run, how: str) -> None:
        """End a run and list its end."""
        self.numbered += 1
        self.ends.append([self.numbered, run.task, run.number, how, self.saved(run)])
        self.ended_runs[run.task] = max(run.number, self.ended_runs.get(run.task, 0))
        del self.runs[run.task]
        self.used_cpu -= run.work.cpu
        self.used_mem -= run.work.mem_mb
        end = End(time.monotonic(), run.task, run.number, how, self.id, self.numbered)
        self.all_ends.append(end)
        self.estate.record_end(end)

    def note(self, seen: int) -> None:
        """Forget the ends up to a number, which the system has taken note of."""
        now = time.monotonic()
        for end in self.all_ends[self.noted : seen]:
            end.noted_at = now
        self.noted = max(self.noted, min(seen, self.numbered))
        self.ends = [row for row in self.ends if int(str(row[0])) > seen]

    def lists(self) -> dict[str, object]:
        """Return what runs and what has ended."""
        running = [
            [run.task, run.number, self.saved(run), self.percent(run), run.work.cpu]
            for run in self.runs.values()
        ]
        ends = self.ends[:ENDS_LISTED]
        clock = self.clock_ms()
        return {"clock-ms": clock, "running": running, "ended": ends, "born": self.born}


class Minions:
    """All minions, and what the work units of each step do."""

    def __init__(self, record: Record, quiet: bool = False) -> None:
        self.minions: dict[str, Minion] = {}
        self.works: dict[str, Work] = {}
        self.starts: list[Start] = []
        self.ends: list[End] = []
        self.advice: Advice | None = None
        self._record = record
        self.quiet = quiet

    def has_ticket(self, minion: Minion, task: str, ticket: str) -> bool:
        """Return whether a start carries a valid ticket, where one is needed."""
        if self.advice is None:
            return True
        return self.advice.is_valid(task.rpartition(".")[0], minion.id, ticket)

    def add(self, minion: Minion) -> None:
        """Add a minion."""
        self.minions[minion.id] = minion

    def work_of(self, task: str) -> Work:
        """Return what a work unit does."""
        job, _, step, _ = task.split(".")
        return self.works[f"{job}.{step}"]

    def record_start(self, minion: Minion, run: Run, checkpoint: str) -> None:
        """Record a start."""
        start = Start(time.monotonic(), run.task, run.number, minion.id, checkpoint)
        self.starts.append(start)
        if not self.quiet:
            self._record.add(
                "start",
                task=run.task,
                run=run.number,
                minion=minion.id,
                checkpoint=checkpoint,
            )

    def record_end(self, end: End) -> None:
        """Record an end."""
        self.ends.append(end)
        if not self.quiet:
            self._record.add(
                "end", task=end.task, run=end.run, how=end.how, minion=end.minion
            )

    def running(self) -> Counter[str]:
        """Return how many work units of each job run."""
        return Counter(
            task.partition(".")[0] for m in self.minions.values() for task in m.runs
        )

    async def advance_forever(self) -> None:
        """Let time pass on all minions."""
        while True:
            self.advance()
            await asyncio.sleep(TICK_SECONDS)

    def advance(self) -> None:
        """End what is due, and begin gangs that are complete."""
        now = time.monotonic()
        gangs: dict[tuple[str, int], list[tuple[Minion, Run]]] = {}
        for minion in self.minions.values():
            lapsed = minion.clock_ms() > minion.lease_ms
            for run in list(minion.runs.values()):
                if lapsed:
                    minion.end(run, "lapsed")
                elif run.stops_at is not None and now >= run.stops_at:
                    minion.end(run, "stopped")
                elif run.work.gang:
                    gangs.setdefault((run.step, run.number), []).append((minion, run))
                elif run.began_at is not None:
                    if now >= run.began_at + run.work.seconds:
                        minion.end(run, self._how(minion, run))
        for members in gangs.values():
            self._advance_gang(members, now)

    def _how(self, minion: Minion, run: Run) -> str:
        failed = run.work.fails(run.task, run.number, minion.id)
        return "failed" if failed else "done"

    def _advance_gang(self, members: list[tuple[Minion, Run]], now: float) -> None:
        work = members[0][1].work
        began = members[0][1].began_at
        if began is None:
            self._assemble(members, now)
        elif len(members) < work.count:
            for minion, run in members:
                minion.end(run, "broken")
        elif now >= began + work.seconds:
            how = [self._how(minion, run) for minion, run in members]
            for (minion, run), own in zip(members, how, strict=True):
                failed = "failed" in how
                minion.end(run, own if own == "failed" or not failed else "broken")

    def _assemble(self, members: list[tuple[Minion, Run]], now: float) -> None:
        for minion, run in members:
            if len(members) == run.work.count:
                run.began_at = now
            elif now >= run.present_at + GANG_TIMEOUT_MS / 1000:
                minion.end(run, "alone")

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse | None:
        """Answer an order, or return None if it is not one."""
        if not request.path.startswith("/mustardward/"):
            return None
        if request.path.rpartition("/")[2] not in (
            "run-start",
            "run-stop",
            "hold",
            "pace",
        ):
            return None
        order = json.loads(await request.read())
        minion = self.minions.get(
            request.headers.get("Mustardward-Expected-Instance", "")
        )
        if minion is None:
            return web.Response(status=421)
        if request.path.endswith("/hold"):
            return await self._hold(minion, order)
        status, answer = minion.call(request.path, order)
        return web.Response(
            status=status,
            text=json.dumps(answer),
            content_type="application/json",
        )

    async def _hold(self, minion: Minion, order: dict[str, object]) -> web.Response:
        status, answer = minion.call("/hold", order)
        if status != 200:
            text = json.dumps(answer)
            return web.Response(status=status, text=text)
        if order.get("deadline-ms") is not None:
            minion.extend(order["deadline-ms"], minion.clock_ms())
        seen = int(str(order.get("seen-upto", 0)))
        minion.note(seen)
        until = time.monotonic() + int(str(order.get("wait-ms", 0))) / 1000
        while time.monotonic() < until:
            if minion.ends:
                break
            await asyncio.sleep(TICK_SECONDS)
        if int(str(order.get("fence", 0))) < minion.fence:
            body = {"clock-ms": minion.clock_ms(), "reason": "fence"}
            return web.Response(status=409, text=json.dumps(body))
        return web.Response(
            text=json.dumps(minion.lists()), content_type="application/json"
        )
