"""Combine the store, the workers and the fleet into one simulated platform."""

from __future__ import annotations

import math
import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Final, TypeVar

import msgspec

from ...components.ledger.const import PREFIX_JOB, TOPIC
from ...components.ledger.models import JobRecord
from ...platform.exceptions import CallUnknownError
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
from .worker import MemoryWorker, Workload, sample_run_seconds

T = TypeVar("T")

DOWN_SECONDS: Final = 0.5
"""Downtime of an instance for a move or maintenance."""

FIRST_CLOCK_MS: Final = 10.0
"""Time of a worker's clock at its start."""

SPEC_FAILS: Final = "fails"
SPEC_CRASHES: Final = "crashes"
"""Specs of jobs whose tasks all fail, or crash the worker that starts them."""

_JOB: Final = msgspec.msgpack.Decoder(JobRecord)


@dataclass(frozen=True, slots=True)
class EstatePlan:
    """Size of a simulated platform.

    :param pools: names of the serving pools.
    :param instances: number of instances per pool.
    :param standby: number of instances that are off.
    :param enforce_capacity: whether workers refuse tasks beyond their capacity.
    """

    pools: tuple[str, ...] = ("pool-a", "pool-b")
    instances: int = 2
    standby: int = 2
    cores: int = 8
    seed: int = 1
    enforce_capacity: bool = True

    @property
    def machines(self) -> int:
        """Return the total number of instances."""
        return len(self.pools) * self.instances + self.standby


@dataclass(slots=True, eq=False)
class _Machine:
    """State of an instance."""

    name: str
    pool: str
    rack: str
    address: str
    state: str = INSTANCE_UP
    available_at: float = 0.0
    incarnation: int = 0
    worker: MemoryWorker | None = None
    maintained: set[int] = field(default_factory=set)
    token: int = 0


class Estate:
    """The simulated platform.

    :param address: ``host:port`` of the store and the fleet API.
    :param worker_hosts: host of each instance's worker, on the same port.

    ``shown_states`` holds the states that the list shows instead of the actual ones, by
    machine.
    """

    def __init__(
        self, plan: EstatePlan, address: str, worker_hosts: Sequence[str]
    ) -> None:
        self.store = MemoryStore()
        self.workers: dict[str, MemoryWorker] = {}
        self.workloads: dict[str, Workload] = {}
        self.orders: list[tuple[str, str, str]] = []
        self.crashed: list[MemoryWorker] = []
        self.shown_states: dict[str, str] = {}
        self._delayed_calls: list[tuple[float, Callable[[], object]]] = []
        self._plan = plan
        self._address = address
        self._port = address.rpartition(":")[2]
        self._worker_hosts = worker_hosts
        self._random = random.Random(plan.seed)
        self._machines: dict[str, _Machine] = {}
        self._read_upto = 0
        self._versions = 0
        self._add_planned_machines()

    @property
    def address(self) -> str:
        """Return the ``host:port`` of the store and the fleet API."""
        return self._address

    def address_of(self, worker_id: str) -> str:
        """Return the address of a worker, or an empty string if it is gone."""
        for machine in self._machines.values():
            if machine.worker is not None and machine.worker.id == worker_id:
                return machine.address
        return ""

    def publish_config(self, queues: dict[str, str], host: str) -> int:
        """Publish a configuration and return its version.

        :param queues: pool by path prefix.
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
        """Publish a maintenance wave for instances."""
        body = {
            "wave": number,
            "machines": machines,
            "duration-s": 20,
            "max-count": max_count,
        }
        record = (f"{KEY_WAVE_PREFIX}{number}", msgspec.json.encode(body))
        self.store.append(TOPIC_OPERATOR, [record])

    def write_foreign_records(self, seed: int, worker: str) -> None:
        """Append invalid records of another writer, one under the worker's key."""
        records = foreign_records(seed, worker)
        self.store.append(TOPIC_WORKERS, records)
        self.store.append(TOPIC_OPERATOR, foreign_records(seed, KEY_CONFIG))
        self.store.append(TOPIC, foreign_records(seed, f"{PREFIX_JOB}{seed:016x}"))

    def advance(self, now: float) -> None:
        """Advance the simulation: load new jobs, run tasks and restore instances."""
        self._load_jobs()
        due = [call for at, call in self._delayed_calls if at <= now]
        self._delayed_calls = [(at, c) for at, c in self._delayed_calls if at > now]
        for call in due:
            call()
        for machine in self._machines.values():
            if machine.state != INSTANCE_UP and now >= machine.available_at:
                machine.state = INSTANCE_UP
                self._boot(machine)
        for worker in list(self.workers.values()):
            worker.advance(now * 1000 - worker.clock_zero_ms)
            if worker.crashing:
                self.crashed.append(worker)
                self.crash(worker.id, now)

    def execute(self, worker: MemoryWorker, call: Callable[[], T], now: float) -> T:
        """Execute a call to a worker, and return its result.

        :raises CallUnknownError: if it gets no response: it was executed, or will be
            after the worker's delay, unless the worker is gone by then.
        """
        if worker.delay_seconds:
            self._delayed_calls.append(
                (now + worker.delay_seconds, lambda: self._execute_late(worker, call))
            )
            raise CallUnknownError("executed later")
        result = call()
        if worker.loses_answers:
            raise CallUnknownError("answer lost")
        return result

    def _execute_late(self, worker: MemoryWorker, call: Callable[[], object]) -> None:
        if self.workers.get(worker.id) is worker:
            call()

    def list_instances(self) -> list[Instance]:
        """Return the instance list of the fleet."""
        return [
            Instance(
                machine=machine.name,
                pool=machine.pool,
                state=self.shown_states.get(machine.name, machine.state),
                zone="z1",
                labels=["a", machine.rack],
                capacity=Room(cpu=self._plan.cores * 1000, mem_mb=65536),
                id=machine.worker.id if machine.worker is not None else None,
            )
            for machine in self._machines.values()
        ]

    def move(self, name: str, pool: str, token: int, now: float) -> str:
        """Move an instance; return the reason of a refusal or an empty string."""
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
        """Maintain an instance; return the reason of a refusal or an empty string."""
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

    def crash(self, worker_id: str, now: float, for_good: bool = False) -> None:
        """Crash a worker; its instance returns with a new worker id.

        :param for_good: whether the instance never returns.
        """
        for machine in self._machines.values():
            if machine.worker is not None and machine.worker.id == worker_id:
                self._take_down(machine, "down", now)
                if for_good:
                    machine.available_at = math.inf

    def restart(self, worker_id: str, now: float) -> MemoryWorker:
        """Restart a worker's process immediately under the same id.

        It has no runs and no fencing token, and its clock and counters restart.
        """
        old = self.workers[worker_id]
        worker = MemoryWorker(
            worker_id,
            old.machine,
            old.pool,
            old.capacity,
            self.workloads,
            started_at_ms=max(old.started_at_ms + 1, time.time_ns() // 1_000_000),
            clock_zero_ms=now * 1000 - FIRST_CLOCK_MS,
            enforces_capacity=old.enforces_capacity,
        )
        machine = self._machines[old.machine]
        machine.worker = worker
        self.workers[worker_id] = worker
        self._register_worker(machine, worker)
        return worker

    def resize(self, worker_id: str, cores: int) -> None:
        """Change the capacity of a running worker."""
        worker = self.workers[worker_id]
        worker.capacity = Room(cpu=cores * 1000, mem_mb=worker.capacity.mem_mb)
        self._register_worker(self._machines[worker.machine], worker)

    def _add_planned_machines(self) -> None:
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
        capacity = Room(cpu=self._plan.cores * 1000, mem_mb=65536)
        worker = MemoryWorker(
            worker_id,
            machine.name,
            machine.pool,
            capacity,
            self.workloads,
            started_at_ms=time.time_ns() // 1_000_000,
            enforces_capacity=self._plan.enforce_capacity,
        )
        machine.worker = worker
        self.workers[worker_id] = worker
        self._register_worker(machine, worker)

    def _register_worker(self, machine: _Machine, worker: MemoryWorker) -> None:
        """Write the registration of a worker."""
        entry = {
            "service": machine.pool,
            "address": machine.address,
            "zone": "z1",
            "state": "ready",
            "capacity": worker.capacity,
            "labels": ["a", machine.rack],
            "born": worker.started_at_ms,
        }
        self.store.append(TOPIC_WORKERS, [(worker.id, msgspec.json.encode(entry))])

    def _take_down(self, machine: _Machine, state: str, now: float) -> None:
        machine.state = state
        machine.available_at = now + DOWN_SECONDS
        if machine.worker is not None:
            self.workers.pop(machine.worker.id, None)
            self.store.append(TOPIC_WORKERS, [(machine.worker.id, b"")])
            machine.worker = None

    def _load_jobs(self) -> None:
        """Load the workloads of newly accepted jobs from the ledger."""
        for record in self.store.records_from(TOPIC, self._read_upto):
            self._read_upto = record.offset + 1
            if not record.key.startswith(PREFIX_JOB) or not record.value:
                continue
            job = _JOB.decode(record.value)
            for number, step in enumerate(job.steps):
                key = f"{job.id}.{number}"
                if key in self.workloads:
                    continue
                self.workloads[key] = Workload(
                    Room(0 if step.fills else step.cpu, step.mem_mb, step.gpu),
                    sample_run_seconds(self._random, step.estimate_ms or 100),
                    step.long_running,
                    job.spec == SPEC_FAILS,
                    job.spec == SPEC_CRASHES,
                )
