"""Play one run: jobs, the loss of the owner and what happens beside it."""

from __future__ import annotations

import asyncio
import random
import signal
from collections import defaultdict
from collections.abc import Coroutine
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Final

from rig import Entry, need, route

from .network import Cut, CutMode
from .platform import PLATFORM, Platform

ZONES: Final = ("z1", "z1", "z1", "z0", "z0", "z2", "z2")
WORKERS_PER_ZONE: Final = 4
CPU: Final = 3000
TASK_CPU: Final = 1000
LOAD: Final = 0.6
TASK_SECONDS: Final = (0.3, 1.5)
LONG_SECONDS: Final = (1.5, 7.0)
LONG_SHARE: Final = 0.1
RECUT_LONG_SECONDS: Final = (4.0, 12.0)
RECUT_LONG_SHARE: Final = 0.6
TASKS: Final = (3, 8)
OWNER_WAIT_SECONDS: Final = 5.0
WARM_UP_SECONDS: Final = 8.0
TAIL_SECONDS: Final = 9.0
FINISH_SECONDS: Final = 6.0
NEXT_LOSS_SECONDS: Final = 7.3
LATE_SHARES: Final = {"run-start": 0.1, "hold": 0.1}
SAME_ID_SHARE: Final = 0.5
RETRY_SECONDS: Final = 0.2
EXIT_SECONDS: Final = 10.0
RECUT_DOWN_SECONDS: Final = (0.3, 1.0)
RECUT_ENTRY_DELAY_SECONDS: Final = (0.0, 0.5)
RECUT_AFTER_SECONDS: Final = (0.0, 1.5)
RECUT_SECONDS: Final = (3.0, 10.0)
RECUT_PLATFORM_SHARE: Final = 0.5
RECUT_LOSS_SECONDS: Final = (-0.5, 0.5)
RECUT_JOBS: Final = 12
RECUT_JOB_SECONDS: Final = (-0.2, 1.0)
DRAWN_EXTRAS: Final = {
    "second": "the owner is lost a second time",
    "pauses": "four other entries are paused for a second",
    "restarts": "six workers restart, half of them under their ids",
    "late": "a tenth of the starts and polls are executed or answered late",
    "jitter": "what a cut has kept arrives spread over half its length",
    "long": "a tenth of the tasks are longer",
    "backlog": "jobs wait when the owner is lost",
    "reborn": "six workers restart under their ids as the loss ends",
}
"""What happens beside the loss, drawn by default."""

EXTRAS: Final = DRAWN_EXTRAS | {
    "near": "workers near the owner restart under their ids as the loss begins",
    "series": "the owner is lost four times",
    "recut": "workers of a data centre restart under their ids before the loss, and "
    "are cut off soon after they are back; most tasks are long",
}
"""All extras; those that are not drawn have to be named."""

BACKLOG_JOBS: Final = 15
EXTRA_SHARE: Final = 0.4


class Loss(StrEnum):
    """How an owner is lost.

    It is paused, cut off with its data centre, alone or from the store only, or it
    ends by SIGTERM or SIGKILL and starts again.
    """

    PAUSE = "pause"
    ZONE = "zone"
    ALONE = "alone"
    STORE = "store"
    RELEASE = "release"
    KILL = "kill"


DRAWN_LOSSES: Final = (Loss.PAUSE, Loss.ZONE, Loss.ALONE, Loss.STORE)
ENDING_SIGNALS: Final = {Loss.RELEASE: signal.SIGTERM, Loss.KILL: signal.SIGKILL}


@dataclass(frozen=True)
class Plan:
    """One run.

    :param seconds: how long the owner is lost.
    """

    seed: int
    loss: Loss
    mode: CutMode
    seconds: float
    extras: frozenset[str]


def draw_plan(
    seed: int, loss: str, mode: str, extras: str | None, seconds: float | None
) -> Plan:
    """Return the plan of a seed; what is given is not drawn."""
    rng = random.Random(seed)
    drawn_loss, drawn_mode = rng.choice(DRAWN_LOSSES), rng.choice(list(CutMode))
    drawn_seconds = round(rng.uniform(4.0, 16.0), 2)
    names = frozenset(name for name in DRAWN_EXTRAS if rng.random() < EXTRA_SHARE)
    if extras is not None:
        names = frozenset(filter(None, extras.split(",")))
    return Plan(
        seed,
        Loss(loss or drawn_loss),
        CutMode(mode or drawn_mode),
        seconds or drawn_seconds,
        names,
    )


class Play:
    """One run of a plan."""

    def __init__(self, plan: Plan, platform: Platform) -> None:
        self._plan = plan
        self._platform = platform
        self._rng = random.Random(plan.seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self._losses: list[asyncio.Task[None]] = []
        self._accepted = 0

    def _begin(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        return task

    async def async_run(self) -> str:
        """Play the run; return its figures."""
        await self._async_set_up()
        jobs = self._begin(self._async_send_jobs())
        await asyncio.sleep(WARM_UP_SECONDS + self._rng.random())
        if "backlog" in self._plan.extras:
            for _ in range(BACKLOG_JOBS):
                self._begin(self._async_send_job())
            await asyncio.sleep(self._rng.uniform(0.03, 0.4))
        self._begin_extras()
        await asyncio.gather(*self._losses)
        await asyncio.sleep(TAIL_SECONDS)
        jobs.cancel()
        await asyncio.sleep(FINISH_SECONDS)
        for task in self._tasks:
            task.cancel()
        return self._figures()

    async def _async_set_up(self) -> None:
        platform = self._platform
        platform.unit_seconds = self._task_seconds
        await platform.async_start()
        self._begin(platform.async_watch_leases())
        for zone in sorted(set(ZONES)):
            for number in range(WORKERS_PER_ZONE):
                name = f"m-{zone}-{number}"
                await platform.async_add_minion(name, "batch", zone, zone, CPU)
        slack = {"stretch": 3.0, "target-duration-ms": 3000}
        platform.put_config(1, [route("batch", "/batch/", "batch", **slack)])
        for number, zone in enumerate(ZONES, start=1):
            platform.add_entry(f"entry-{number}", number, zone)
        entries = list(platform.entries.values())
        await platform.async_connect()
        for entry in entries:
            await entry.async_start()
        need(await platform.async_until_ready(entries, 30.0), "entries never ready")
        await self._async_wait_for_owner()

    async def _async_wait_for_owner(self) -> None:
        """Wait until an entry has logged that it is the owner."""
        loop = asyncio.get_running_loop()
        until = loop.time() + OWNER_WAIT_SECONDS
        while not self._platform.owner():
            need(loop.time() < until, "no entry owns the shard")
            await asyncio.sleep(RETRY_SECONDS)

    def _task_seconds(self, task: str) -> float:
        rng = random.Random(f"{self._plan.seed}.{task}")
        if "recut" in self._plan.extras and rng.random() < RECUT_LONG_SHARE:
            return rng.uniform(*RECUT_LONG_SECONDS)
        is_long = "long" in self._plan.extras and rng.random() < LONG_SHARE
        return rng.uniform(*(LONG_SECONDS if is_long else TASK_SECONDS))

    async def _async_send_jobs(self) -> None:
        slots = len(self._platform.machines) * CPU / TASK_CPU
        seconds = sum(TASK_SECONDS) / 2
        if "recut" in self._plan.extras:
            seconds += RECUT_LONG_SHARE * (sum(RECUT_LONG_SECONDS) / 2 - seconds)
        rate = LOAD * slots / (seconds * sum(TASKS) / 2)
        while True:
            await asyncio.sleep(self._rng.expovariate(rate))
            self._begin(self._async_send_job())

    async def _async_send_job(self, after: float = 0.0) -> None:
        await asyncio.sleep(after)
        count = self._rng.randint(*TASKS)
        first = self._rng.randint(1, count - 1)
        task = {"cpu": TASK_CPU, "mem-mb": 64, "estimate-ms": 900}
        steps = [task | {"count": first}, task | {"count": count - first, "after": [0]}]
        path = f"/batch/{self._rng.getrandbits(64):016x}"
        body = {"spec": "work", "steps": steps}
        status = 0
        while status != 200:
            entry = self._rng.choice(list(self._platform.entries.values()))
            status, _ = await self._platform.async_call("POST", entry, path, body)
            await asyncio.sleep(RETRY_SECONDS)
        self._accepted += 1

    def _begin_extras(self) -> None:
        extras, platform = self._plan.extras, self._platform
        losses = 4 if "series" in extras else 2 if "second" in extras else 1
        for number in range(losses):
            after = number * NEXT_LOSS_SECONDS
            if "recut" in extras:
                after = self._begin_recut(after)
            self._losses.append(self._begin(self._async_lose_owner(after)))
        if "pauses" in extras:
            others = [
                e for e in platform.entries.values() if e.name != platform.owner()
            ]
            for entry in self._rng.sample(others, 4):
                after = self._rng.uniform(0.0, self._plan.seconds + 2.0)
                self._begin(self._async_pause(entry, after, self._rng.uniform(1, 1.4)))
        if "late" in extras:
            platform.late_shares = LATE_SHARES
        self._begin_restarts()

    def _begin_restarts(self) -> None:
        extras, platform = self._plan.extras, self._platform
        if "restarts" in extras:
            for machine in self._rng.sample(list(platform.machines), 6):
                after = self._rng.uniform(0.3, self._plan.seconds)
                down = self._rng.uniform(0.5, 4.0)
                self._begin(self._async_restart(machine, after, down))
        if "near" in extras:
            zone = platform.entries[platform.owner()].zone
            near = [m for m, row in platform.machines.items() if row["zone"] == zone]
            for machine in near[1:]:
                after, down = self._rng.uniform(0, 0.5), self._rng.uniform(0.6, 2.5)
                self._begin(self._async_restart(machine, after, down, True))
        if "reborn" in extras:
            for machine in self._rng.sample(list(platform.machines), 6):
                down = self._rng.uniform(1.0, 3.0)
                after = self._plan.seconds - down + self._rng.uniform(-0.3, 0.05)
                self._begin(self._async_restart(machine, after, down, True))

    async def _async_pause(self, entry: Entry, after: float, seconds: float) -> None:
        await asyncio.sleep(after)
        entry.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        entry.send(signal.SIGCONT)

    async def _async_restart(
        self, machine: str, after: float, down: float, same_id: bool = False
    ) -> None:
        await asyncio.sleep(after)
        platform = self._platform
        minion = platform.minions.get(platform.machines[machine].get("id", ""))
        if minion is None:
            return
        platform.crash(minion)
        await asyncio.sleep(down)
        is_same = same_id or self._rng.random() < SAME_ID_SHARE
        platform.boot(machine, minion.id if is_same else "")

    def _begin_recut(self, after: float) -> float:
        """Recut the workers of a data centre; return when the owner is lost."""
        rng, platform = self._rng, self._platform
        zone = rng.choice(ZONES)
        machines = frozenset(
            name for name, row in platform.machines.items() if row["zone"] == zone
        )
        down = rng.uniform(*RECUT_DOWN_SECONDS)
        back_at = after + down
        for machine in sorted(machines):
            self._begin(self._async_restart(machine, after, down, True))
        for _ in range(RECUT_JOBS):
            job_at = back_at + rng.uniform(*RECUT_JOB_SECONDS)
            self._begin(self._async_send_job(job_at))
        self._begin(self._async_delay_entries(machines, after, down))
        outside = frozenset(platform.entries)
        if rng.random() < RECUT_PLATFORM_SHARE:
            outside |= {PLATFORM}
        cut = Cut(machines, outside, self._plan.mode)
        cut_at = back_at + rng.uniform(*RECUT_AFTER_SECONDS)
        self._begin(self._async_cut(cut, cut_at, rng.uniform(*RECUT_SECONDS)))
        return max(0.0, cut_at + rng.uniform(*RECUT_LOSS_SECONDS))

    async def _async_delay_entries(
        self, machines: frozenset[str], after: float, down: float
    ) -> None:
        """Let restarted workers write their entries a little after they are back."""
        delay = self._rng.uniform(*RECUT_ENTRY_DELAY_SECONDS)
        unlisted = Cut(machines, frozenset({PLATFORM}), self._plan.mode)
        await self._async_cut(unlisted, after, down + delay)
        self._platform.register_machines(sorted(machines))

    async def _async_cut(self, cut: Cut, after: float, seconds: float) -> None:
        await asyncio.sleep(after)
        platform = self._platform
        platform.network.begin(cut)
        inside = ",".join(sorted(cut.inside))
        platform.record.write("CUT", inside=inside, store=PLATFORM in cut.outside)
        await asyncio.sleep(seconds)
        platform.network.end(cut)
        platform.record.write("JOINED", inside=inside)

    async def _async_lose_owner(self, after: float) -> None:
        await asyncio.sleep(after)
        platform, plan = self._platform, self._plan
        owner = platform.entries[platform.owner()]
        platform.record.write("LOST", owner=owner.name, zone=owner.zone)
        if plan.loss is Loss.PAUSE:
            await self._async_pause(owner, 0.0, plan.seconds)
        elif plan.loss in ENDING_SIGNALS:
            owner.send(ENDING_SIGNALS[plan.loss])
            await owner.async_wait_exit(EXIT_SECONDS)
            await asyncio.sleep(plan.seconds)
            await owner.async_start()
        else:
            await self._async_cut(self._cut_for(owner), 0.0, plan.seconds)
        platform.record.write("BACK", owner=owner.name)

    def _cut_for(self, owner: Entry) -> Cut:
        plan, platform = self._plan, self._platform
        zones = {name: entry.zone for name, entry in platform.entries.items()}
        if plan.loss is not Loss.STORE:
            zones |= {name: row["zone"] for name, row in platform.machines.items()}
        inside = {owner.name}
        if plan.loss is Loss.ZONE:
            inside = {name for name, zone in zones.items() if zone == owner.zone}
        outside = {PLATFORM, *zones} - inside
        jitter = plan.seconds / 2 if "jitter" in plan.extras else 0.0
        return Cut(frozenset(inside), frozenset(outside), plan.mode, jitter)

    def _figures(self) -> str:
        judge = self._platform.judge
        zones: dict[str, set[str]] = defaultdict(set)
        for task, started_in in judge.starts.items():
            zones[task.partition(".")[0]].update(started_in)
        counts = judge.finish() | {
            "accepted": self._accepted,
            "begun": len(zones),
            "over_zones": sum(len(names) > 1 for names in zones.values()),
            "starts": sum(map(len, judge.starts.values())),
            "again": sum(len(names) > 1 for names in judge.starts.values()),
        }
        return " ".join(f"{name}={value}" for name, value in counts.items())
