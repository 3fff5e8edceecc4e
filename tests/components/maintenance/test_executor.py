"""Carry out waves against failures of executors, instances and the platform."""

from __future__ import annotations

from typing import Any

import pytest

from mustardward.components.maintenance import services
from mustardward.components.maintenance.const import (
    DRAIN_START_TIMEOUT_SECONDS,
    REBOOT_TIMEOUT_SECONDS,
    RESELECT_INTERVAL_SECONDS,
)
from mustardward.components.maintenance.selection import Selection, select_claims
from mustardward.components.maintenance.services import WaveExecutor
from mustardward.exceptions import StaleGenerationError
from mustardward.standin.protocol.models import PowerState
from mustardward.state.models.maintenance import (
    AbsenceChange,
    ReportAbsences,
    TakeClaim,
)
from mustardward.state.models.templates import MaintenanceWindow
from tests.components.maintenance.site import FIRST, SECOND, MaintenanceHarness
from tests.fakes.waves import build_member

pytestmark = pytest.mark.anyio


async def steps(executor: WaveExecutor, number: int) -> None:
    for _ in range(number):
        await executor.async_step()


async def take_to(site: MaintenanceHarness, executor: WaveExecutor, stage: str) -> str:
    """Step until one claim is at a stage; return its instance."""
    for _ in range(12):
        for name, claim in site.driver.state.claims.items():
            if claim.stage == stage:
                return name
        await executor.async_step()
    raise AssertionError(f"no claim reached {stage}")


async def test_a_wave_is_carried_out_whole() -> None:
    site = MaintenanceHarness()
    site.schedule()
    executor = site.executor()
    for _ in range(40):
        await executor.async_step()
        site.power.finish_reboots()
    assert site.status() == "done"
    assert len(site.driver.state.waves["w1"].done) == 8
    assert site.power.count("reboot") == 8
    assert site.causes("wave-done") == ["signal"]


async def test_running_work_is_waited_for_and_never_cut() -> None:
    """Reboot only an instance on which nothing runs.

    Symptom: a tablet's answer breaks off in the middle of a wave.
    Sequence: drain, a long request goes on, reboot. Cause: the drain had a timer.
    """
    site = MaintenanceHarness()
    site.schedule()
    executor = site.executor()
    name = await take_to(site, executor, "draining")
    site.power.put(name, running=1)
    await steps(executor, 5)
    assert site.stage(name) == "draining"
    site.timers.pause(3600.0)
    await steps(executor, 5)
    assert site.stage(name) == "vacating"
    site.power.put(name, running=0)
    site.busy.add(name)
    await steps(executor, 5)
    assert site.stage(name) == "vacating"
    assert site.power.count("reboot") == 0
    site.busy.clear()
    await steps(executor, 3)
    assert site.power.count("reboot") == 1


async def test_a_drained_instance_goes_back_when_a_rack_fails() -> None:
    """Give back what is not yet rebooting when failures eat the margin.

    Symptom: a wave and a failed rack together break a budget.
    Sequence: claim, drain, half the pool fails, reboot all the same.
    Cause: the executor went on with a claim that the budget no longer covers.
    """
    site = MaintenanceHarness(reserve_largest_rack=False)
    site.schedule()
    executor = site.executor()
    name = await take_to(site, executor, "drained")
    others = [item for item in site.driver.state.instances if item != name]
    site.driver.fail(*others[:4])
    await steps(executor, 3)
    assert site.stage(name) == ""
    assert site.power.count("reboot") == 0
    assert site.power.held[name].state is PowerState.SERVING
    assert "budget-exceeded" in site.causes("claim-given-back")


async def test_what_an_executor_sees_itself_counts_before_the_reboot() -> None:
    """Weigh failures that are seen and not yet in the log.

    Symptom: a reboot takes the instance that a failed one's work just went to.
    Sequence: instances fail; their report is on the way; the reboot begins.
    Cause: only the folded state was looked at.
    """
    site = MaintenanceHarness(reserve_largest_rack=False)
    site.schedule()
    executor = site.executor()
    name = await take_to(site, executor, "drained")
    others = [item for item in site.driver.state.instances if item != name]
    site.membership.down.update(others[:4])
    await steps(executor, 2)
    assert site.power.count("reboot") == 0
    assert site.stage(name) == ""


async def test_failures_folded_by_the_confirmation_stop_the_reboot() -> None:
    site = MaintenanceHarness(reserve_largest_rack=False)
    site.schedule()
    executor = site.executor()
    name = await take_to(site, executor, "drained")
    others = [item for item in site.driver.state.instances if item != name]
    site.log.before_confirm = lambda: site.driver.fail(*others[:4])
    await executor.async_step()
    assert site.power.count("reboot") == 0
    assert site.stage(name) == ""


async def test_an_instance_that_returned_does_not_send_the_next_claim_back() -> None:
    """Take the end of a reboot as evidence that the instance is up.

    Symptom: a wave gives claims back for budget-exceeded while nothing has failed, and
    drains the same instance twice. Sequence: an instance reboots and is seen down by
    its peers; it returns and its claim is released; the next one is about to reboot.
    Cause: local evidence still held the returned instance for down.
    """
    site = MaintenanceHarness(reserve_largest_rack=False)
    site.schedule()
    executor = site.executor()
    name = await take_to(site, executor, "rebooting")
    site.membership.down.add(name)
    site.power.finish_reboots()
    while name in site.driver.state.claims:
        await executor.async_step()
    assert site.membership.instance_may_get_work(name)
    await take_to(site, executor, "rebooting")
    assert site.causes("claim-given-back") == []


async def test_a_wave_that_is_held_back_does_not_search_the_fleet_at_every_step(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Look for instances again only when something changed.

    Symptom: an entry that holds 12,000 instances spends 6 % of a core on nothing while
    a wave waits. Sequence: the budget allows no more; each step sorts what is pending.
    Cause: the step did not know that it would choose nothing again.
    """
    site = MaintenanceHarness()
    site.schedule()
    executor = site.executor()
    searches: list[str] = []

    def search(*arguments: Any) -> Selection:
        searches.append("search")
        return select_claims(*arguments)

    monkeypatch.setattr(services, "select_claims", search)
    await take_to(site, executor, "rebooting")
    await executor.async_step()
    before = len(searches)
    await steps(executor, 20)
    assert len(searches) == before
    site.timers.pause(RESELECT_INTERVAL_SECONDS)
    await executor.async_step()
    assert len(searches) == before + 1


async def test_a_paused_executor_is_fenced_by_its_adopter() -> None:
    """Let a woken executor do nothing to a claim that another adopted.

    Symptom: an instance reboots twice, or after it was given back.
    Sequence: the executor pauses between claim and reboot; its peers see it gone; one
    adopts, reboots and finishes; the first wakes with its old state.
    Cause: the platform could not tell the two apart.
    """
    site = MaintenanceHarness()
    site.schedule()
    first = site.executor("entry-0")
    site.membership.others.append(build_member("entry-0"))
    name = await take_to(site, first, "drained")
    old_generation = site.driver.state.claims[name].generation
    site.membership.others.clear()
    second = site.executor("entry-1")
    await steps(second, 2)
    assert site.driver.state.claims[name].executor == "entry-1#1"
    assert site.power.count("reboot") == 1
    await first.async_step()
    with pytest.raises(StaleGenerationError):
        await site.power.async_reboot(name, "late", old_generation)
    assert site.power.count("reboot") == 1
    site.power.finish_reboots()
    await steps(second, 2)
    assert name in site.driver.state.waves["w1"].done


async def test_an_answer_lost_after_the_reboot_began_reboots_once() -> None:
    """Reboot once although the platform's answer is lost and the executor dies.

    Symptom: an instance goes through two reboots in one wave.
    Sequence: the reboot begins, its answer is lost, the executor dies, its adopter
    calls again. Cause: the adopter's call had an operation id of its own.
    """
    site = MaintenanceHarness()
    site.schedule()
    first = site.executor("entry-0")
    site.membership.others.append(build_member("entry-0"))
    name = await take_to(site, first, "drained")
    site.power.lose_answers.add("reboot")
    await first.async_step()
    assert site.stage(name) == "rebooting"
    site.membership.others.clear()
    second = site.executor("entry-1")
    await steps(second, 2)
    site.power.finish_reboots()
    await steps(second, 2)
    assert name in site.driver.state.waves["w1"].done
    assert site.power.calls.count(("reboot", name)) == 1


async def test_an_instance_that_never_comes_back_stops_the_wave() -> None:
    site = MaintenanceHarness(size=20)
    site.schedule(maximum_failures=1)
    executor = site.executor()
    name = await take_to(site, executor, "rebooting")
    site.timers.pause(REBOOT_TIMEOUT_SECONDS - 1)
    await steps(executor, 2)
    assert site.stage(name) == "rebooting"
    site.timers.pause(REBOOT_TIMEOUT_SECONDS)
    await steps(executor, 2)
    assert site.driver.state.absences[name].cause == "reboot-failed"
    assert site.status() == "paused"
    assert site.causes("wave-paused") == ["failures=1 maximum=1"]


async def test_an_outage_of_the_log_lets_instances_return_and_starts_nothing() -> None:
    """Begin nothing without the tail, and let what began come back.

    Symptom: a wave goes on while nobody can see its failures.
    Sequence: the log goes out while one instance is drained and one reboots.
    Cause: the executor acted on state whose age it did not look at.
    """
    site = MaintenanceHarness(size=20)
    site.schedule(canary=2)
    executor = site.executor()
    await take_to(site, executor, "drained")
    site.log.out = True
    await steps(executor, 3)
    assert site.power.count("reboot") == 0
    site.log.tail_age = 60.0
    await steps(executor, 2)
    assert site.power.count("return") == 2
    before = len(site.driver.state.claims)
    site.log.out, site.log.tail_age = False, 0.0
    await steps(executor, 1)
    assert before == 2
    assert site.causes("claim-given-back")


async def test_two_waves_and_a_failing_rack_keep_the_floor() -> None:
    site = MaintenanceHarness(
        size=12, minimum_available=0.5, reserve_largest_rack=False
    )
    site.schedule("w1", canary=6)
    site.schedule("w2", canary=6)
    executor = site.executor()
    for number in range(30):
        await executor.async_step()
        if number == 3:
            site.driver.fail(*(f"dc1-etching-{item:03d}" for item in range(8, 12)))
        absent_or_rebooting = {
            *site.driver.state.absences,
            *(
                name
                for name, claim in site.driver.state.claims.items()
                if claim.stage == "rebooting"
            ),
        }
        assert 12 - len(absent_or_rebooting) >= 6
        if number % 3 == 2:
            site.power.finish_reboots()
    assert len(site.driver.state.waves["w1"].done) == 8


async def test_refused_claims_do_not_spin() -> None:
    """Propose again only after the fold changed.

    Symptom: a held-back wave fills the log's append budget.
    Sequence: a claim is refused, and proposed again at each step.
    Cause: nothing had changed that could have let it through.
    """
    site = MaintenanceHarness(minimum_available=1.0)
    site.schedule()
    executor = site.executor()
    await steps(executor, 2)
    site.log.proposed.clear()
    await steps(executor, 20)
    assert site.log.proposed == []
    assert site.causes("claim-held-back") == ["budget-exceeded"]


async def test_a_closed_window_holds_claims_back() -> None:
    site = MaintenanceHarness(
        windows=(MaintenanceWindow(start_second=0, length_seconds=3600),)
    )
    site.schedule()
    executor = site.executor()
    site.timers.pause(86_400 - site.timers.wall() % 86_400 + 3601)
    await steps(executor, 4)
    assert site.driver.state.claims == {}
    assert site.causes("claim-held-back") == ["window-closed"]
    site.timers.pause(86_400 - 3601)
    await steps(executor, 2)
    assert len(site.driver.state.claims) == 1


async def test_pause_and_cancel_give_back_what_is_not_rebooting() -> None:
    site = MaintenanceHarness()
    site.schedule()
    executor = site.executor()
    name = await take_to(site, executor, "drained")
    site.signal("cancel")
    await steps(executor, 2)
    assert site.stage(name) == ""
    assert site.power.held[name].state is PowerState.SERVING
    assert site.power.count("reboot") == 0


async def test_an_instance_that_crashes_while_it_drains_is_not_called_done() -> None:
    site = MaintenanceHarness()
    site.schedule()
    executor = site.executor()
    name = await take_to(site, executor, "draining")
    site.power.put(name, state=PowerState.SERVING, boot=2)
    site.membership.duty = False
    await steps(executor, 2)
    assert site.stage(name) == ""
    assert name in site.driver.state.waves["w1"].pending


async def test_a_claim_by_another_live_executor_is_left_to_it() -> None:
    site = MaintenanceHarness()
    site.schedule()
    executor = site.executor()
    await executor.async_step()
    site.membership.others.append(build_member("entry-9"))
    site.driver.accept(TakeClaim("w1", FIRST, "entry-9#1", 1))
    await steps(executor, 4)
    assert site.driver.state.claims[FIRST].executor == "entry-9#1"
    assert site.stage(FIRST) == "claimed"


async def test_drained_instances_go_back_before_draining_ones() -> None:
    site = MaintenanceHarness(
        size=12, minimum_available=0.5, reserve_largest_rack=False
    )
    site.schedule(canary=2)
    executor = site.executor()
    await steps(executor, 2)
    site.power.put(FIRST, running=1)
    await steps(executor, 2)
    assert (site.stage(FIRST), site.stage(SECOND)) == ("draining", "drained")
    site.membership.duty = False
    site.driver.fail(*(f"dc1-etching-{number:03d}" for number in range(7, 12)))
    await steps(executor, 1)
    assert (site.stage(FIRST), site.stage(SECOND)) == ("draining", "")


async def test_a_quarantined_instance_is_taken_without_any_margin() -> None:
    """Reboot what is in quarantine although no budget has a margin left.

    Symptom: a wave never ends, and one bad worker stays in quarantine for ever.
    Sequence: the worker is quarantined; it eats the last margin; the wave can take
    neither it nor another. Cause: it was asked to cost a margin that it costs already.
    """
    site = MaintenanceHarness(size=8, minimum_available=0.75)
    site.schedule()
    executor = site.executor()
    first = await take_to(site, executor, "rebooting")
    site.power.finish_reboots()
    await executor._claims.async_step(site.driver.state.claims[first])
    bad = "dc1-etching-005"
    change = AbsenceChange(bad, False, 1, "quarantined")
    site.driver.accept(ReportAbsences("dc1", (change,)))
    for _ in range(8):
        await executor.async_step()
        site.power.finish_reboots()
    assert bad in site.driver.state.waves["w1"].done
    assert bad not in site.driver.state.absences


async def test_a_quarantined_instance_is_no_canary() -> None:
    site = MaintenanceHarness()
    site.schedule()
    change = AbsenceChange(FIRST, False, 1, "quarantined")
    site.driver.accept(ReportAbsences("dc1", (change,)))
    executor = site.executor()
    await steps(executor, 2)
    assert SECOND in site.driver.state.claims


async def test_an_instance_that_cannot_be_drained_does_not_hold_the_wave() -> None:
    """Go on with others when the platform cannot reach an instance.

    Symptom: a wave stands still and names one claimed instance for hours.
    Sequence: the worker hangs after the claim; each drain is refused as unavailable.
    Cause: the claim waited for a drain that could not begin.
    """
    site = MaintenanceHarness(size=8, minimum_available=0.75)
    site.schedule()
    executor = site.executor()
    site.power.undrainable.add(FIRST)
    for _ in range(4):
        await executor.async_step()
        site.timers.pause(DRAIN_START_TIMEOUT_SECONDS / 2)
    await steps(executor, 1)
    assert site.stage(FIRST) == ""
    assert "undrainable" in site.causes("claim-given-back")
    assert SECOND in site.driver.state.claims
