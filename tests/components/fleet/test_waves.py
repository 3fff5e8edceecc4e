"""Test that waves keep their limits and reach every instance."""

from __future__ import annotations

from dataclasses import replace

import pytest

from mustardward.components.fleet.const import (
    CYCLE_SECONDS,
    MISSED_SECONDS,
    REPEATED_SECONDS,
)
from mustardward.components.fleet.models import Empty, Load, Maintain
from mustardward.components.fleet.waves import WavePlanner, take_up
from mustardward.components.ledger.models import WaveRecord
from mustardward.platform.models import Instance

from .builders import POOL, STANDBY, a_view, a_wave, an_instance

MAINTENANCE_SECONDS = 2.0


def a_planner(machines: list[str], max_count: int = 2) -> WavePlanner:
    planner = WavePlanner(MAINTENANCE_SECONDS)
    planner.runs[1] = a_wave(machines, max_count)
    return planner


def eight() -> list[Instance]:
    return [an_instance(number) for number in range(8)]


def test_an_instance_is_emptied_before_it_is_maintained() -> None:
    planner = a_planner(["m-00"])
    fleet = eight()
    busy = a_view(fleet, {"i-00": Load(0, 1)})
    assert planner.decide(busy, 0.0) == [Empty("m-00", "i-00")]
    assert planner.decide(busy, 0.1) == []
    assert planner.decide(a_view(fleet), 0.2) == [Maintain("m-00", 1)]


def test_no_more_than_the_most_at_once_are_down() -> None:
    planner = a_planner([f"m-{n:02d}" for n in range(8)], max_count=2)
    fleet = eight()
    ordered: set[str] = set()
    for tick in range(10):
        for decision in planner.decide(a_view(fleet, read_at=0.1 * tick), 0.1 * tick):
            if isinstance(decision, Maintain):
                ordered.add(decision.machine)
                planner.accepted(1, decision.machine, 0.1 * tick)
    assert len(ordered) == 2


def test_an_instance_counts_as_down_until_a_later_list_shows_it_anew() -> None:
    """A list that lags behind does not make room for one more.

    Symptom: three instances of a wave were down, though two may be.
    Sequence: maintenance began; the list still showed the instance up, as before.
    Cause: "up" in a list from before was taken for "up again".
    """
    planner = a_planner(["m-00", "m-04"], max_count=1)
    fleet = eight()
    planner.decide(a_view(fleet), 0.0)
    (order,) = planner.decide(a_view(fleet), 0.1)
    assert isinstance(order, Maintain)
    planner.accepted(1, order.machine, 0.1)
    assert _orders(planner, a_view(fleet, read_at=5.0), 5.0) == []
    number = int(order.machine[2:])
    fleet[number] = an_instance(number, id="i-new")
    after = _orders(planner, a_view(fleet, read_at=5.1), 5.1)
    after += _orders(planner, a_view(fleet, read_at=5.2), 5.2)
    assert len(after) == 1


@pytest.mark.parametrize("known_by", ["list", "renewal"])
def test_what_an_owner_before_took_down_counts(known_by: str) -> None:
    """A new owner counts the instances that are down by an earlier owner's orders.

    Symptom: six instances of a wave were down, though five may be.
    Sequence: the owner was restarted while five were down; the next one began with an
    empty count, and took another.
    Cause: only its own orders were counted, not what the list shows down for
    maintenance, nor what the last renewal named as ordered just now.
    """
    planner = a_planner(["m-00", "m-01", "m-02", "m-03"], max_count=2)
    fleet = eight()
    barred = frozenset({"m-00", "m-01"})
    if known_by == "list":
        fleet[0] = an_instance(0, state="upkeep", id=None)
        fleet[1] = an_instance(1, state="upkeep", id=None)
        barred = frozenset()
    orders = []
    for tick in range(4):
        now = 0.1 * tick
        orders += _orders(planner, a_view(fleet, read_at=now, barred=barred), now)
    assert orders == []


def test_an_order_of_unknown_outcome_holds_its_place_and_is_repeated() -> None:
    planner = a_planner(["m-00", "m-04"], max_count=1)
    fleet = eight()
    planner.decide(a_view(fleet), 0.0)
    (order,) = planner.decide(a_view(fleet), 0.1)
    assert _orders(planner, a_view(fleet), 0.2) == []
    assert _orders(planner, a_view(fleet), 0.6) == [order]


def test_a_worker_that_was_not_heard_of_is_not_taken_for_empty() -> None:
    """Maintenance waits for what it knows nothing of.

    Symptom: maintenance ended lasting tasks right after a takeover.
    Sequence: the new owner had not heard of a worker yet, so no task stood under it.
    Cause: no known task was taken for no task.
    """
    planner = a_planner(["m-00"])
    view = a_view(eight())
    del view.loads["i-00"]
    assert planner.decide(view, 0.0) == []


def test_at_most_a_part_of_a_pool_is_taken_at_once() -> None:
    planner = a_planner([f"m-{n:02d}" for n in range(8)], max_count=8)
    decisions = planner.decide(a_view(eight()), 19.0)
    assert len([d for d in decisions if isinstance(d, Empty)]) == 2


def test_instances_that_are_off_go_first_and_together() -> None:
    planner = a_planner([f"m-{n:02d}" for n in range(12)], max_count=4)
    fleet = [*eight(), *(an_instance(number, STANDBY) for number in range(8, 12))]
    emptied = [d.machine for d in planner.decide(a_view(fleet), 15.0)]
    assert set(emptied) == {"m-08", "m-09", "m-10", "m-11"}


def test_a_wave_is_done_once_all_that_stay_were_maintained() -> None:
    planner = a_planner(["m-00", "m-09"], max_count=1)
    fleet = eight()
    planner.decide(a_view(fleet), 0.0)
    planner.decide(a_view(fleet), 0.1)
    planner.accepted(1, "m-00", 0.1)
    assert not planner.runs[1].done
    fleet[0] = an_instance(0, POOL, id="i-new")
    planner.decide(a_view(fleet, read_at=3.0), 3.0)
    assert planner.runs[1].done


def test_a_wave_waits_for_an_instance_that_moves() -> None:
    """An instance on its way to another pool is still to be maintained.

    Symptom: a wave was said to be done, and two of its instances had not begun.
    Sequence: the last two were being moved to another pool while the others ended.
    Cause: instances that were on their way counted as gone.
    """
    planner = a_planner(["m-00"])
    moving = frozenset({"m-00"})
    assert planner.decide(a_view(eight(), moving=moving), 0.0) == []
    assert not planner.runs[1].done
    assert planner.decide(a_view(eight()), 0.1) == [Empty("m-00", "i-00")]


def _orders(planner: WavePlanner, view: object, now: float) -> list[object]:
    decisions = planner.decide(view, now)  # type: ignore[arg-type]
    return [d for d in decisions if isinstance(d, Maintain)]


def test_instances_with_lasting_tasks_are_not_left_to_the_end_of_a_wave() -> None:
    """They are emptied a few at a time, so they begin while others are under way.

    Symptom: a wave was late by its last three instances. Sequence: all that were off or
    idle were maintained first, many at once; those with lasting tasks followed, and
    went two by two. Cause: the cheapest went first all the time.
    """
    fleet = [*eight(), *(an_instance(number, STANDBY) for number in range(8, 20))]
    lasting = {f"i-{n:02d}": Load(2, 0) for n in range(4)}
    machines = [i.machine for i in fleet]
    planner = a_planner(machines, max_count=4)
    view = a_view(fleet, lasting)
    early = [d.machine for d in planner.decide(view, 0.0)]
    assert not set(early) & {"m-00", "m-01", "m-02", "m-03"}
    planner = a_planner(machines, max_count=4)
    later = [d.machine for d in planner.decide(view, CYCLE_SECONDS)]
    assert set(later[:2]) <= {"m-00", "m-01", "m-02", "m-03"}
    assert later[2:]


def test_what_a_wave_has_begun_is_no_longer_due() -> None:
    planner = a_planner(["m-00", "m-01"])
    assert planner.due() == {"m-00", "m-01"}
    planner.decide(a_view(eight()), 0.0)
    planner.accepted(1, "m-00", 0.1)
    assert planner.due() == {"m-01"}


def test_a_wave_goes_on_while_instances_are_lent() -> None:
    """The owner's own moves do not count as instances that are down for a wave.

    Symptom: waves stood still for 2 to 4 s again and again, and ended late. Sequence:
    each turn of demand moved more instances than the wave may have down at once.
    Cause: a machine on its way to another pool was counted as one that an earlier owner
    may have taken down.
    """
    planner = a_planner([f"m-{n:02d}" for n in range(8)], max_count=2)
    moving = frozenset({"m-04", "m-05", "m-06"})
    decisions = planner.decide(a_view(eight(), moving=moving), 15.0)
    emptied = {d.machine for d in decisions if isinstance(d, Empty)}
    assert len(emptied) == 2
    assert not emptied & moving


def test_an_order_that_was_carried_out_before_does_not_hold_its_place() -> None:
    """The platform answers an order that repeats an earlier owner's as begun.

    Symptom: a wave was never told as done. Sequence: an owner that was cut off from the
    log maintained an instance, and could not store it; the next one ordered it again,
    and waited for another incarnation to come up. Cause: there was none to come.
    """
    planner = a_planner(["m-00", "m-01"], max_count=1)
    fleet = eight()
    planner.decide(a_view(fleet), 0.0)
    (first,) = _orders(planner, a_view(fleet, read_at=0.1), 0.1)
    assert isinstance(first, Maintain)
    planner.accepted(1, first.machine, 0.1)
    soon = 0.1 + MAINTENANCE_SECONDS + 1.0
    assert _orders(planner, a_view(fleet, read_at=soon), soon) == []
    later = 0.1 + MAINTENANCE_SECONDS + REPEATED_SECONDS
    planner.decide(a_view(fleet, read_at=later), later)
    assert len(_orders(planner, a_view(fleet, read_at=later + 0.1), later + 0.1)) == 1


def test_an_owner_that_takes_a_wave_up_counts_the_time_that_has_passed() -> None:
    """What is left of a wave is not spread over its whole time again.

    Symptom: a wave ended late by its last two instances. Sequence: the owner changed
    5 s before its end; the next one took one instance at a time. Cause: it counted the
    wave's time from its own beginning.
    """
    wave = a_wave([f"m-{n:02d}" for n in range(8)], 8, duration_s=20.0).wave
    stored = WaveRecord(["m-00"], False, seen_at=1000.0)
    run = take_up(wave, stored, now=50.0, wall=1015.0)
    assert run.first_seen_at == 35.0
    assert run.seen_wall == 1000.0
    assert run.begun == {"m-00"}
    jumped = take_up(wave, stored, now=50.0, wall=5000.0)
    assert jumped.first_seen_at == 30.0


def test_one_instance_that_waits_does_not_keep_another_from_its_turn() -> None:
    planner = a_planner(["m-00", "m-01"], max_count=2)
    busy = a_view(eight(), {"i-00": Load(0, 1)})
    emptied = {d.machine for d in planner.decide(busy, 0.0)}
    assert emptied == {"m-00", "m-01"}


def test_a_worker_that_comes_back_under_its_id_is_up_again() -> None:
    """Symptom: each instance of a wave held its place for 3 s after it was back.

    Cause: the list named the same worker, which was taken for not maintained yet; its
    time of birth says that it started again.
    """
    planner = a_planner(["m-00", "m-01"], max_count=1)
    fleet = [an_instance(number) for number in range(2)]
    loads = {"i-00": Load(0, 0, born=100), "i-01": Load(0, 0, born=100)}
    planner.decide(a_view(fleet, loads), 0.0)
    planner.decide(a_view(fleet, loads), 0.1)
    (order,) = planner.runs[1].orders.values()
    planner.accepted(1, order.machine, 0.2)
    planner.decide(a_view(fleet, loads, read_at=2.5), 2.5)
    assert list(planner.runs[1].orders) == [order.machine]
    loads[order.old_id or ""] = Load(0, 0, born=200)
    planner.decide(a_view(fleet, loads, read_at=2.6), 2.6)
    assert order.machine not in planner.runs[1].orders


def test_a_wave_is_not_done_since_one_list_misses_its_last_instance() -> None:
    """Guards against a wave that is told as done before its last instance's turn."""
    planner = a_planner(["m-00"])
    busy = {"i-00": Load(1, 0)}
    planner.decide(a_view(eight(), busy), 0.0)
    planner.decide(a_view(eight()[1:], read_at=0.4), 0.4)
    assert not planner.runs[1].done
    planner.decide(a_view(eight(), busy, read_at=0.8), 0.8)
    assert not planner.runs[1].done
    planner.decide(a_view(eight()[1:], read_at=1.2), 1.2)
    planner.decide(a_view(eight()[1:], read_at=1.6), 1.6)
    assert planner.runs[1].done


def test_an_instance_whose_row_can_not_be_read_is_not_emptied_for_good() -> None:
    """Guards against a worker that is left out, and a wave that is done without it."""
    planner = a_planner(["m-00"])
    run = planner.runs[1]
    planner.decide(a_view(eight(), {"i-00": Load(1, 0)}), 0.0)
    for read_at in (0.4, 0.4 + MISSED_SECONDS, 0.5 + MISSED_SECONDS):
        assert run.emptying
        view = replace(a_view(eight()[1:], read_at=read_at), complete=False)
        planner.decide(view, read_at)
    assert not run.emptying
    assert not run.done


def test_an_instance_that_is_down_counts_though_its_row_can_not_be_read() -> None:
    """Guards against a wave that takes more instances at once than it may."""
    planner = a_planner(["m-00", "m-01"], max_count=1)
    planner.decide(a_view(eight()), 0.0)
    (order,) = _orders(planner, a_view(eight(), read_at=0.1), 0.1)
    assert isinstance(order, Maintain)
    planner.accepted(1, order.machine, 0.1)
    rest = [i for i in eight() if i.machine != order.machine]
    for read_at in (2.5, 2.9):
        view = replace(a_view(rest, read_at=read_at), complete=False)
        assert _orders(planner, view, read_at) == []


def test_an_instance_that_falls_silent_does_not_hold_its_wave_up() -> None:
    """Guards against a wave whose places are all held by what it can't empty."""
    planner = a_planner([f"m-{n:02d}" for n in range(4)], max_count=2)
    lasting = {f"i-{n:02d}": Load(1, 0) for n in range(4)}
    planner.decide(a_view(eight(), lasting), 0.0)
    silent = set(planner.runs[1].emptying)
    assert len(silent) == 2
    view = a_view(eight(), lasting, read_at=0.4)
    workers = {machine.replace("m", "i") for machine in silent}
    for worker in workers:
        del view.loads[worker]
    assert planner.decide(view, 0.4) == []
    view = replace(view, unusable=frozenset(workers))
    emptied = {d.machine for d in planner.decide(view, 0.8) if isinstance(d, Empty)}
    assert len(emptied) == 2
    assert not emptied & silent
    assert not planner.runs[1].done
