"""Model the workers of a walk, their entries and the current owner."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from mustardward.components.ledger.ledger import LedgerJob
from mustardward.platform.models import (
    INSTANCE_UP,
    INSTANCE_UPKEEP,
    Instance,
    Room,
)

from .liveness_fleet import UPKEEP_SECONDS
from .liveness_jobs import POOL_A, POOL_B, QUOTAS
from .liveness_owner import Directory, Owner
from .liveness_world import ModelWorker, World

ENTRY_LAPSE_SECONDS: Final = 3.0
INSTANCE_DOWN: Final = "down"


@dataclass(frozen=True)
class Slot:
    """Describe a place for one worker at a time, which successive incarnations use."""

    service: str
    zone: str
    rack: str
    capacity: Room


def _slots() -> list[Slot]:
    room = Room(8000, 8000, 1)
    return [
        Slot(POOL_A, "z1", "r1", room),
        Slot(POOL_A, "z1", "r2", room),
        Slot(POOL_A, "z2", "r1", room),
        Slot(POOL_A, "z2", "r2", room),
        Slot(POOL_B, "z1", "r1", room),
        Slot(POOL_B, "z2", "r2", room),
        Slot(POOL_B, "z2", "r2", room),
    ]


def machine_name(number: int) -> str:
    """Return the machine of a slot."""
    return f"m{number}"


def machine_of(worker_id: str) -> str:
    """Return the machine of a worker, by the slot number in its id."""
    return machine_name(int(worker_id.removeprefix("w").partition(".")[0]))


class WorkerPoolModel:
    """Start and end model workers, and write their entries."""

    def __init__(self, world: World, slots: list[Slot] | None = None) -> None:
        self.world = world
        world.list_instances = self._list_instances
        world.begin_upkeep = self._begin_upkeep
        world.quotas.update(QUOTAS)
        self._rng = world.rng
        self._directory = Directory()
        self._slots = slots or _slots()
        self._in_upkeep: set[int] = set()
        self._workers_by_slot: dict[int, str] = {}
        self._incarnations = 1000
        self._writes_birth_times = self._rng.random() < 0.8
        self._jobs = 0
        self._owner: Owner | None = None
        self._pending: list[tuple[float, Callable[[], None]]] = []
        self._planned: list[tuple[float, Callable[[], None]]] = []

    def _schedule(self, seconds: float, call: Callable[[], None]) -> None:
        """Schedule a call, which is dropped if the faults stop first."""
        self._pending.append((self.world.now + seconds, call))

    def _run_pending(self) -> None:
        now = self.world.now
        due = [call for at, call in self._pending + self._planned if at <= now]
        self._pending = [(at, call) for at, call in self._pending if at > now]
        self._planned = [(at, call) for at, call in self._planned if at > now]
        for call in due:
            call()

    def _start_worker(self, number: int) -> None:
        """Start an incarnation with a new id in a slot."""
        self._start_incarnation(number, f"w{number}.{self._incarnations + 1}")

    def _start_incarnation(self, number: int, worker_id: str) -> None:
        slot = self._slots[number]
        self._incarnations += 1
        worker = ModelWorker(
            worker_id,
            self._incarnations if self._writes_birth_times else 0,
            slot.service,
            slot.zone,
            ("kind", slot.rack),
            slot.capacity,
            slot.service == POOL_A,
            self.world.now,
        )
        self.world.workers[worker_id] = worker
        self._workers_by_slot[number] = worker_id

    def _start_listed_worker(self, number: int) -> None:
        if number not in self._workers_by_slot and number not in self._in_upkeep:
            self._start_worker(number)
            self._write_entry(self._workers_by_slot[number])

    def _end_worker(self, worker: ModelWorker) -> None:
        del self.world.workers[worker.id]
        del self._workers_by_slot[self._slot_of(worker)]
        self._let_entry_lapse(worker.id)

    def _list_instances(self) -> list[Instance]:
        rows = []
        for number, slot in enumerate(self._slots):
            worker_id = self._workers_by_slot.get(number)
            state = INSTANCE_UP if worker_id else INSTANCE_DOWN
            rows.append(
                Instance(
                    machine_name(number),
                    slot.service,
                    INSTANCE_UPKEEP if number in self._in_upkeep else state,
                    slot.zone,
                    ["kind", slot.rack],
                    slot.capacity,
                    worker_id,
                )
            )
        return rows

    def _begin_upkeep(self, machine: str) -> None:
        """Maintain a machine, whose worker ends; the next one has another id."""
        number = int(machine.removeprefix("m"))
        if number in self._in_upkeep:
            return
        self._in_upkeep.add(number)
        worker = self.world.workers.get(self._workers_by_slot.get(number, ""))
        if worker is not None:
            del self.world.workers[worker.id]
            del self._workers_by_slot[number]
            self._let_entry_lapse(worker.id)

        def end() -> None:
            self._in_upkeep.discard(number)
            self._start_listed_worker(number)

        self._planned.append((self.world.now + UPKEEP_SECONDS, end))

    def _let_entry_lapse(self, worker_id: str) -> None:
        lapse_at = self.world.now + ENTRY_LAPSE_SECONDS
        self._planned.append((lapse_at, lambda: self._remove_entry(worker_id)))

    def _write_entry(self, worker_id: str) -> None:
        """Write a worker's entry, and have the owner read it if it changed."""
        worker = self.world.workers.get(worker_id)
        if worker is None:
            return
        entry = worker.entry(self.world.now)
        if self._directory.entries.get(worker_id) != entry:
            self._directory.entries[worker_id] = entry
            if self._owner is not None:
                self._owner.update_worker(worker_id, entry)

    def _remove_entry(self, worker_id: str) -> None:
        """Remove a worker's entry."""
        if self._directory.entries.pop(worker_id, None) is not None:
            if self._owner is not None:
                self._owner.mark_worker_missing(worker_id)

    def _set_cordoned(self, worker: ModelWorker, cordoned: bool) -> None:
        worker.cordoned = cordoned
        if self._owner is not None:
            self._owner.set_cordoned(machine_of(worker.id), worker.id, cordoned)

    def _choose_worker(self) -> ModelWorker:
        return self._rng.choice(list(self.world.workers.values()))

    def _slot_of(self, worker: ModelWorker) -> int:
        return next(
            n
            for n, worker_id in self._workers_by_slot.items()
            if worker_id == worker.id
        )

    def _submit_job(self, job: LedgerJob) -> None:
        self._jobs += 1
        self.world.jobs[job.record.id] = job
        if self._owner is not None:
            now = self.world.now
            self._owner.scheduler.add_job(job, now, now)
            self._owner.wake()

    def _stop_faults(self) -> None:
        """Stop all faults and repair their effects."""
        self.world.faults_enabled = False
        self._pending.clear()
        self.world.delayed_calls = [
            (-math.inf, call) for _, call in self.world.delayed_calls
        ]
        if self._owner is not None:
            self._owner.list_available = True
            self._owner.authorised = True
        self._repair_workers()
        self._repair_entries()

    def _repair_workers(self) -> None:
        for worker in list(self.world.workers.values()):
            worker.unreachable = False
            if worker.draining:
                self._end_worker(worker)
            else:
                slot = self._slots[self._slot_of(worker)]
                worker.capacity = slot.capacity
                self._set_cordoned(worker, False)
        for number in range(len(self._slots)):
            if number not in self._workers_by_slot and number not in self._in_upkeep:
                self._start_worker(number)

    def _repair_entries(self) -> None:
        for worker_id in list(self._directory.entries):
            if worker_id not in self.world.workers:
                self._remove_entry(worker_id)
        for worker_id in self.world.workers:
            self._write_entry(worker_id)
