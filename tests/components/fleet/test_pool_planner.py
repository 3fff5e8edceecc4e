"""Test the moves of instances between pools and standby."""

from __future__ import annotations

from dataclasses import replace

from mustardward.components.fleet.const import (
    IDLE_TIMEOUT_SECONDS,
    MIN_POOL_INSTANCES,
    TARGET_UTILISATION,
)
from mustardward.components.fleet.models import Load, Move
from mustardward.components.fleet.order_budget import OrderBudget
from mustardward.components.fleet.pool_planner import PoolPlanner
from mustardward.components.scheduling.demand import PoolLoad
from mustardward.components.scheduling.inflow import Amount
from mustardward.platform.models import Instance, Room

from .builders import CORES, OTHER, POOL, STANDBY, a_load, a_view, an_instance

MOVE_SECONDS = 1.5


def two_pools_of_four() -> list[Instance]:
    first = [an_instance(number, POOL) for number in range(4)]
    second = [an_instance(number, OTHER) for number in range(4, 8)]
    standby = [an_instance(number, STANDBY) for number in range(8, 12)]
    return first + second + standby


def a_full_load() -> PoolLoad:
    """Return a load that needs more than four instances, and at most six."""
    return a_load(cores=24.0, waiting=8.0, seconds=32.0)


def test_a_full_pool_takes_idle_instances_of_others_before_standby_ones() -> None:
    planner = PoolPlanner(MOVE_SECONDS)
    view = a_view(two_pools_of_four(), {f"i-0{n}": Load(0, 5) for n in range(4)})
    moves = planner.decide(view, {POOL: a_full_load()}, set(), 0.0)
    assert {move.pool for move in moves} == {POOL}
    assert {move.machine for move in moves} <= {"m-04", "m-05", "m-06", "m-07"}
    assert moves


def test_a_demand_peak_takes_the_whole_surplus() -> None:
    """Check that a demand of five times a pool gets what other pools do not need.

    Load pattern: one pool needs four times its instances, the other one is idle.
    """
    planner = PoolPlanner(MOVE_SECONDS)
    view = a_view(two_pools_of_four(), {f"i-0{n}": Load(0, 5) for n in range(4)})
    load = a_load(cores=32.0, waiting=60.0, seconds=60.0)
    moves = planner.decide(view, {POOL: load}, set(), 0.0)
    moved = {move.machine for move in moves}
    assert len(moved & {"m-04", "m-05", "m-06", "m-07"}) == 4 - MIN_POOL_INSTANCES
    assert {"m-08", "m-09", "m-10", "m-11"} <= moved


def test_an_accepted_move_is_not_ordered_again() -> None:
    planner = PoolPlanner(MOVE_SECONDS)
    view = a_view(two_pools_of_four(), {f"i-0{n}": Load(0, 5) for n in range(4)})
    loads = {POOL: a_full_load()}
    first = planner.decide(view, loads, set(), 0.0)
    assert first
    for move in first:
        planner.record_accepted(move.machine, 0.0)
    assert planner.decide(view, loads, set(), 0.1) == []


def test_an_unconfirmed_worker_is_not_moved() -> None:
    planner = PoolPlanner(MOVE_SECONDS)
    fleet = two_pools_of_four()[:8]
    view = a_view(fleet, {f"i-0{n}": Load(0, 5) for n in range(4)})
    for number in range(4, 8):
        del view.loads[f"i-0{number}"]
    assert planner.decide(view, {POOL: a_full_load()}, set(), 0.0) == []


def test_a_worker_with_a_long_running_task_is_not_moved() -> None:
    planner = PoolPlanner(MOVE_SECONDS)
    busy = {f"i-0{n}": Load(0, 5) for n in range(4)}
    long_running = {f"i-0{n}": Load(1, 0) for n in range(4, 8)}
    view = a_view(two_pools_of_four()[:8], {**busy, **long_running})
    assert planner.decide(view, {POOL: a_full_load()}, set(), 0.0) == []


def test_idle_instances_beyond_the_minimum_go_to_standby() -> None:
    planner = PoolPlanner(MOVE_SECONDS)
    view = a_view(two_pools_of_four())
    assert planner.decide(view, {}, set(), 0.0) == []
    moves = planner.decide(view, {}, set(), IDLE_TIMEOUT_SECONDS + 0.1)
    assert {move.pool for move in moves} == {STANDBY}
    assert len(moves) == 8 - 2 * MIN_POOL_INSTANCES


def test_an_instance_held_for_maintenance_is_not_moved() -> None:
    planner = PoolPlanner(MOVE_SECONDS)
    view = a_view(two_pools_of_four())
    planner.decide(view, {}, {"m-00"}, 0.0)
    moves = planner.decide(view, {}, {"m-00"}, IDLE_TIMEOUT_SECONDS + 0.1)
    assert "m-00" not in {move.machine for move in moves}


def test_a_move_of_unknown_outcome_is_repeated() -> None:
    planner = PoolPlanner(MOVE_SECONDS)
    view = a_view(two_pools_of_four(), {f"i-0{n}": Load(0, 5) for n in range(4)})
    loads = {POOL: a_full_load()}
    first = planner.decide(view, loads, set(), 0.0)
    assert first
    assert planner.decide(view, loads, set(), 0.4) == [
        Move(move.machine, move.pool) for move in first
    ]


def test_a_moving_instance_counts_though_its_row_is_unreadable() -> None:
    """Guard against a second instance for the same need."""
    planner = PoolPlanner(MOVE_SECONDS)
    fleet = [an_instance(n, POOL if n < 2 else STANDBY) for n in range(8)]
    load = a_load(cores=1.0, spread=3)
    view = replace(a_view(fleet), pools=frozenset({POOL}))
    (move,) = planner.decide(view, {POOL: load}, set(), 0.0)
    planner.record_accepted(move.machine, 0.1)
    rest = {i.machine: i for i in fleet if i.machine != move.machine}
    view = replace(view, instances=rest, read_at=0.4, complete=False)
    assert planner.decide(view, {POOL: load}, set(), 0.4) == []


def test_a_limit_of_tasks_for_each_worker_gets_enough_workers() -> None:
    """Guard against long-running tasks that wait forever beside standby instances.

    A step of four tasks allows one on each worker, and its pool has two workers with
    the capacity for all four. Capacity alone would need no more workers.
    """
    planner = PoolPlanner(MOVE_SECONDS)
    fleet = [an_instance(n, POOL if n < 2 else STANDBY) for n in range(8)]
    load = a_load(cores=1.0, spread=4)
    moves = planner.decide(a_view(fleet), {POOL: load}, set(), 0.0)
    assert [move.pool for move in moves].count(POOL) == 2


def test_work_that_is_limited_by_memory_gets_workers_for_its_memory() -> None:
    planner = PoolPlanner(MOVE_SECONDS)
    fleet = [an_instance(n, POOL if n < 2 else STANDBY) for n in range(8)]
    load = PoolLoad(long_running=Amount(cpu=1000, mem_mb=4 * 8000 * TARGET_UTILISATION))
    moves = planner.decide(a_view(fleet), {POOL: load}, set(), 0.0)
    assert [move.pool for move in moves].count(POOL) == 2


def test_maintained_instances_are_moved_and_others_go_to_standby() -> None:
    """Guard against a wave whose remaining instances are mostly busy."""
    planner = PoolPlanner(MOVE_SECONDS)
    standby = [an_instance(n, STANDBY) for n in range(4)]
    on = [an_instance(n, POOL) for n in range(4, 8)]
    maintenance_due = frozenset({"m-00", "m-01", "m-04", "m-06"})
    view = replace(a_view([*standby, *on[:2]]), maintenance_due=maintenance_due)
    lent = planner.decide(view, {}, set(), 0.0)
    assert {move.machine for move in lent} == {"m-02", "m-03"}
    planner = PoolPlanner(MOVE_SECONDS)
    view = replace(a_view(on), pools=frozenset({POOL}), maintenance_due=maintenance_due)
    planner.decide(view, {}, set(), 0.0)
    sent = planner.decide(view, {}, set(), IDLE_TIMEOUT_SECONDS + 0.1)
    assert {move.machine for move in sent} == {"m-04", "m-06"}


def test_a_starting_peak_gets_instances_before_its_work_waits() -> None:
    """Load pattern: nothing waits yet, and the arrival rate needs 3.4 instances.

    Two instances have room for 1.7 of them. When others arrive, after 1.9 s, 3.2
    instance seconds wait. Seven more shorten the wait to 0.3 s within 0.3 s.
    """
    planner = PoolPlanner(MOVE_SECONDS)
    fleet = [an_instance(n, POOL if n < 2 else STANDBY) for n in range(16)]
    inflow = Amount(cpu=4 * 8000 * TARGET_UTILISATION)
    load = PoolLoad(inflow=inflow)
    load.profile.add(inflow, 5.0)
    moves = planner.decide(a_view(fleet), {POOL: load}, set(), 0.0)
    assert [move.pool for move in moves].count(POOL) == 7


def test_an_unusable_worker_does_not_count_for_its_pool() -> None:
    """Guard against tasks that wait though the list shows enough instances."""
    planner = PoolPlanner(MOVE_SECONDS)
    fleet = [an_instance(n, POOL if n < 4 else STANDBY) for n in range(8)]
    load = a_load(cores=1.0, spread=4)
    view = replace(a_view(fleet), pools=frozenset({POOL}), unusable=frozenset({"i-00"}))
    moves = planner.decide(view, {POOL: load}, set(), 0.0)
    assert [move.pool for move in moves] == [POOL]


def test_moves_of_a_large_fleet_stay_within_the_order_rate() -> None:
    """Guard against refused orders: of 1,600 orders at once, 1,550 are refused.

    Load pattern: a demand peak ends, and a whole pool goes to standby.
    """
    planner = PoolPlanner(MOVE_SECONDS, OrderBudget(orders_per_second=50.0))
    fleet = [an_instance(number, POOL) for number in range(400)]
    view = a_view([*fleet, an_instance(400, STANDBY)])
    planner.decide(view, {}, set(), 0.0)
    ordered = []
    for tick in range(20):
        now = IDLE_TIMEOUT_SECONDS + 0.1 * (tick + 1)
        ordered.append(planner.decide(view, {}, set(), now))
    assert len(ordered[0]) <= 50
    assert max(len(moves) for moves in ordered[1:]) <= 5
    machines = [move.machine for moves in ordered for move in moves]
    assert len(machines) > 80
    for moves in ordered:
        for move in moves:
            planner.record_accepted(move.machine, IDLE_TIMEOUT_SECONDS)
    assert set(machines) == set(planner.orders)


def test_a_suspected_job_gets_an_additional_instance() -> None:
    """Guard against a wait for an idle worker in a pool of sufficient capacity."""
    first = [an_instance(number, POOL) for number in range(MIN_POOL_INSTANCES)]
    second = [an_instance(number, OTHER) for number in range(4, 4 + MIN_POOL_INSTANCES)]
    view = a_view([*first, *second, an_instance(8, STANDBY)])
    load = a_load(cores=2.0)
    assert PoolPlanner(MOVE_SECONDS).decide(view, {POOL: load}, set(), 0.0) == []
    load.isolation_workers = 1
    moves = PoolPlanner(MOVE_SECONDS).decide(view, {POOL: load}, set(), 0.0)
    assert moves == [Move("m-08", POOL)]


def test_a_pool_whose_workers_report_less_capacity_gets_more_of_them() -> None:
    """Guard against sizing a pool by the listed capacity of its workers."""
    view = a_view(two_pools_of_four(), {f"i-0{n}": Load(0, 5) for n in range(4)})
    load = a_load(cores=16.0, waiting=24.0, seconds=96.0)
    full = PoolPlanner(MOVE_SECONDS).decide(view, {POOL: load}, set(), 0.0)
    halves = {f"i-0{n}": Room(cpu=CORES // 2, mem_mb=8000) for n in range(4)}
    shrunk = replace(view, capacities=halves)
    more = PoolPlanner(MOVE_SECONDS).decide(shrunk, {POOL: load}, set(), 0.0)
    assert len(more) > len(full)
    assert {move.pool for move in more} == {POOL}


def test_an_instance_is_taken_from_a_reachable_data_centre() -> None:
    """Guard against one instance after another from a disconnected data centre."""
    pool = [an_instance(n, POOL, zone="z1" if n < 2 else "z2") for n in range(4)]
    standby = [an_instance(8 + n, STANDBY, zone=f"z{n % 2 + 1}") for n in range(4)]
    for order in (standby, standby[::-1]):
        view = replace(a_view([*pool, *order]), pools=frozenset({POOL}))
        for worker in ("i-02", "i-03"):
            del view.loads[worker]
        view = replace(view, unusable=frozenset({"i-02", "i-03"}))
        load = a_load(cores=1.0, spread=4)
        moves = PoolPlanner(MOVE_SECONDS).decide(view, {POOL: load}, set(), 0.0)
        assert {move.machine for move in moves} == {"m-08", "m-10"}
