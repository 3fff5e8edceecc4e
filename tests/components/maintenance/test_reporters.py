"""Report failures, returns and silence."""

from __future__ import annotations

import pytest

from mustardward.components.maintenance.absence_reporter import AbsenceReporter
from mustardward.components.maintenance.silence_reporter import ReachabilityReporter
from mustardward.components.maintenance.windows import is_window_open
from mustardward.standin.protocol.models import ListedInstance, ListedState, PowerState
from mustardward.state.models.maintenance import ReportAbsences, ReportSilence
from mustardward.state.models.templates import MaintenanceWindow
from tests.components.maintenance.site import FIRST, SECOND, MaintenanceHarness

pytestmark = pytest.mark.anyio

DAY = 86_400
WEDNESDAY = 6 * DAY


class FakeInstanceList:
    """List what it is told."""

    def __init__(self, *names: str) -> None:
        self.names = set(names)

    async def async_list(self, data_centre: str = "") -> tuple[ListedInstance, ...]:
        return tuple(
            ListedInstance(name, "worker", "dc1", "r", "", ListedState.LIVE, 1)
            for name in sorted(self.names)
        )


async def watch(
    site: MaintenanceHarness, reporter: AbsenceReporter, seconds: int
) -> None:
    for _ in range(seconds):
        await reporter.async_step()
        site.timers.pause(1.0)


def reports(site: MaintenanceHarness) -> list[ReportAbsences]:
    return [item for item in site.log.proposed if isinstance(item, ReportAbsences)]


async def test_failures_of_a_rack_make_one_record_and_one_for_the_return() -> None:
    site = MaintenanceHarness()
    reporter = AbsenceReporter(site.dependencies(), None)
    for name in (FIRST, SECOND):
        site.membership.down.add(name)
        site.power.put(name, state=PowerState.DOWN)
    await watch(site, reporter, 8)
    assert [len(item.changes) for item in reports(site)] == [2]
    assert set(site.driver.state.absences) == {FIRST, SECOND}
    site.membership.down.clear()
    for name in (FIRST, SECOND):
        site.power.put(name, state=PowerState.SERVING, boot=2)
    await watch(site, reporter, 12)
    assert site.driver.state.absences == {}
    assert len(reports(site)) == 2


async def test_a_short_suspicion_is_not_reported() -> None:
    site = MaintenanceHarness()
    reporter = AbsenceReporter(site.dependencies(), None)
    site.membership.down.add(FIRST)
    await watch(site, reporter, 2)
    site.membership.down.clear()
    await watch(site, reporter, 8)
    assert reports(site) == []


async def test_an_instance_that_the_list_no_longer_names_is_looked_at() -> None:
    site = MaintenanceHarness()
    listing = FakeInstanceList(*site.driver.state.instances)
    listing.names.discard(FIRST)
    reporter = AbsenceReporter(site.dependencies(), listing)
    await watch(site, reporter, 20)
    assert reports(site) == []
    site.power.put(FIRST, state=PowerState.DOWN)
    await watch(site, reporter, 2)
    assert set(site.driver.state.absences) == {FIRST}


async def test_an_unreachable_instance_goes_in_and_out_ever_more_slowly() -> None:
    """Spare the log an instance that the platform serves and nobody reaches.

    Symptom: thousands of absence records a day name one instance.
    Sequence: entries cannot reach it, the platform says serving, it is called up, work
    fails, it is called down. Cause: each round took as long as the one before.
    """
    site = MaintenanceHarness()
    reporter = AbsenceReporter(site.dependencies(), None)
    site.membership.down.add(FIRST)
    await watch(site, reporter, 3600)
    assert 4 <= len(reports(site)) <= 30


async def test_an_instance_that_a_dead_executor_left_drained_is_returned() -> None:
    """Return what was drained for a claim or move that is no more.

    Symptom: an instance serves nothing for ever, and no claim names it.
    Sequence: the claim is released or the move cancelled; the executor dies before it
    calls. Cause: nobody looked after an end that was in the log already.
    """
    site = MaintenanceHarness()
    site.driver.run_wave()
    site.power.put(FIRST, state=PowerState.DRAINED, generation=1)
    site.membership.down.add(FIRST)
    reporter = AbsenceReporter(site.dependencies(), None)
    await watch(site, reporter, 6)
    assert site.power.held[FIRST].state is PowerState.SERVING


async def test_what_the_platform_drains_itself_is_left_alone() -> None:
    site = MaintenanceHarness()
    site.power.put(FIRST, state=PowerState.DRAINED, generation=0)
    site.membership.down.add(FIRST)
    reporter = AbsenceReporter(site.dependencies(), None)
    await watch(site, reporter, 6)
    assert site.power.held[FIRST].state is PowerState.DRAINED
    assert site.driver.state.absences[FIRST].cause == "leaving"


async def test_two_halves_that_both_have_the_log_do_not_report_in_turn() -> None:
    """Report a silence once, and not again after the other side spoke.

    Symptom: silence records fill the log during a partition between data centres.
    Sequence: each half sees the other as silent and itself as speaking.
    Cause: both told what they saw, again and again.
    """
    site = MaintenanceHarness()
    site.driver.state.instances[SECOND].data_centre = "dc2"
    reporter = ReachabilityReporter(site.dependencies())
    site.log.listen(reporter.handle_outcome)
    site.membership.silent.add("dc2")
    await reporter.async_step()
    assert site.driver.state.silent == {"dc2"}
    await site.log.async_propose(ReportSilence("dc2", False), actor="entry-9")
    for _ in range(60):
        await reporter.async_step()
        site.timers.pause(1.0)
    assert site.driver.state.silent == set()
    site.timers.pause(600.0)
    await reporter.async_step()
    assert site.driver.state.silent == {"dc2"}


async def test_a_data_centre_itself_says_that_it_speaks() -> None:
    site = MaintenanceHarness()
    site.driver.accept(ReportSilence("dc1", True))
    reporter = ReachabilityReporter(site.dependencies())
    site.log.tail_age = 60.0
    await reporter.async_step()
    assert site.driver.state.silent == {"dc1"}
    site.log.tail_age = 0.0
    await reporter.async_step()
    assert site.driver.state.silent == set()


@pytest.mark.parametrize(
    ("wall", "wanted"),
    [
        (WEDNESDAY + 23 * 3600, True),
        (WEDNESDAY + DAY + 3600, True),
        (WEDNESDAY + DAY + 3 * 3600, False),
        (WEDNESDAY + 22 * 3600 - 1, False),
        (WEDNESDAY + DAY + 23 * 3600, False),
    ],
)
async def test_a_window_may_run_past_midnight(wall: float, wanted: bool) -> None:
    window = MaintenanceWindow(22 * 3600, 4 * 3600, weekdays=(2,))
    assert is_window_open(window, wall) is wanted
