"""Test waves under failures of executors, instances and the platform."""

from __future__ import annotations

from typing import Any

import pytest

from mustardward.components.maintenance import wave_executor
from mustardward.components.maintenance.const import (
    DRAIN_START_TIMEOUT_SECONDS,
    REBOOT_TIMEOUT_SECONDS,
    RESELECT_INTERVAL_SECONDS,
)
from mustardward.components.maintenance.selection import Selection, select_claims
from mustardward.components.maintenance.wave_executor import WaveExecutor
from mustardward.exceptions import StaleGenerationError
from mustardward.standin.protocol.models import PowerState
from mustardward.state.models.maintenance import (
    AbsenceChange,
    ReportAbsences,
    TakeClaim,
)
from mustardward.state.models.templates import MaintenanceWindow
from tests.components.maintenance.harness import FIRST, SECOND, MaintenanceHarness
from tests.fakes.waves import build_member

pytestmark = pytest.mark.anyio


async def steps(executor: WaveExecutor, number: int) -> None:
    for _ in range(number):
        await executor.async_step()


async def step_until(
    harness: MaintenanceHarness, executor: WaveExecutor, stage: str
) -> str:
    """Run steps until a claim reaches a stage; return its instance."""
    for _ in range(12):
        for name, claim in harness.driver.state.claims.items():
            if claim.stage == stage:
                return name
        await executor.async_step()
    raise AssertionError(f"no claim reached {stage}")


async def test_wave_maintains_all_instances() -> None:
    harness = MaintenanceHarness()
    harness.schedule()
    executor = harness.executor()
    for _ in range(40):
        await executor.async_step()
        harness.power.finish_reboots()
    assert harness.status() == "done"
    assert len(harness.driver.state.waves["w1"].done) == 8
    assert harness.power.count("reboot") == 8
    assert harness.causes("wave-done") == ["signal"]


async def test_running_work_is_never_interrupted() -> None:
    """Guard against a reboot that truncates the response of a running request.

    A long request continues during the drain, which must therefore not have a timeout.
    """
    harness = MaintenanceHarness()
    harness.schedule()
    executor = harness.executor()
    name = await step_until(harness, executor, "draining")
    harness.power.put(name, running=1)
    await steps(executor, 5)
    assert harness.stage(name) == "draining"
    harness.timers.pause(3600.0)
    await steps(executor, 5)
    assert harness.stage(name) == "vacating"
    harness.power.put(name, running=0)
    harness.busy.add(name)
    await steps(executor, 5)
    assert harness.stage(name) == "vacating"
    assert harness.power.count("reboot") == 0
    harness.busy.clear()
    await steps(executor, 3)
    assert harness.power.count("reboot") == 1


async def test_drained_instance_is_returned_when_a_rack_fails() -> None:
    """Guard against a wave and a failed rack that together violate a budget.

    Half of the pool fails after the drain, so that the budget no longer covers the
    claim, whose reboot has not started yet.
    """
    harness = MaintenanceHarness(reserve_largest_rack=False)
    harness.schedule()
    executor = harness.executor()
    name = await step_until(harness, executor, "drained")
    others = [item for item in harness.driver.state.instances if item != name]
    harness.driver.fail(*others[:4])
    await steps(executor, 3)
    assert harness.stage(name) == ""
    assert harness.power.count("reboot") == 0
    assert harness.power.held[name].state is PowerState.SERVING
    assert "budget-exceeded" in harness.causes("claim-given-back")


async def test_unreported_failures_count_before_the_reboot() -> None:
    """Guard against a reboot of the instance that took over work of a failed one.

    Instances fail and their report is not in the log yet when the reboot is due, so
    that the replicated state alone shows sufficient margin.
    """
    harness = MaintenanceHarness(reserve_largest_rack=False)
    harness.schedule()
    executor = harness.executor()
    name = await step_until(harness, executor, "drained")
    others = [item for item in harness.driver.state.instances if item != name]
    harness.membership.down.update(others[:4])
    await steps(executor, 2)
    assert harness.power.count("reboot") == 0
    assert harness.stage(name) == ""


async def test_failures_applied_by_the_tail_confirmation_prevent_the_reboot() -> None:
    harness = MaintenanceHarness(reserve_largest_rack=False)
    harness.schedule()
    executor = harness.executor()
    name = await step_until(harness, executor, "drained")
    others = [item for item in harness.driver.state.instances if item != name]
    harness.log.before_confirm = lambda: harness.driver.fail(*others[:4])
    await executor.async_step()
    assert harness.power.count("reboot") == 0
    assert harness.stage(name) == ""


async def test_returned_instance_does_not_abort_the_next_claim() -> None:
    """Guard against claims aborted for budget-exceeded although nothing has failed.

    An instance is suspected during its reboot and its claim is released after its
    return. If membership still suspects it, the next claim is aborted and its instance
    is drained twice.
    """
    harness = MaintenanceHarness(reserve_largest_rack=False)
    harness.schedule()
    executor = harness.executor()
    name = await step_until(harness, executor, "rebooting")
    harness.membership.down.add(name)
    harness.power.finish_reboots()
    while name in harness.driver.state.claims:
        await executor.async_step()
    assert harness.membership.is_instance_eligible(name)
    await step_until(harness, executor, "rebooting")
    assert harness.causes("claim-given-back") == []


async def test_blocked_wave_does_not_select_instances_at_every_step(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a selection at each step although its inputs are unchanged.

    While the budget blocks a wave, sorting the pending instances of a fleet of 12,000
    at each step takes 6 % of a core.
    """
    harness = MaintenanceHarness()
    harness.schedule()
    executor = harness.executor()
    selections: list[str] = []

    def count_selection(*arguments: Any) -> Selection:
        selections.append("search")
        return select_claims(*arguments)

    monkeypatch.setattr(wave_executor, "select_claims", count_selection)
    await step_until(harness, executor, "rebooting")
    await executor.async_step()
    before = len(selections)
    await steps(executor, 20)
    assert len(selections) == before
    harness.timers.pause(RESELECT_INTERVAL_SECONDS)
    await executor.async_step()
    assert len(selections) == before + 1


async def test_paused_executor_is_fenced_after_adoption() -> None:
    """Guard against an instance that reboots twice or after it was returned.

    An executor pauses between claim and reboot. Another one adopts the claim, reboots
    the instance and releases it, and the first one resumes with outdated state. The
    platform has to reject its calls by their generation.
    """
    harness = MaintenanceHarness()
    harness.schedule()
    first = harness.executor("entry-0")
    harness.membership.others.append(build_member("entry-0"))
    name = await step_until(harness, first, "drained")
    old_generation = harness.driver.state.claims[name].generation
    harness.membership.others.clear()
    second = harness.executor("entry-1")
    await steps(second, 2)
    assert harness.driver.state.claims[name].executor == "entry-1#1"
    assert harness.power.count("reboot") == 1
    await first.async_step()
    with pytest.raises(StaleGenerationError):
        await harness.power.async_reboot(name, "late", old_generation)
    assert harness.power.count("reboot") == 1
    harness.power.finish_reboots()
    await steps(second, 2)
    assert name in harness.driver.state.waves["w1"].done


async def test_lost_reboot_response_causes_one_reboot() -> None:
    """Guard against two reboots of an instance in one wave.

    The reboot starts, its response is lost and the executor stops. The call of the
    adopting executor must have the same operation id.
    """
    harness = MaintenanceHarness()
    harness.schedule()
    first = harness.executor("entry-0")
    harness.membership.others.append(build_member("entry-0"))
    name = await step_until(harness, first, "drained")
    harness.power.lose_answers.add("reboot")
    await first.async_step()
    assert harness.stage(name) == "rebooting"
    harness.membership.others.clear()
    second = harness.executor("entry-1")
    await steps(second, 2)
    harness.power.finish_reboots()
    await steps(second, 2)
    assert name in harness.driver.state.waves["w1"].done
    assert harness.power.calls.count(("reboot", name)) == 1


async def test_instance_that_never_returns_pauses_the_wave() -> None:
    harness = MaintenanceHarness(size=20)
    harness.schedule(maximum_failures=1)
    executor = harness.executor()
    name = await step_until(harness, executor, "rebooting")
    harness.timers.pause(REBOOT_TIMEOUT_SECONDS - 1)
    await steps(executor, 2)
    assert harness.stage(name) == "rebooting"
    harness.timers.pause(REBOOT_TIMEOUT_SECONDS)
    await steps(executor, 2)
    assert harness.driver.state.absences[name].cause == "reboot-failed"
    assert harness.status() == "paused"
    assert harness.causes("wave-paused") == ["failures=1 maximum=1"]


async def test_log_outage_returns_instances_and_starts_nothing() -> None:
    """Guard against a wave that continues while its failures are unknown.

    The log becomes unavailable after instances are drained. The age of the state has to
    prevent reboots, and drained instances have to return to service.
    """
    harness = MaintenanceHarness(size=20)
    harness.schedule(canary=2)
    executor = harness.executor()
    await step_until(harness, executor, "drained")
    harness.log.out = True
    await steps(executor, 3)
    assert harness.power.count("reboot") == 0
    harness.log.tail_age = 60.0
    await steps(executor, 2)
    assert harness.power.count("return") == 2
    before = len(harness.driver.state.claims)
    harness.log.out, harness.log.tail_age = False, 0.0
    await steps(executor, 1)
    assert before == 2
    assert harness.causes("claim-given-back")


async def test_two_waves_and_a_failed_rack_keep_the_floor() -> None:
    harness = MaintenanceHarness(
        size=12, minimum_available=0.5, reserve_largest_rack=False
    )
    harness.schedule("w1", canary=6)
    harness.schedule("w2", canary=6)
    executor = harness.executor()
    for number in range(30):
        await executor.async_step()
        if number == 3:
            harness.driver.fail(*(f"dc1-etching-{item:03d}" for item in range(8, 12)))
        absent_or_rebooting = {
            *harness.driver.state.absences,
            *(
                name
                for name, claim in harness.driver.state.claims.items()
                if claim.stage == "rebooting"
            ),
        }
        assert 12 - len(absent_or_rebooting) >= 6
        if number % 3 == 2:
            harness.power.finish_reboots()
    assert len(harness.driver.state.waves["w1"].done) == 8


async def test_refused_claim_is_not_repeated_without_changes() -> None:
    """Guard against a blocked wave that uses up the append budget of the log.

    A refused claim that is proposed again at each step is refused again while the state
    is unchanged.
    """
    harness = MaintenanceHarness(minimum_available=1.0)
    harness.schedule()
    executor = harness.executor()
    await steps(executor, 2)
    harness.log.proposed.clear()
    await steps(executor, 20)
    assert harness.log.proposed == []
    assert harness.causes("claim-held-back") == ["budget-exceeded"]


async def test_closed_window_blocks_claims() -> None:
    harness = MaintenanceHarness(
        windows=(MaintenanceWindow(start_second=0, length_seconds=3600),)
    )
    harness.schedule()
    executor = harness.executor()
    harness.timers.pause(86_400 - harness.timers.wall() % 86_400 + 3601)
    await steps(executor, 4)
    assert harness.driver.state.claims == {}
    assert harness.causes("claim-held-back") == ["window-closed"]
    harness.timers.pause(86_400 - 3601)
    await steps(executor, 2)
    assert len(harness.driver.state.claims) == 1


async def test_cancelled_wave_returns_instances_not_yet_rebooting() -> None:
    harness = MaintenanceHarness()
    harness.schedule()
    executor = harness.executor()
    name = await step_until(harness, executor, "drained")
    harness.signal("cancel")
    await steps(executor, 2)
    assert harness.stage(name) == ""
    assert harness.power.held[name].state is PowerState.SERVING
    assert harness.power.count("reboot") == 0


async def test_instance_that_crashes_during_its_drain_stays_pending() -> None:
    harness = MaintenanceHarness()
    harness.schedule()
    executor = harness.executor()
    name = await step_until(harness, executor, "draining")
    harness.power.put(name, state=PowerState.SERVING, boot=2)
    harness.membership.duty = False
    await steps(executor, 2)
    assert harness.stage(name) == ""
    assert name in harness.driver.state.waves["w1"].pending


async def test_claim_of_another_live_executor_is_not_adopted() -> None:
    harness = MaintenanceHarness()
    harness.schedule()
    executor = harness.executor()
    await executor.async_step()
    harness.membership.others.append(build_member("entry-9"))
    harness.driver.accept(TakeClaim("w1", FIRST, "entry-9#1", 1))
    await steps(executor, 4)
    assert harness.driver.state.claims[FIRST].executor == "entry-9#1"
    assert harness.stage(FIRST) == "claimed"


async def test_drained_instances_are_returned_before_draining_ones() -> None:
    harness = MaintenanceHarness(
        size=12, minimum_available=0.5, reserve_largest_rack=False
    )
    harness.schedule(canary=2)
    executor = harness.executor()
    await steps(executor, 2)
    harness.power.put(FIRST, running=1)
    await steps(executor, 2)
    assert (harness.stage(FIRST), harness.stage(SECOND)) == ("draining", "drained")
    harness.membership.duty = False
    harness.driver.fail(*(f"dc1-etching-{number:03d}" for number in range(7, 12)))
    await steps(executor, 1)
    assert (harness.stage(FIRST), harness.stage(SECOND)) == ("draining", "")


async def test_quarantined_instance_is_claimed_without_margin() -> None:
    """Guard against a wave that never finishes and a permanent quarantine.

    A quarantined worker uses up the last margin. Its claim must not require the margin
    again, or neither it nor any other instance can be claimed.
    """
    harness = MaintenanceHarness(size=8, minimum_available=0.75)
    harness.schedule()
    executor = harness.executor()
    first = await step_until(harness, executor, "rebooting")
    harness.power.finish_reboots()
    await executor._claim_processor.async_step(harness.driver.state.claims[first])
    bad = "dc1-etching-005"
    change = AbsenceChange(bad, False, 1, "quarantined")
    harness.driver.accept(ReportAbsences("dc1", (change,)))
    for _ in range(8):
        await executor.async_step()
        harness.power.finish_reboots()
    assert bad in harness.driver.state.waves["w1"].done
    assert bad not in harness.driver.state.absences


async def test_quarantined_instance_is_no_canary() -> None:
    harness = MaintenanceHarness()
    harness.schedule()
    change = AbsenceChange(FIRST, False, 1, "quarantined")
    harness.driver.accept(ReportAbsences("dc1", (change,)))
    executor = harness.executor()
    await steps(executor, 2)
    assert SECOND in harness.driver.state.claims


async def test_undrainable_instance_does_not_block_the_wave() -> None:
    """Guard against a wave that is blocked for hours by one claimed instance.

    The worker hangs after the claim and the platform rejects each drain as unavailable,
    so that a claim without a timeout would wait for a drain that cannot start.
    """
    harness = MaintenanceHarness(size=8, minimum_available=0.75)
    harness.schedule()
    executor = harness.executor()
    harness.power.undrainable.add(FIRST)
    for _ in range(4):
        await executor.async_step()
        harness.timers.pause(DRAIN_START_TIMEOUT_SECONDS / 2)
    await steps(executor, 1)
    assert harness.stage(FIRST) == ""
    assert "undrainable" in harness.causes("claim-given-back")
    assert SECOND in harness.driver.state.claims
