"""Tie a store, workers and a fleet into one platform."""

from __future__ import annotations

import random
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

import msgspec

from ...components.ledger.const import PREFIX_JOB, TOPIC
from ...components.ledger.models import JobRecord
from ...platform.models import (
    INSTANCE_MOVING,
    INSTANCE_UP,
    INSTANCE_UPKEEP,
    Instance,
    Room,
)
from ...platform.names import REASON_BUSY, REASON_FENCE, REASON_WAVE
from ...platform.store import (
    KEY_CONFIG,
    KEY_WAVE_PREFIX,
    TOPIC_OPERATOR,
    TOPIC_WORKERS,
)
from .foreign import foreign_records
from .store import MemoryStore
from .worker import MemoryWorker, Work, draw_seconds

DOWN_SECONDS: Final = 0.5
"""How long an instance is away for a move or maintenance."""

FIRST_CLOCK_MS: Final = 10.0
"""What a worker's clock shows at its start."""

SPEC_FAILS: Final = "fails"
SPEC_CRASHES: Final = "crashes"
"""What a job names whose tasks all fail, or end the worker that starts them."""

_JOB: Final = msgspec.msgpack.Decoder(JobRecord)


@dataclass(frozen=True, slots=True)
class EstatePlan:
    """Hold how large a platform is.

    :param pools: names of the pools that serve.
    :param instances: instances in each of them.
    :param standby: instances that are off.
    :param guarded: whether workers refuse what their room does not hold.
    """

    pools: tuple[str, ...] = ("pool-a", "pool-b")
    instances: int = 2
    standby: int = 2
    cores: int = 8
    seed: int = 1
    guarded: bool = True

    @property
    def machines(self) -> int:
        """Return how many instances there are."""
        return len(self.pools) * self.instances + self.standby


@dataclass(slots=True, eq=False)
class _Machine:
    """Hold one instance."""

    name: str
    pool: str
    rack: str
    address: str
    state: str = INSTANCE_UP
    back_at: float = 0.0
    incarnation: int = 0
    worker: MemoryWorker | None = None
    maintained: set[int] = field(default_factory=set)
    token: int = 0


class Estate:
    """Play the platform.

    :param address: the ``host:port`` of its store and its fleet's calls.
    :param worker_hosts: the host of each instance, where its worker has the same port.
    """

    def __init__(
        self, plan: EstatePlan, address: str, worker_hosts: Sequence[str]
    ) -> None:
        self.store = MemoryStore()
        self.workers: dict[str, MemoryWorker] = {}
        self.work_of: dict[str, Work] = {}
        self.orders: list[tuple[str, str, str]] = []
        self.crashed: list[MemoryWorker] = []
        self._plan = plan
        self._address = address
        self._port = address.rpartition(":")[2]
        self._worker_hosts = worker_hosts
        self._random = random.Random(plan.seed)
        self._machines: dict[str, _Machine] = {}
        self._read_upto = 0
        self._versions = 0
        self._add_machines()

    @property
    def address(self) -> str:
        """Return where the store and the fleet are called."""
        return self._address

    def address_of(self, worker_id: str) -> str:
        """Return where a worker is called, or nothing if it is gone."""
        for machine in self._machines.values():
            if machine.worker is not None and machine.worker.id == worker_id:
                return machine.address
        return ""

    def publish_config(self, queues: dict[str, str], host: str) -> int:
        """Put a configuration in force.

        :param queues: the pool of each path prefix.
        """
        self._versions += 1
        pools = [*self._plan.pools, "standby"]
        body = {
            "version": self._versions,
            "routes": [
                {
                    "name": prefix.strip("/"),
                    "host": host,
                    "path-prefix": prefix,
                    "service": pool,
                    "target-duration-ms": 600,
                    "stretch": 1.6,
                }
                for prefix, pool in queues.items()
            ],
            "services": [{"name": p, "standby": p == "standby"} for p in pools],
            "limits": {},
        }
        record = (KEY_CONFIG, msgspec.json.encode(body))
        self.store.append(TOPIC_OPERATOR, [record])
        return self._versions

    def publish_wave(self, number: int, machines: list[str], max_count: int) -> None:
        """Ask for the maintenance of instances."""
        body = {
            "wave": number,
            "machines": machines,
            "duration-s": 20,
            "max-count": max_count,
        }
        record = (f"{KEY_WAVE_PREFIX}{number}", msgspec.json.encode(body))
        self.store.append(TOPIC_OPERATOR, [record])

    def write_foreign(self, seed: int, worker: str) -> None:
        """Write records that no worker wrote, one of them in a worker's place."""
        records = foreign_records(seed, worker)
        self.store.append(TOPIC_WORKERS, records)
        self.store.append(TOPIC_OPERATOR, foreign_records(seed, KEY_CONFIG))
        self.store.append(TOPIC, foreign_records(seed, f"{PREFIX_JOB}{seed:016x}"))

    def advance(self, now: float) -> None:
        """Let time pass: learn of jobs, and bring instances back."""
        self._learn_jobs()
        for machine in self._machines.values():
            if machine.state != INSTANCE_UP and now >= machine.back_at:
                machine.state = INSTANCE_UP
                self._boot(machine)
        for worker in list(self.workers.values()):
            worker.advance(now * 1000 - worker.clock_zero_ms)
            if worker.crashing:
                self.crashed.append(worker)
                self.crash(worker.id, now)

    def list_instances(self) -> list[Instance]:
        """Return the fleet's list."""
        return [
            Instance(
                machine=machine.name,
                pool=machine.pool,
                state=machine.state,
                zone="z1",
                labels=["a", machine.rack],
                capacity=Room(cpu=self._plan.cores * 1000, mem_mb=65536),
                id=machine.worker.id if machine.worker is not None else None,
            )
            for machine in self._machines.values()
        ]

    def move(self, name: str, pool: str, token: int, now: float) -> str:
        """Move an instance; return the reason of a refusal, or nothing."""
        machine = self._machines[name]
        if token < machine.token:
            return REASON_FENCE
        if machine.pool == pool:
            return ""
        if machine.state != INSTANCE_UP:
            return REASON_BUSY
        machine.token = token
        self.orders.append(("move", name, pool))
        machine.pool = pool
        self._take_down(machine, INSTANCE_MOVING, now)
        return ""

    def maintain(self, name: str, wave: int, token: int, now: float) -> str:
        """Maintain an instance; return the reason of a refusal, or nothing."""
        machine = self._machines[name]
        if token < machine.token:
            return REASON_FENCE
        if wave in machine.maintained:
            return ""
        if machine.state != INSTANCE_UP:
            return REASON_BUSY
        if wave < 1:
            return REASON_WAVE
        machine.token = token
        machine.maintained.add(wave)
        self.orders.append(("maintain", name, str(wave)))
        self._take_down(machine, INSTANCE_UPKEEP, now)
        return ""

    def crash(self, worker_id: str, now: float) -> None:
        """End a worker without a sign; its instance comes back as another one."""
        for machine in self._machines.values():
            if machine.worker is not None and machine.worker.id == worker_id:
                self._take_down(machine, "down", now)

    def restart(self, worker_id: str, now: float) -> MemoryWorker:
        """Start a worker's process again, at once and under its id.

        It runs nothing, has seen no token, and its clock and counts begin anew.
        """
        old = self.workers[worker_id]
        worker = MemoryWorker(
            worker_id,
            old.machine,
            old.pool,
            old.room,
            self.work_of,
            born=max(old.born + 1, time.time_ns() // 1_000_000),
            clock_zero_ms=now * 1000 - FIRST_CLOCK_MS,
            guards=old.guards,
        )
        machine = self._machines[old.machine]
        machine.worker = worker
        self.workers[worker_id] = worker
        self._announce(machine, worker)
        return worker

    def resize(self, worker_id: str, cores: int) -> None:
        """Change a worker's room while it runs."""
        worker = self.workers[worker_id]
        worker.room = Room(cpu=cores * 1000, mem_mb=worker.room.mem_mb)
        self._announce(self._machines[worker.machine], worker)

    def _add_machines(self) -> None:
        number = 0
        for pool in self._plan.pools:
            for _ in range(self._plan.instances):
                self._add_machine(number, pool)
                number += 1
        for _ in range(self._plan.standby):
            self._add_machine(number, "standby")
            number += 1

    def _add_machine(self, number: int, pool: str) -> None:
        address = f"{self._worker_hosts[number]}:{self._port}"
        machine = _Machine(f"m-{number:02d}", pool, f"r{number // 2}", address)
        self._machines[machine.name] = machine
        self._boot(machine)

    def _boot(self, machine: _Machine) -> None:
        if machine.pool == "standby":
            return
        machine.incarnation += 1
        worker_id = f"i-{machine.name}-{machine.incarnation}"
        room = Room(cpu=self._plan.cores * 1000, mem_mb=65536)
        worker = MemoryWorker(
            worker_id,
            machine.name,
            machine.pool,
            room,
            self.work_of,
            born=time.time_ns() // 1_000_000,
            guards=self._plan.guarded,
        )
        machine.worker = worker
        self.workers[worker_id] = worker
        self._announce(machine, worker)

    def _announce(self, machine: _Machine, worker: MemoryWorker) -> None:
        """Let a worker register itself."""
        entry = {
            "service": machine.pool,
            "address": machine.address,
            "zone": "z1",
            "state": "ready",
            "capacity": worker.room,
            "labels": ["a", machine.rack],
            "born": worker.born,
        }
        self.store.append(TOPIC_WORKERS, [(worker.id, msgspec.json.encode(entry))])

    def _take_down(self, machine: _Machine, state: str, now: float) -> None:
        machine.state = state
        machine.back_at = now + DOWN_SECONDS
        if machine.worker is not None:
            self.workers.pop(machine.worker.id, None)
            self.store.append(TOPIC_WORKERS, [(machine.worker.id, b"")])
            machine.worker = None

    def _learn_jobs(self) -> None:
        """Know each accepted job's tasks, as the platform does from callers."""
        for record in self.store.records_from(TOPIC, self._read_upto):
            self._read_upto = record.offset + 1
            if not record.key.startswith(PREFIX_JOB) or not record.value:
                continue
            job = _JOB.decode(record.value)
            for number, step in enumerate(job.steps):
                key = f"{job.id}.{number}"
                if key in self.work_of:
                    continue
                self.work_of[key] = Work(
                    Room(0 if step.fills else step.cpu, step.mem_mb, step.gpu),
                    draw_seconds(self._random, step.estimate_ms or 100),
                    step.long_running,
                    job.spec == SPEC_FAILS,
                    job.spec == SPEC_CRASHES,
                )
