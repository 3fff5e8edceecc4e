"""Test records of waves and claims."""

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
    """Return a driver of a fleet with one pool that one organisation uses."""
    user = build_organisation("dairy", ("etching",), **parameters)
    return FoldDriver(build_fleet(user, size=size))


def advance(driver: FoldDriver, instance: str, generation: int, *stages: str) -> None:
    """Advance a claim through the given stages."""
    for stage in stages:
        driver.accept(AdvanceClaim(instance, generation, stage))


def finish(driver: FoldDriver, instance: str, wave_id: str = "w1") -> None:
    """Run the whole maintenance of an instance."""
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


def test_one_of_two_concurrent_signals_is_accepted() -> None:
    driver = build_driver()
    driver.run_wave()
    base_revision = driver.state.waves["w1"].revision
    driver.accept(SignalWave("w1", "pause"), base_revision)
    assert (
        driver.refuse(SignalWave("w1", "cancel"), base_revision).code
        == "revision-conflict"
    )
    assert driver.state.waves["w1"].status == "paused"


def test_last_instance_above_the_floor_is_claimed_once() -> None:
    """Guard against a service that falls below its floor during two waves.

    Two executors read the same margin of one instance and both propose a claim. Log
    order decides, so only the first is accepted.
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


def test_adopted_claim_fences_its_previous_executor() -> None:
    """Guard against rebooting an instance that is back in service.

    An executor pauses between claim and reboot, another one adopts and releases the
    claim, and the first resumes. The generation has to distinguish the two.
    """
    driver = build_driver()
    driver.run_wave()
    old = driver.take("dc1-etching-000")
    new = driver.accept(AdoptClaim("dc1-etching-000", old, "entry-2#1"))
    outdated = AdvanceClaim("dc1-etching-000", old, "draining")
    assert driver.refuse(outdated).code == "claim-fenced"
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


def test_rebooting_instance_cannot_be_given_back() -> None:
    driver = build_driver()
    driver.run_wave()
    generation = driver.take("dc1-etching-000")
    advance(driver, "dc1-etching-000", generation, *STAGES)
    release = ReleaseClaim("dc1-etching-000", generation, "given-back", 1)
    assert driver.refuse(release).code == "stage-refused"


def test_failures_after_the_claim_refuse_the_reboot() -> None:
    """Guard against a service below its floor when a rack fails during a wave.

    The rack fails after the claim was accepted and the instance drained. The margin has
    to be checked again before the reboot, which can't be undone.
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


def test_failed_reboot_counts_as_absence_and_pauses_the_wave() -> None:
    """Guard against a bad image that takes instance after instance out of a pool.

    Reboots begin and no newer boot is ever reported. A failed instance has to stay
    unavailable and must not count as finished.
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


def test_organisation_added_during_a_wave_is_counted() -> None:
    driver = build_driver(size=20, minimum_available=0.0, reserve_largest_rack=False)
    driver.run_wave(canary=4)
    driver.take("dc1-etching-000")
    strict = build_organisation("club", ("etching",), minimum_available=1.0)
    driver.state.organisations["club"] = strict
    get_budget_index(driver.state).update_organisation(driver.state, "club")
    refusal = driver.refuse(TakeClaim("w1", "dc1-etching-001", "entry-1#1", 1))
    assert "organisation=club" in refusal.detail


def test_moving_or_absent_instance_is_not_claimed() -> None:
    driver = build_driver(size=20)
    driver.run_wave(canary=4)
    moving, failed = "dc1-etching-001", "dc1-etching-002"
    driver.state.moves[moving] = Move("m1", moving, "etching", "casting", 1)
    driver.fail(failed)
    for name in (moving, failed):
        refusal = driver.refuse(TakeClaim("w1", name, "entry-1#1", 1))
        assert refusal.code == "instance-busy"


def test_successful_probe_does_not_end_a_quarantine() -> None:
    driver = build_driver()
    name = "dc1-etching-000"
    quarantined_change = AbsenceChange(name, False, 1, "quarantined")
    driver.accept(ReportAbsences("dc1", (quarantined_change,)))
    driver.accept(ReportAbsences("dc1", (AbsenceChange(name, True, 1),)))
    assert name in driver.state.absences
    recovered_change = AbsenceChange(name, True, 1, "quarantined")
    driver.accept(ReportAbsences("dc1", (recovered_change,)))
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


def test_claimed_instance_of_the_largest_rack_may_reboot() -> None:
    """Guard against a wave over whole racks that releases its instances forever.

    Instances of two racks of four are claimed in turn, and each claim lowers the
    reserve. Counting one as available before its reboot would make its rack the
    largest again and enlarge the reserve, so the check must not ask whether it could
    be claimed again.
    """
    user = build_organisation("dairy", ("etching",), minimum_available=0.25)
    driver = FoldDriver(build_fleet(user, size=8, rack_size=4))
    driver.run_wave(canary=3)
    names = ("dc1-etching-000", "dc1-etching-004", "dc1-etching-001")
    held = {name: driver.take(name) for name in names}
    for name, generation in held.items():
        advance(driver, name, generation, *STAGES)
    assert [claim.stage for claim in driver.state.claims.values()] == ["rebooting"] * 3


def test_failed_canary_pauses_the_wave() -> None:
    driver = build_driver(size=20)
    driver.run_wave(maximum_failures=5)
    generation = driver.take("dc1-etching-000")
    advance(driver, "dc1-etching-000", generation, *STAGES)
    driver.accept(ReleaseClaim("dc1-etching-000", generation, "failed", 1))
    wave = driver.state.waves["w1"]
    assert (wave.status, wave.reason) == ("paused", "failures=1 maximum=1")


def test_ended_waves_without_claims_are_dropped() -> None:
    """Guard against state that grows with every wave.

    Each wave over the whole fleet takes about a megabyte of memory for its instance
    names.
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


def test_large_ended_waves_are_dropped_sooner(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(waves, "MAX_ENDED_WAVE_INSTANCES", 45)
    driver = build_driver(size=20)
    for number in range(4):
        revision = driver.accept(ScheduleWave(f"w{number}", ("etching",)))
        driver.accept(SignalWave(f"w{number}", "cancel"), revision)
    driver.accept(ScheduleWave("last", ("etching",)))
    assert driver.state.waves.keys() == {"w2", "w3", "last"}
