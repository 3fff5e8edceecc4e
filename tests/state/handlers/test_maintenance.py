"""Fold waves and claims."""

from __future__ import annotations

import pytest

from mustardward.state.budgets import BudgetIndex, get_budget_index
from mustardward.state.handlers import waves
from mustardward.state.handlers.waves import MAX_ENDED_WAVES
from mustardward.state.models.maintenance import (
    AbsenceChange,
    AdoptClaim,
    AdvanceClaim,
    ReleaseClaim,
    ReportAbsences,
    ReportSilence,
    ScheduleWave,
    SignalWave,
    TakeClaim,
)
from mustardward.state.models.pools import Move
from tests.fakes.fleet import FoldDriver, build_fleet, build_organisation

STAGES = ("draining", "drained", "rebooting")


def build_driver(size: int = 8, **parameters: object) -> FoldDriver:
    """Return a driver over one pool that one organisation uses."""
    user = build_organisation("dairy", ("etching",), **parameters)
    return FoldDriver(build_fleet(user, size=size))


def advance(driver: FoldDriver, instance: str, generation: int, *stages: str) -> None:
    """Take a claim through stages."""
    for stage in stages:
        driver.accept(AdvanceClaim(instance, generation, stage))


def finish(driver: FoldDriver, instance: str, wave_id: str = "w1") -> None:
    """Take an instance through its whole maintenance."""
    generation = driver.take(instance, wave_id)
    advance(driver, instance, generation, *STAGES)
    driver.accept(ReleaseClaim(instance, generation, "done", 2))


def test_a_wave_runs_from_schedule_to_finish() -> None:
    driver = build_driver(size=2, minimum_available=0.0, reserve_largest_rack=False)
    driver.run_wave()
    revision = driver.state.waves["w1"].revision
    assert driver.refuse(SignalWave("w1", "finish"), revision).code == "wave-unfinished"
    finish(driver, "dc1-etching-000")
    finish(driver, "dc1-etching-001")
    driver.accept(SignalWave("w1", "finish"), revision)
    assert driver.state.waves["w1"].status == "done"
    assert driver.refuse(ScheduleWave("w1", ("etching",))).code == "wave-exists"


def test_two_operators_who_signal_at_once_get_one_acceptance() -> None:
    driver = build_driver()
    driver.run_wave()
    seen = driver.state.waves["w1"].revision
    driver.accept(SignalWave("w1", "pause"), seen)
    assert driver.refuse(SignalWave("w1", "cancel"), seen).code == "revision-conflict"
    assert driver.state.waves["w1"].status == "paused"


def test_the_last_instance_above_the_floor_is_taken_once() -> None:
    """Let only one of two waves take the last instance that a budget can spare.

    Symptom: a service falls below its floor in the middle of two waves.
    Sequence: two executors read the same margin of one and both claim.
    Cause: both decided on what they had read, and not on the log's order.
    """
    driver = build_driver(size=4, reserve_largest_rack=True)
    driver.run_wave("w1", canary=4)
    driver.run_wave("w2", canary=4)
    driver.take("dc1-etching-000", "w1")
    refusal = driver.refuse(TakeClaim("w2", "dc1-etching-001", "entry-2#1", 1))
    assert refusal.code == "budget-exceeded"
    assert "organisation=dairy" in refusal.detail


def test_the_canary_comes_back_before_the_wave_grows() -> None:
    driver = build_driver(size=20)
    driver.run_wave()
    driver.take("dc1-etching-000")
    refusal = driver.refuse(TakeClaim("w1", "dc1-etching-001", "entry-2#1", 1))
    assert refusal.code == "wave-growth"


def test_an_adopted_claim_fences_its_first_executor() -> None:
    """Refuse a paused executor's records once another has adopted its claim.

    Symptom: an instance reboots after it was given back to service.
    Sequence: the holder pauses between claim and reboot; another adopts and gives
    back; the holder wakes and goes on. Cause: nothing told the two apart.
    """
    driver = build_driver()
    driver.run_wave()
    old = driver.take("dc1-etching-000")
    new = driver.accept(AdoptClaim("dc1-etching-000", old, "entry-2#1"))
    late = AdvanceClaim("dc1-etching-000", old, "draining")
    assert driver.refuse(late).code == "claim-fenced"
    again = AdoptClaim("dc1-etching-000", old, "entry-3#1")
    assert driver.refuse(again).code == "claim-fenced"
    advance(driver, "dc1-etching-000", new, "draining")
    claim = driver.state.claims["dc1-etching-000"]
    assert (claim.executor, claim.taken) == ("entry-2#1", old)


@pytest.mark.parametrize(("boot", "code"), [(1, "stage-refused"), (0, "stage-refused")])
def test_done_needs_a_newer_boot(boot: int, code: str) -> None:
    driver = build_driver()
    driver.run_wave()
    generation = driver.take("dc1-etching-000")
    advance(driver, "dc1-etching-000", generation, *STAGES)
    release = ReleaseClaim("dc1-etching-000", generation, "done", boot)
    assert driver.refuse(release).code == code
    assert "dc1-etching-000" in driver.state.claims


def test_a_reboot_that_began_cannot_be_given_back() -> None:
    driver = build_driver()
    driver.run_wave()
    generation = driver.take("dc1-etching-000")
    advance(driver, "dc1-etching-000", generation, *STAGES)
    release = ReleaseClaim("dc1-etching-000", generation, "given-back", 1)
    assert driver.refuse(release).code == "stage-refused"


def test_failures_in_the_middle_refuse_the_step_to_the_reboot() -> None:
    """Give a drained instance back when failures ate the margin.

    Symptom: a rack fails while a wave runs and a service drops below its floor.
    Sequence: claim, drain, a rack fails, reboot. Cause: the margin was looked at when
    the claim was taken, and not before the step that cannot be taken back.
    """
    driver = build_driver(size=8, reserve_largest_rack=False)
    driver.run_wave()
    generation = driver.take("dc1-etching-000")
    advance(driver, "dc1-etching-000", generation, "draining", "drained")
    driver.fail(*(f"dc1-etching-{number:03d}" for number in range(4, 8)))
    step = AdvanceClaim("dc1-etching-000", generation, "rebooting")
    assert driver.refuse(step).code == "budget-exceeded"
    driver.accept(ReleaseClaim("dc1-etching-000", generation, "given-back", 1))
    assert "dc1-etching-000" in driver.state.waves["w1"].pending


def test_an_instance_that_never_comes_back_counts_and_stops_the_wave() -> None:
    """Stop a wave whose instances do not come back.

    Symptom: a bad image takes instance after instance out of a pool.
    Sequence: reboots begin and no newer boot is ever seen. Cause: a failed instance
    was taken for finished, and its budget for free.
    """
    driver = build_driver(size=20)
    driver.run_wave(maximum_failures=1)
    generation = driver.take("dc1-etching-000")
    advance(driver, "dc1-etching-000", generation, *STAGES)
    driver.accept(ReleaseClaim("dc1-etching-000", generation, "failed", 1))
    wave = driver.state.waves["w1"]
    assert (wave.status, wave.reason) == ("paused", "failures=1 maximum=1")
    assert not get_budget_index(driver.state).is_available("dc1-etching-000")
    same_boot = AbsenceChange("dc1-etching-000", True, 1, "failed")
    driver.accept(ReportAbsences("dc1", (same_boot,)))
    assert not get_budget_index(driver.state).is_available("dc1-etching-000")
    newer = AbsenceChange("dc1-etching-000", True, 2, "failed")
    driver.accept(ReportAbsences("dc1", (newer,)))
    assert get_budget_index(driver.state).is_available("dc1-etching-000")


def test_failures_after_the_return_stop_the_wave_until_resumed() -> None:
    driver = build_driver(size=20)
    driver.run_wave(maximum_failures=1)
    finish(driver, "dc1-etching-000")
    driver.fail("dc1-etching-000", boot=2)
    wave = driver.state.waves["w1"]
    assert wave.status == "paused"
    driver.accept(SignalWave("w1", "resume"), wave.revision)
    driver.take("dc1-etching-001")
    assert wave.status == "running"


def test_an_organisation_made_in_the_middle_counts_from_then_on() -> None:
    driver = build_driver(size=20, minimum_available=0.0, reserve_largest_rack=False)
    driver.run_wave(canary=4)
    driver.take("dc1-etching-000")
    strict = build_organisation("club", ("etching",), minimum_available=1.0)
    driver.state.organisations["club"] = strict
    get_budget_index(driver.state).update_organisation(driver.state, "club")
    refusal = driver.refuse(TakeClaim("w1", "dc1-etching-001", "entry-1#1", 1))
    assert "organisation=club" in refusal.detail


def test_an_instance_on_the_move_or_absent_is_not_claimed() -> None:
    driver = build_driver(size=20)
    driver.run_wave(canary=4)
    moving, failed = "dc1-etching-001", "dc1-etching-002"
    driver.state.moves[moving] = Move("m1", moving, "etching", "casting", 1)
    driver.fail(failed)
    for name in (moving, failed):
        refusal = driver.refuse(TakeClaim("w1", name, "entry-1#1", 1))
        assert refusal.code == "instance-busy"


def test_a_live_probe_does_not_end_a_quarantine() -> None:
    driver = build_driver()
    name = "dc1-etching-000"
    bad = AbsenceChange(name, False, 1, "quarantined")
    driver.accept(ReportAbsences("dc1", (bad,)))
    driver.accept(ReportAbsences("dc1", (AbsenceChange(name, True, 1),)))
    assert name in driver.state.absences
    lifted = AbsenceChange(name, True, 1, "quarantined")
    driver.accept(ReportAbsences("dc1", (lifted,)))
    assert name not in driver.state.absences


def test_a_report_about_another_data_centre_changes_nothing() -> None:
    driver = build_driver()
    driver.fail("dc1-etching-000", centre="dc2")
    driver.accept(ReportSilence("dc2", True))
    assert driver.state.absences == {}
    assert driver.state.silent == {"dc2"}
    driver.accept(ReportSilence("dc2", False))
    assert driver.state.silent == set()


def test_counters_follow_every_record() -> None:
    driver = build_driver(size=20)
    driver.run_wave()
    finish(driver, "dc1-etching-000")
    driver.take("dc1-etching-001")
    driver.fail("dc1-etching-002", "dc1-etching-001")
    rebuilt = BudgetIndex(driver.state)
    assert get_budget_index(driver.state).snapshot() == rebuilt.snapshot()


def test_what_was_admitted_may_reboot_although_its_rack_was_the_largest() -> None:
    """Admit the reboot of every instance that was rightly claimed.

    Symptom: a wave over whole racks gives instances back for ever.
    Sequence: instances go from two racks of four in turn, and each lowers the reserve;
    before the reboot the margin is counted as if one were back, which makes its rack
    the largest again. Cause: the question was whether it could be taken anew.
    """
    user = build_organisation("dairy", ("etching",), minimum_available=0.25)
    driver = FoldDriver(build_fleet(user, size=8, rack_size=4))
    driver.run_wave(canary=3)
    names = ("dc1-etching-000", "dc1-etching-004", "dc1-etching-001")
    held = {name: driver.take(name) for name in names}
    for name, generation in held.items():
        advance(driver, name, generation, *STAGES)
    assert [claim.stage for claim in driver.state.claims.values()] == ["rebooting"] * 3


def test_a_failed_canary_stops_the_wave_at_once() -> None:
    driver = build_driver(size=20)
    driver.run_wave(maximum_failures=5)
    generation = driver.take("dc1-etching-000")
    advance(driver, "dc1-etching-000", generation, *STAGES)
    driver.accept(ReleaseClaim("dc1-etching-000", generation, "failed", 1))
    wave = driver.state.waves["w1"]
    assert (wave.status, wave.reason) == ("paused", "failures=1 maximum=1")


def test_waves_that_ended_long_ago_are_forgotten_unless_they_hold_claims() -> None:
    """Keep the state from growing with every wave.

    Symptom: an entry's memory grows by a megabyte with each wave over the fleet.
    Sequence: a wave every few hours for a year. Cause: ended waves kept their names.
    """
    driver = build_driver(size=20)
    driver.run_wave("held")
    driver.take("dc1-etching-000", "held")
    cancelled = driver.state.waves["held"].revision
    driver.accept(SignalWave("held", "cancel"), cancelled)
    for number in range(MAX_ENDED_WAVES + 3):
        revision = driver.accept(ScheduleWave(f"w{number}", ("etching",)))
        driver.accept(SignalWave(f"w{number}", "cancel"), revision)
    driver.accept(ScheduleWave("last", ("etching",)))
    assert len(driver.state.waves) == MAX_ENDED_WAVES + 2
    assert {"held", "last", "w18"} <= driver.state.waves.keys()
    assert "w0" not in driver.state.waves


def test_large_waves_that_ended_are_forgotten_sooner(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(waves, "MAX_ENDED_WAVE_INSTANCES", 45)
    driver = build_driver(size=20)
    for number in range(4):
        revision = driver.accept(ScheduleWave(f"w{number}", ("etching",)))
        driver.accept(SignalWave(f"w{number}", "cancel"), revision)
    driver.accept(ScheduleWave("last", ("etching",)))
    assert driver.state.waves.keys() == {"w2", "w3", "last"}
