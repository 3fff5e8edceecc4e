"""Test that maintenance waves keep their limits and include every instance."""

from __future__ import annotations

from dataclasses import replace

import pytest

from mustardward.components.fleet.const import (
    MAINTENANCE_CYCLE_SECONDS,
    UNCHANGED_INCARNATION_SECONDS,
    UNLISTED_TIMEOUT_SECONDS,
)
from mustardward.components.fleet.cordons import find_cordoned
from mustardward.components.fleet.models import Drain, Load, Maintain
from mustardward.components.fleet.wave_planner import WavePlanner, resume_wave
from mustardward.components.ledger.models import WaveRecord
from mustardward.platform.models import Instance

from .builders import POOL, STANDBY, a_view, a_wave, an_instance

MAINTENANCE_SECONDS = 2.0


def a_planner(machines: list[str], max_count: int = 2) -> WavePlanner:
    planner = WavePlanner(MAINTENANCE_SECONDS)
    planner.runs[1] = a_wave(machines, max_count)
    return planner


def eight_instances() -> list[Instance]:
    return [an_instance(number) for number in range(8)]


def test_an_instance_is_drained_before_its_maintenance() -> None:
    planner = a_planner(["m-00"])
    fleet = eight_instances()
    busy = a_view(fleet, {"i-00": Load(0, 1)})
    assert planner.decide(busy, 0.0) == [Drain("m-00", "i-00")]
    assert planner.decide(busy, 0.1) == []
    assert planner.decide(a_view(fleet), 0.2) == [Maintain("m-00", 1)]


def test_the_limit_of_concurrent_instances_is_kept() -> None:
    planner = a_planner([f"m-{n:02d}" for n in range(8)], max_count=2)
    fleet = eight_instances()
    ordered: set[str] = set()
    for tick in range(10):
        for decision in planner.decide(a_view(fleet, read_at=0.1 * tick), 0.1 * tick):
            if isinstance(decision, Maintain):
                ordered.add(decision.machine)
                planner.record_accepted(1, decision.machine, 0.1 * tick)
    assert len(ordered) == 2


def test_an_instance_counts_as_down_until_a_later_list_shows_it_restarted() -> None:
    """Guard against exceeding the wave's limit because the list lags.

    After maintenance has started, the list still shows the instance as up. If that
    counted as up again, too many instances would be down, such as three instead of two.
    """
    planner = a_planner(["m-00", "m-04"], max_count=1)
    fleet = eight_instances()
    planner.decide(a_view(fleet), 0.0)
    (order,) = planner.decide(a_view(fleet), 0.1)
    assert isinstance(order, Maintain)
    planner.record_accepted(1, order.machine, 0.1)
    assert _orders(planner, a_view(fleet, read_at=5.0), 5.0) == []
    number = int(order.machine[2:])
    fleet[number] = an_instance(number, id="i-new")
    after = _orders(planner, a_view(fleet, read_at=5.1), 5.1)
    after += _orders(planner, a_view(fleet, read_at=5.2), 5.2)
    assert len(after) == 1


@pytest.mark.parametrize("known_by", ["list", "renewal"])
def test_instances_ordered_by_the_previous_owner_count_as_down(known_by: str) -> None:
    """Guard against exceeding the wave's limit after a change of owner.

    A new owner starts without orders of its own. It must count the instances that the
    list shows in maintenance, and those that the previous owner's last renewal names as
    ordered. Otherwise too many are down, such as six instead of five.
    """
    planner = a_planner(["m-00", "m-01", "m-02", "m-03"], max_count=2)
    fleet = eight_instances()
    blocked = frozenset({"m-00", "m-01"})
    if known_by == "list":
        fleet[0] = an_instance(0, state="upkeep", id=None)
        fleet[1] = an_instance(1, state="upkeep", id=None)
        blocked = frozenset()
    orders = []
    for tick in range(4):
        now = 0.1 * tick
        orders += _orders(planner, a_view(fleet, read_at=now, blocked=blocked), now)
    assert orders == []


def test_an_order_of_unknown_outcome_counts_and_is_repeated() -> None:
    planner = a_planner(["m-00", "m-04"], max_count=1)
    fleet = eight_instances()
    planner.decide(a_view(fleet), 0.0)
    (order,) = planner.decide(a_view(fleet), 0.1)
    assert _orders(planner, a_view(fleet), 0.2) == []
    assert _orders(planner, a_view(fleet), 0.6) == [order]


def test_an_unconfirmed_worker_is_not_considered_idle() -> None:
    """Guard against maintenance that interrupts long-running tasks after a takeover.

    A new owner knows no tasks of a worker whose state it has not confirmed yet.
    """
    planner = a_planner(["m-00"])
    view = a_view(eight_instances())
    del view.loads["i-00"]
    assert planner.decide(view, 0.0) == []


def test_only_a_share_of_a_pool_is_drained_at_once() -> None:
    planner = a_planner([f"m-{n:02d}" for n in range(8)], max_count=8)
    decisions = planner.decide(a_view(eight_instances()), 19.0)
    assert len([d for d in decisions if isinstance(d, Drain)]) == 2


def test_standby_instances_go_first_and_together() -> None:
    planner = a_planner([f"m-{n:02d}" for n in range(12)], max_count=4)
    fleet = [
        *eight_instances(),
        *(an_instance(number, STANDBY) for number in range(8, 12)),
    ]
    drained = [d.machine for d in planner.decide(a_view(fleet), 15.0)]
    assert set(drained) == {"m-08", "m-09", "m-10", "m-11"}


def test_a_wave_is_done_once_all_remaining_instances_are_maintained() -> None:
    planner = a_planner(["m-00", "m-09"], max_count=1)
    fleet = eight_instances()
    planner.decide(a_view(fleet), 0.0)
    planner.decide(a_view(fleet), 0.1)
    planner.record_accepted(1, "m-00", 0.1)
    assert not planner.runs[1].done
    fleet[0] = an_instance(0, POOL, id="i-new")
    planner.decide(a_view(fleet, read_at=3.0), 3.0)
    assert planner.runs[1].done


def test_a_wave_waits_for_a_moving_instance() -> None:
    """Guard against a wave that is reported as done before its last instances start.

    Instances that move to another pool are still to be maintained, and must not count
    as gone.
    """
    planner = a_planner(["m-00"])
    moving = frozenset({"m-00"})
    assert planner.decide(a_view(eight_instances(), moving=moving), 0.0) == []
    assert not planner.runs[1].done
    assert planner.decide(a_view(eight_instances()), 0.1) == [Drain("m-00", "i-00")]


def _orders(planner: WavePlanner, view: object, now: float) -> list[object]:
    decisions = planner.decide(view, now)  # type: ignore[arg-type]
    return [d for d in decisions if isinstance(d, Maintain)]


def test_instances_with_long_running_tasks_do_not_go_last() -> None:
    """Guard against a wave that is late by its last three instances.

    Standby and idle instances are maintained many at once, but those with long-running
    tasks only a few at a time, so the latter must start while the former are processed.
    """
    fleet = [
        *eight_instances(),
        *(an_instance(number, STANDBY) for number in range(8, 20)),
    ]
    long_running = {f"i-{n:02d}": Load(2, 0) for n in range(4)}
    machines = [i.machine for i in fleet]
    planner = a_planner(machines, max_count=4)
    view = a_view(fleet, long_running)
    early = [d.machine for d in planner.decide(view, 0.0)]
    assert not set(early) & {"m-00", "m-01", "m-02", "m-03"}
    planner = a_planner(machines, max_count=4)
    later = [d.machine for d in planner.decide(view, MAINTENANCE_CYCLE_SECONDS)]
    assert set(later[:2]) <= {"m-00", "m-01", "m-02", "m-03"}
    assert later[2:]


def test_a_started_maintenance_is_no_longer_due() -> None:
    planner = a_planner(["m-00", "m-01"])
    assert planner.maintenance_due() == {"m-00", "m-01"}
    planner.decide(a_view(eight_instances()), 0.0)
    planner.record_accepted(1, "m-00", 0.1)
    assert planner.maintenance_due() == {"m-01"}


def test_a_wave_continues_while_instances_move() -> None:
    """Guard against waves that stall for 2 to 4 s at each demand peak and end late.

    A peak moves more instances than the wave's limit. The owner's own moves must not
    count as orders of a previous owner.
    """
    planner = a_planner([f"m-{n:02d}" for n in range(8)], max_count=2)
    moving = frozenset({"m-04", "m-05", "m-06"})
    decisions = planner.decide(a_view(eight_instances(), moving=moving), 15.0)
    drained = {d.machine for d in decisions if isinstance(d, Drain)}
    assert len(drained) == 2
    assert not drained & moving


def test_an_order_that_a_previous_owner_carried_out_is_dropped() -> None:
    """Guard against a wave that is never reported as done.

    An owner that is disconnected from the log has an instance maintained and can't
    store that. The platform accepts the next owner's order without carrying it out, so
    that no new incarnation will appear.
    """
    planner = a_planner(["m-00", "m-01"], max_count=1)
    fleet = eight_instances()
    planner.decide(a_view(fleet), 0.0)
    (first,) = _orders(planner, a_view(fleet, read_at=0.1), 0.1)
    assert isinstance(first, Maintain)
    planner.record_accepted(1, first.machine, 0.1)
    soon = 0.1 + MAINTENANCE_SECONDS + 1.0
    assert _orders(planner, a_view(fleet, read_at=soon), soon) == []
    later = 0.1 + MAINTENANCE_SECONDS + UNCHANGED_INCARNATION_SECONDS
    planner.decide(a_view(fleet, read_at=later), later)
    assert len(_orders(planner, a_view(fleet, read_at=later + 0.1), later + 0.1)) == 1


def test_a_resumed_wave_counts_the_elapsed_time() -> None:
    """Guard against spreading the remaining instances over the whole duration again.

    After a change of owner 5 s before the end of a wave, that would process one
    instance at a time and end the wave late by its last two instances.
    """
    wave = a_wave([f"m-{n:02d}" for n in range(8)], 8, duration_s=20.0).wave
    stored = WaveRecord(["m-00"], False, seen_at=1000.0)
    run = resume_wave(wave, stored, now=50.0, wall=1015.0)
    assert run.first_seen_at == 35.0
    assert run.first_seen_wall == 1000.0
    assert run.started == {"m-00"}
    after_jump = resume_wave(wave, stored, now=50.0, wall=5000.0)
    assert after_jump.first_seen_at == 30.0


def test_one_busy_instance_does_not_block_the_next() -> None:
    planner = a_planner(["m-00", "m-01"], max_count=2)
    busy = a_view(eight_instances(), {"i-00": Load(0, 1)})
    drained = {d.machine for d in planner.decide(busy, 0.0)}
    assert drained == {"m-00", "m-01"}


def test_a_worker_that_restarts_under_its_id_is_up_again() -> None:
    """Guard against an instance that counts as down for 3 s after it is up again.

    The list shows the same worker id; the later start time shows the restart.
    """
    planner = a_planner(["m-00", "m-01"], max_count=1)
    fleet = [an_instance(number) for number in range(2)]
    loads = {
        "i-00": Load(0, 0, started_at_ms=100),
        "i-01": Load(0, 0, started_at_ms=100),
    }
    planner.decide(a_view(fleet, loads), 0.0)
    planner.decide(a_view(fleet, loads), 0.1)
    (order,) = planner.runs[1].orders.values()
    planner.record_accepted(1, order.machine, 0.2)
    planner.decide(a_view(fleet, loads, read_at=2.5), 2.5)
    assert list(planner.runs[1].orders) == [order.machine]
    loads[order.worker_id or ""] = Load(0, 0, started_at_ms=200)
    planner.decide(a_view(fleet, loads, read_at=2.6), 2.6)
    assert order.machine not in planner.runs[1].orders


def test_a_wave_is_not_done_if_one_list_lacks_its_last_instance() -> None:
    """Guard against a wave that is done before its last instance is maintained."""
    planner = a_planner(["m-00"])
    busy = {"i-00": Load(1, 0)}
    planner.decide(a_view(eight_instances(), busy), 0.0)
    planner.decide(a_view(eight_instances()[1:], read_at=0.4), 0.4)
    assert not planner.runs[1].done
    planner.decide(a_view(eight_instances(), busy, read_at=0.8), 0.8)
    assert not planner.runs[1].done
    planner.decide(a_view(eight_instances()[1:], read_at=1.2), 1.2)
    planner.decide(a_view(eight_instances()[1:], read_at=1.6), 1.6)
    assert planner.runs[1].done


def test_an_instance_with_an_unreadable_row_is_not_drained_forever() -> None:
    """Guard against a permanently cordoned worker, and a wave that ends without it."""
    planner = a_planner(["m-00"])
    run = planner.runs[1]
    planner.decide(a_view(eight_instances(), {"i-00": Load(1, 0)}), 0.0)
    for read_at in (
        0.4,
        0.4 + UNLISTED_TIMEOUT_SECONDS,
        0.5 + UNLISTED_TIMEOUT_SECONDS,
    ):
        assert run.draining
        view = replace(a_view(eight_instances()[1:], read_at=read_at), complete=False)
        planner.decide(view, read_at)
    assert not run.draining
    assert not run.done


def test_an_instance_in_maintenance_counts_though_its_row_is_unreadable() -> None:
    """Guard against exceeding the wave's limit."""
    planner = a_planner(["m-00", "m-01"], max_count=1)
    planner.decide(a_view(eight_instances()), 0.0)
    (order,) = _orders(planner, a_view(eight_instances(), read_at=0.1), 0.1)
    assert isinstance(order, Maintain)
    planner.record_accepted(1, order.machine, 0.1)
    rest = [i for i in eight_instances() if i.machine != order.machine]
    for read_at in (2.5, 2.9):
        view = replace(a_view(rest, read_at=read_at), complete=False)
        assert _orders(planner, view, read_at) == []


def test_an_unresponsive_instance_does_not_block_its_wave() -> None:
    """Guard against a wave that is blocked by instances that it can't drain."""
    planner = a_planner([f"m-{n:02d}" for n in range(4)], max_count=2)
    long_running = {f"i-{n:02d}": Load(1, 0) for n in range(4)}
    planner.decide(a_view(eight_instances(), long_running), 0.0)
    unresponsive = set(planner.runs[1].draining)
    assert len(unresponsive) == 2
    view = a_view(eight_instances(), long_running, read_at=0.4)
    workers = {machine.replace("m", "i") for machine in unresponsive}
    for worker in workers:
        del view.loads[worker]
    assert planner.decide(view, 0.4) == []
    view = replace(view, unusable=frozenset(workers))
    drained = {d.machine for d in planner.decide(view, 0.8) if isinstance(d, Drain)}
    assert len(drained) == 2
    assert not drained & unresponsive
    assert not planner.runs[1].done


def test_workers_that_tasks_can_leave_again_wait_for_the_places_of_their_wave() -> None:
    """Guard against a wave that cordons a quarter of a pool at once."""
    fleet = [an_instance(number) for number in range(40)]
    busy = a_view(fleet, {i.id or "": Load(2, 0) for i in fleet})
    planner = a_planner([i.machine for i in fleet], max_count=2)
    runs = planner.runs.values()
    needed: frozenset[str] = frozenset()
    for tick in range(20):
        planner.decide(replace(busy, needed_hosts=needed), 0.1 * tick)
        needed = frozenset(planner.draining_workers())
        assert not find_cordoned(runs, [], needed)
    for tick in range(20, 30):
        planner.decide(busy, 0.1 * tick)
        assert len(find_cordoned(runs, [])) == 2
