"""Replay demand peaks on the pure scheduler and pool planner, beside two baselines.

``python -m bench.pool_sizing`` prints for each case the instance seconds, the share of
jobs on time and the moves of the pool planner, of a planner by threshold, and of one
that knows all work beforehand. ``--without POLICY`` switches a policy off. Time is
driven, so that a seed gives the same figures each time.
"""

from __future__ import annotations

import argparse
import heapq
import time
from collections import Counter
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Final

from absl import logging

from bench.pool_load import (
    CASES,
    LONG_RUNNING_TASKS,
    MEMORY_MB,
    QUEUES,
    STRETCH,
    DrawnJob,
    Load,
    build_workload,
    draw,
)
from mustardward.components.fleet.cordons import find_cordoned, is_cordoned
from mustardward.components.fleet.models import FleetView, Move
from mustardward.components.fleet.models import Load as WorkerLoad
from mustardward.components.fleet.order_budget import OrderBudget
from mustardward.components.fleet.pool_planner import PoolPlanner
from mustardward.components.ledger.ledger import LedgerJob
from mustardward.components.ledger.models import JobRecord
from mustardward.components.reports.bound import (
    compute_lower_bound,
    simulate_threshold,
)
from mustardward.components.scheduling.commands import Start
from mustardward.components.scheduling.demand import measure
from mustardward.components.scheduling.losses import LossCause
from mustardward.components.scheduling.models import QueuePolicy
from mustardward.components.scheduling.scheduler import Scheduler
from mustardward.helpers.policies import switch_off
from mustardward.platform.models import (
    INSTANCE_UP,
    Instance,
    Room,
    SubmittedStep,
    WorkerEntry,
)
from mustardward.platform.workers import EndedTask, TaskName, WorkerReport

STANDBY: Final = "standby"
POOL_INSTANCES: Final = 37
STANDBY_INSTANCES: Final = 28
FIRST_INSTANCES: Final = 12
"""Instances that each pool has at the start; the others are on standby."""

PLAN_SECONDS: Final = 0.05
PLANS_PER_TICK: Final = 2
PLANS_PER_LIST: Final = 8
MOVE_SECONDS: Final = 1.5
CONTACT_SECONDS: Final = 0.2
ORDERS_PER_SECOND: Final = 50.0
LOSS_KNOWN_SECONDS: Final = 1.0


@dataclass(slots=True)
class Machine:
    """Hold an instance: its pool, and from when on it is up there.

    :param worker: id of its worker, or an empty string while the scheduler has none.
    """

    name: str
    rack: str
    pool: str
    up_at: float = 0.0
    worker: str = ""
    boots: int = 0
    lost: bool = False


@dataclass(slots=True)
class Figures:
    """Hold the figures of one planner in one replay."""

    planner: str
    seconds: float
    share: float
    moves: int
    tick_milliseconds: float = 0.0


class Replay:
    """Play callers, workers and the platform for the scheduler and the planner."""

    def __init__(self, load: Load) -> None:
        policies = {
            queue.pool: QueuePolicy(queue.pool, queue.priority, 3, STRETCH, 0.6)
            for queue in QUEUES
        }
        self.instance_seconds = 0.0
        self.moves = 0
        self.tick_seconds: list[float] = []
        self.history: list[Counter[str]] = []
        self._load = load
        self._scheduler = Scheduler(1, policies.get)
        self._planner = PoolPlanner(MOVE_SECONDS, OrderBudget(ORDERS_PER_SECOND))
        self._machines = _build_machines(load)
        self._drawn: dict[str, DrawnJob] = {}
        self._next = 0
        self._ends: list[tuple[float, int, str, TaskName]] = []
        self._numbers: Counter[str] = Counter()
        self._instances: dict[str, Instance] = {}
        self._read_at = 0.0
        self._lost_workers: list[str] = []
        self._submit_long_running()

    def run(self) -> None:
        """Play the whole case."""
        rack_lost_at = self._load.case.rack_lost_at
        for plan in range(int(self._load.case.seconds / PLAN_SECONDS)):
            now = plan * PLAN_SECONDS
            if rack_lost_at <= now < rack_lost_at + PLAN_SECONDS:
                self._lose_rack()
            if now >= rack_lost_at + LOSS_KNOWN_SECONDS:
                self._remove_lost(now)
            self._boot(now)
            self._submit(now)
            self._end(now)
            if plan % PLANS_PER_LIST == 0:
                self._read_list(now)
            if plan % PLANS_PER_TICK == 0:
                self._tick(now)
            self._plan(now)
            self.instance_seconds += PLAN_SECONDS * sum(self.history[-1].values())

    def _submit_long_running(self) -> None:
        for pool, limits in self._load.spreads.items():
            cpu = int(self._load.long_cores[pool] * 1000)
            for limit in limits:
                step = SubmittedStep(
                    LONG_RUNNING_TASKS,
                    cpu,
                    100,
                    max_per_server=limit,
                    may_miss=limit,
                    long_running=True,
                )
                self._add(f"{pool}-{limit}", pool, [step], 0.0)

    def _add(self, name: str, pool: str, steps: list[SubmittedStep], at: float) -> None:
        record = JobRecord(name, pool, pool, "x", steps, 0, 0.0, 0.0, at)
        self._scheduler.add_job(LedgerJob(record), at, at)
        self._scheduler.mark_stored([name])

    def _submit(self, now: float) -> None:
        jobs = self._load.jobs
        while self._next < len(jobs) and jobs[self._next].trace.submitted_at <= now:
            drawn = jobs[self._next]
            name = f"{self._next:016x}"
            self._drawn[name] = drawn
            self._next += 1
            steps = [
                SubmittedStep(
                    len(step.seconds),
                    int(step.resources.cores * 1000),
                    int(step.resources.memory),
                    estimate_ms=seconds * 1000,
                    after=list(step.after),
                )
                for step, seconds in zip(
                    drawn.trace.steps, drawn.declared_seconds, strict=True
                )
            ]
            self._add(name, drawn.trace.service, steps, now)

    def _boot(self, now: float) -> None:
        for machine in self._machines:
            if machine.pool == STANDBY or machine.worker or machine.lost:
                continue
            if now >= machine.up_at + CONTACT_SECONDS:
                machine.boots += 1
                machine.worker = f"{machine.name}/{machine.boots}"
                room = Room(self._load.worker_cores * 1000, MEMORY_MB)
                labels = ["a", machine.rack]
                entry = WorkerEntry(machine.pool, "a:1", "a", "ready", room, labels)
                self._scheduler.update_worker(machine.worker, entry, now)
                report = WorkerReport(0, [], [])
                self._scheduler.apply_worker_report(machine.worker, report, now, now)

    def _end(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            _, run, worker, name = heapq.heappop(self._ends)
            state = self._scheduler.state.workers.get(worker)
            if state is None or worker in self._lost_workers:
                continue
            self._numbers[worker] += 1
            ended = EndedTask(self._numbers[worker], name, run, "done", "")
            self._scheduler.reports.apply_end(state, ended, now)

    def _plan(self, now: float) -> None:
        for command in self._scheduler.plan(now, now):
            if isinstance(command, Start):
                self._start(command, now)
        for job_id, progress in self._scheduler.take_dirty(now, now):
            if progress.state.final and job_id in self._drawn:
                self._drawn[job_id].done_at = now

    def _start(self, start: Start, now: float) -> None:
        self._scheduler.reports.start_answered(start.task, start.run, "", now)
        name = start.task.name
        drawn = self._drawn.get(name.job)
        if drawn is not None:
            took = drawn.trace.steps[name.step].seconds[name.index]
            heapq.heappush(self._ends, (now + took, start.run, start.worker, name))

    def _read_list(self, now: float) -> None:
        self._read_at = now
        room = Room(self._load.worker_cores * 1000, MEMORY_MB)
        for machine in self._machines:
            is_up = now >= machine.up_at and not machine.lost
            self._instances[machine.name] = Instance(
                machine.name,
                machine.pool,
                INSTANCE_UP if is_up else "down",
                "a",
                ["a", machine.rack],
                room,
                machine.worker or None,
            )

    def _tick(self, now: float) -> None:
        state = self._scheduler.state
        started_at = time.perf_counter()
        loads = measure(state, now)
        moves = self._planner.decide(self._view(), loads, set(), now)
        self.tick_seconds.append(time.perf_counter() - started_at)
        for move in moves:
            self._move(move, now)
        orders = self._planner.orders.values()
        incoming = Counter(order.pool for order in orders)
        state.incoming_cpu = {
            pool: count * self._load.worker_cores * 1000
            for pool, count in incoming.items()
        }
        cordoned = find_cordoned((), orders)
        for worker in state.workers.values():
            self._scheduler.set_cordoned(worker.id, is_cordoned(worker, cordoned), now)
        self.history.append(
            Counter(
                machine.pool
                for machine in self._machines
                if machine.pool != STANDBY and not machine.lost and machine.up_at <= now
            )
        )

    def _view(self) -> FleetView:
        loads = {}
        for worker in self._scheduler.state.workers.values():
            lasting = sum(t.step.spec.long_running for t in worker.tasks.values())
            loads[worker.id] = WorkerLoad(lasting, len(worker.tasks) - lasting)
        pools = frozenset(queue.pool for queue in QUEUES)
        standby = frozenset({STANDBY})
        instances = dict(self._instances)
        return FleetView(instances, loads, standby, pools, self._read_at)

    def _move(self, move: Move, now: float) -> None:
        machine = self._machines[int(move.machine[1:])]
        if machine.lost:
            self._planner.record_refused(move.machine)
            return
        self._planner.record_accepted(move.machine, now)
        if machine.worker:
            self._scheduler.remove_worker(machine.worker, LossCause.ORDERED, now)
        machine.worker = ""
        machine.pool = move.pool
        machine.up_at = now + MOVE_SECONDS
        self.moves += 1

    def _lose_rack(self) -> None:
        pool = QUEUES[self._load.case.peaks[-1].queue].pool
        racks = Counter(m.rack for m in self._machines if m.pool == pool and m.worker)
        for machine in self._machines:
            if machine.rack == max(racks, key=lambda rack: racks[rack]):
                machine.lost = True
                if machine.worker:
                    self._lost_workers.append(machine.worker)

    def _remove_lost(self, now: float) -> None:
        for worker in self._lost_workers:
            self._scheduler.remove_worker(worker, LossCause.UNLISTED, now)
        self._lost_workers.clear()


def _build_machines(load: Load) -> list[Machine]:
    """Return the fleet; each rack has instances of one pool or of standby at first."""
    count = POOL_INSTANCES * len(QUEUES) + STANDBY_INSTANCES
    machines = [
        Machine(f"m{number:03d}", f"r{number // load.rack_size}", STANDBY)
        for number in range(count)
    ]
    for number, queue in enumerate(QUEUES):
        first = number * POOL_INSTANCES
        for machine in machines[first : first + FIRST_INSTANCES]:
            machine.pool = queue.pool
    return machines


def replay(case: int, seed: int, spread: float, without: Iterable[str]) -> Figures:
    """Return the figures of the pool planner in one case."""
    switch_off(without)
    load = draw(CASES[case], seed, spread)
    played = Replay(load)
    played.run()
    share = sum(job.in_time for job in load.jobs) / len(load.jobs)
    milliseconds = 1000 * sum(played.tick_seconds) / len(played.tick_seconds)
    return Figures(
        "planner", played.instance_seconds, share, played.moves, milliseconds
    )


def baselines(case: int, seed: int, spread: float) -> list[Figures]:
    """Return the figures of the baselines in one case."""
    workload = build_workload(draw(CASES[case], seed, spread))
    results = (compute_lower_bound(workload), simulate_threshold(workload))
    return [
        Figures(
            result.name, result.instance_seconds, result.share_in_time, result.moves
        )
        for result in results
    ]


def play(task: tuple[int, int, float, tuple[str, ...]]) -> list[Figures]:
    """Return the figures of all planners in one case."""
    logging.set_verbosity(logging.ERROR)
    case, seed, spread, without = task
    return [*baselines(case, seed, spread), replay(case, seed, spread, without)]


def main() -> None:
    """Print the mean figures of all cases."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--spread", type=float, default=0.3)
    parser.add_argument("--case", default="")
    parser.add_argument("--without", action="append", default=[])
    options = parser.parse_args()
    without = tuple(options.without)
    with ProcessPoolExecutor(2) as executor:
        for number, case in enumerate(CASES):
            if options.case not in ("", case.name):
                continue
            tasks = [
                (number, seed, options.spread, without) for seed in range(options.seeds)
            ]
            _print_case(case.name, list(executor.map(play, tasks)))


def _print_case(name: str, played: list[list[Figures]]) -> None:
    known = sum(figures[0].seconds for figures in played)
    for rows in zip(*played, strict=True):
        count = len(rows)
        seconds = sum(row.seconds for row in rows)
        print(
            f'case={name} planner="{rows[0].planner}"'
            f" instance_seconds={seconds / count:.0f}"
            f" of_known={seconds / known:.2f}"
            f" share_in_time={sum(row.share for row in rows) / count:.3f}"
            f" worst_share={min(row.share for row in rows):.3f}"
            f" moves={sum(row.moves for row in rows) / count:.0f}"
            f" tick_ms={sum(row.tick_milliseconds for row in rows) / count:.2f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
